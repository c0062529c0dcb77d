"""The task that reads the upstreams' rows, and what all readers share."""

import asyncio
import contextlib

import attrs

from bulrushcourse_domain.membership import readers
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_entry.platform import rows
from bulrushcourse_entry.platform import units
from bulrushcourse_entry.platform import upstream_rows

# Shares of the drain time, after which a leaving upstream must get no new
# requests. A designated reader reads the rows at the first interval; the other
# VMs read them only when they got no update for the second one.
READ_INTERVAL_SHARE = 0.35
STALE_AGE_SHARE = 0.6
RETRY_PAUSE_S = 0.5
# Time after its start for which a VM waits for the upstreams from designated
# readers, and for the list of VMs that names them.
FIRST_READ_DELAY_S = 1.0
REGISTRATION_WAIT_S = 0.3
MIN_SLEEP_S = 0.1


@attrs.define
class StoreReachability:
    """Logs one event when the store stops or resumes answering.

    Attributes:
        event_log: Log.
        reachable: Whether the last call succeeded, ``None`` before the first
            call.
    """

    event_log: event_logs.EventLog
    reachable: bool | None = None

    def record_call(self, answered: bool, reason: str = '') -> None:
        """Record the outcome of a call.

        Args:
            answered: Whether the store answered.
            reason: Why it did not.
        """
        if answered and self.reachable is False:
            self.event_log.log_change(events.Event.STORE_REACHABLE)
        if not answered and self.reachable is not False:
            self.event_log.log_change(
                events.Event.STORE_UNREACHABLE, reason=reason
            )
        self.reachable = answered

    def record_error(self, error: rows.StoreUnavailable) -> None:
        """Record a failed call; an outdated answer is an answer.

        Args:
            error: Why it failed.
        """
        if not isinstance(error, rows.OutdatedAnswer):
            self.record_call(False, str(error))


@attrs.define(eq=False)
class UpstreamReader:
    """Reads the upstreams' rows, or relies on the designated readers.

    A VM that is no designated reader reads the rows only when it has got no
    update from the readers for too long.

    Attributes:
        store: The platform's store.
        state: The process state.
        event_log: Log.
        reachability: Whether the store answers.
        logged_rows: Hash of the malformed rows of the last read, by key.
        held_back: Names of the upstreams whose row was not applied when it was
            read last.
    """

    store: rows.RowStore
    state: process_state.ProcessState
    event_log: event_logs.EventLog
    reachability: StoreReachability
    logged_rows: dict[str, int] = attrs.field(factory=dict)
    held_back: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Keep the upstream directory up to date until cancelled."""
        clock = self.state.clock
        drain_s = self.state.settings.bounds.drain_s
        read_at = float('-inf')
        started = clock.monotonic()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REGISTRATION_WAIT_S):
                await self.state.registered.wait()
        while True:
            self.state.is_designated_reader = is_designated_reader(self.state)
            if self.state.is_designated_reader:
                due = read_at + drain_s * READ_INTERVAL_SHARE
            else:
                updated_at = max(read_at, self.state.upstreams.read_at)
                due = max(
                    updated_at + drain_s * STALE_AGE_SHARE,
                    started + FIRST_READ_DELAY_S,
                )
            pause = due - clock.monotonic()
            if pause > 0 and not self._is_needed(read_at):
                await self._pause(max(pause, MIN_SLEEP_S))
                continue
            read_at = clock.monotonic()
            await self._read()

    def _is_needed(self, read_at: float) -> bool:
        """Return whether requests arrive and no upstream is known yet."""
        state = self.state
        return (
            state.upstreams_needed.is_set()
            and not state.upstreams.position
            and state.clock.monotonic() - read_at > RETRY_PAUSE_S
        )

    async def _pause(self, seconds: float) -> None:
        if self.state.upstreams_needed.is_set():
            await asyncio.sleep(seconds)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.state.upstreams_needed.wait()

    async def _read(self) -> None:
        try:
            batch = await self.store.read(upstream_rows.TABLE)
        except rows.StoreUnavailable as error:
            if isinstance(error, rows.StoreSilent):
                self.state.silent_connection_hints.on_next(
                    process_state.SilentConnectionHint.STORE_CALL
                )
            if not isinstance(error, rows.OutdatedAnswer):
                self.state.upstreams.mark_store_unavailable()
            self.reachability.record_error(error)
            return
        self.reachability.record_call(True)
        keys = {row.key for row in batch.rows}
        for key in self.logged_rows.keys() - keys:
            del self.logged_rows[key]
        snapshot = upstream_rows.decode_all(
            batch, self.state.settings.regions, self._log_malformed
        )
        for change in self.state.upstreams.apply_snapshot(snapshot):
            self.state.upstream_changes.on_next(change)
        self._log_held_back(snapshot)
        self.state.snapshot_versions.on_next(snapshot.position)

    def _log_held_back(self, snapshot: upstreams.Snapshot) -> None:
        held_back = {
            entry.name: entry
            for entry in self.state.upstreams.states_of_held_back()
        }
        for row in snapshot.upstreams:
            if row.name in held_back and row.name not in self.held_back:
                entry = held_back[row.name]
                self.event_log.log_change(
                    events.Event.UPSTREAM_ROW_HELD_BACK,
                    upstream=row.name,
                    row=[row.born, row.sequence],
                    version=row.version,
                    known=[entry.stamp.born, entry.stamp.sequence],
                    state=entry.state.name.lower(),
                )
        self.held_back = frozenset(held_back)

    def _log_malformed(
        self, row: rows.StoredRow, error: units.MalformedValue
    ) -> None:
        content = hash(row.value)
        if self.logged_rows.get(row.key) != content:
            self.logged_rows[row.key] = content
            self.event_log.log_change(
                events.Event.ROW_MALFORMED, row=row.key, reason=str(error)
            )


def is_designated_reader(state: process_state.ProcessState) -> bool:
    """Return whether this VM polls the upstreams' rows for the other VMs.

    Args:
        state: The process state.
    """
    designated = readers.designate_readers(
        'upstreams', state.fleet.presumed_alive()
    )
    return state.settings.vm in designated
