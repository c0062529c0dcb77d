"""Notices pauses of the process, and logs how its configuration is known."""

import attrs

from bulrushcourse_entry import events
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.reporting import event_log as event_logs


@attrs.define(eq=False)
class ConfigurationMonitor:
    """Logs when the configuration has to be confirmed, and how it ends.

    Attributes:
        state: The process state.
        event_log: Log.
        is_waiting: Whether a confirmation is awaited.
    """

    state: process_state.ProcessState
    event_log: event_logs.EventLog
    is_waiting: bool = True

    def __attrs_post_init__(self) -> None:
        """Subscribe to pauses and news."""
        self.state.pauses.subscribe(self._begin)
        self.state.configuration_updates.subscribe(self._end)

    def check(self) -> None:
        """Record that the process runs, and end a wait that was too long."""
        self.state.observe_running()
        if self.is_waiting and not self.state.configuration_unconfirmed:
            self.is_waiting = False
            self._log(events.Event.CONFIGURATION_ASSUMED)

    def _begin(self, _: None) -> None:
        self.is_waiting = True
        self._log(events.Event.CONFIGURATION_UNCONFIRMED)

    def _end(self, _: None) -> None:
        freshness = self.state.freshness
        if self.is_waiting and freshness.confirmed_at >= freshness.doubted_at:
            self.is_waiting = False
            self._log(events.Event.CONFIGURATION_CONFIRMED)

    def _log(self, event: events.Event) -> None:
        freshness = self.state.freshness
        self.event_log.log_change(
            event,
            version=self.state.routes.version,
            source=freshness.source.value,
            # Infinite ages have no number in JSON.
            age_s=round(min(freshness.age_s(), 1e6), 3),
            contact_age_s=round(min(freshness.contact_age_s(), 1e6), 3),
        )
