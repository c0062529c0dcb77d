"""Logs returns of the store from a copy, and answers that are not used."""

import attrs

from bulrushcourse_domain.store import store_era as store_eras
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_entry.platform import rows

UNUSED_LOG_INTERVAL_S = 60.0


@attrs.define(eq=False)
class StoreMonitor:
    """Logs when the store has come back and when its rows count as complete.

    Attributes:
        state: The process state.
        event_log: Log.
        unused: Number of answers that were not used.
        logged_unused_at: Time of the last event about such an answer.
        returned_at: Time when the latest return was learned of, ``None`` if
            it is settled.
    """

    state: process_state.ProcessState
    event_log: event_logs.EventLog
    unused: int = 0
    logged_unused_at: float = float('-inf')
    returned_at: float | None = None

    def __attrs_post_init__(self) -> None:
        """Subscribe to the returns, of which other VMs may tell as well."""
        self.state.store_returns.subscribe(self._record_return)

    def record_verdict(self, verdict: rows.EraVerdict) -> None:
        """Record what an answer of the store is.

        Args:
            verdict: What it is, by the era that it states.
        """
        if verdict.verdict in store_eras.UNUSED:
            self._record_unused(verdict)
        elif verdict.verdict is store_eras.Verdict.ENTERED:
            self.state.store_returns.on_next(
                store_eras.EraChange(
                    verdict.before, verdict.era, store_eras.Source.STORE
                )
            )

    def check(self) -> None:
        """Log once when the latest return has settled."""
        if self.returned_at is None or self.state.store_era.is_settling():
            return
        took_s = self.state.clock.monotonic() - self.returned_at
        self.returned_at = None
        self.state.store_settled.on_next(None)
        self._log(events.Event.STORE_SETTLED, took_s=round(took_s, 3))

    def _record_return(self, change: store_eras.EraChange) -> None:
        self.returned_at = self.state.clock.monotonic()
        self._log(
            events.Event.STORE_RETURNED,
            before=change.before,
            source=change.source.value,
        )

    def _record_unused(self, verdict: rows.EraVerdict) -> None:
        self.unused += 1
        now = self.state.clock.monotonic()
        if now - self.logged_unused_at < UNUSED_LOG_INTERVAL_S:
            return
        self.logged_unused_at = now
        self._log(
            events.Event.STORE_ANSWER_UNUSED,
            reason=verdict.verdict.value,
            stated=verdict.stated,
            unused=self.unused,
        )

    def _log(self, event: events.Event, **fields: object) -> None:
        state = self.state
        self.event_log.log_change(
            event,
            era=state.store_era.era,
            operators_version=state.operators_position.version,
            upstreams_version=state.upstreams.position.version,
            configuration=state.routes.version,
            evacuated=sorted(state.upstreams.candidates.evacuated),
            **fields,
        )
