"""Forwarding of changes of the upstream directory from VM to VM."""

import attrs

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.fleet import links as fleet_links
from bulrushcourse_domain.store import position as positions
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.fleet import stream_cursor
from bulrushcourse_wire import fleet_messages

# A later read of the upstreams' rows is forwarded even without changes, since
# it proves that the receiver's directory is up to date.
MIN_READ_PROGRESS_S = 0.2
# Time after which changes of the directory that a receiver still lacks are
# sent again.
RESEND_AFTER_S = 1.0
# Receivers that are told of later reads without changes only when a report is
# due: they forward them to no other VM.
_LAST_RECEIVERS = frozenset(
    {fleet_links.Relation.MEMBER, fleet_links.Relation.STANDBY}
)


@attrs.define
class ReportedDirectory:
    """The upstream directory of another VM, as it reported.

    Attributes:
        position: Its exact position.
        read_at: When its latest position was read from the store.
    """

    position: positions.Position
    read_at: float


@attrs.define(eq=False)
class DirectoryForwarding:
    """Decides which VM is sent which changes of the directory.

    Attributes:
        state: The process state.
        directories: Upstream directories of the VMs that report to this one.
        origin: Relation of the VM that sent the latest changes, ``None`` if
            this VM read them from the store.
    """

    state: process_state.ProcessState
    directories: dict[str, ReportedDirectory] = attrs.field(factory=dict)
    origin: fleet_links.Relation | None = None

    def __attrs_post_init__(self) -> None:
        """Subscribe to own reads of the store."""
        self.state.snapshot_versions.subscribe(self._record_own_read)

    def _record_own_read(self, position: positions.Position) -> None:
        self.origin = None
        self.state.directory_reads.on_next(position)

    def discard(self, vm: str) -> None:
        """Discard what is known of a VM that was removed.

        Args:
            vm: Name of the VM.
        """
        self.directories.pop(vm, None)

    def is_urgent(self, cursor: stream_cursor.StreamCursor) -> bool:
        """Return whether a report is sent before it is due.

        Args:
            cursor: Cursor of the stream.
        """
        if cursor.relation in _LAST_RECEIVERS and not self._has_changes(
            cursor
        ):
            return False
        return self.has_news(cursor)

    def _has_changes(self, cursor: stream_cursor.StreamCursor) -> bool:
        """Return whether the receiver lacks changes that were not sent."""
        known = self.directories.get(cursor.receiver)
        return known is not None and self.state.upstreams.history.latest > max(
            known.position, cursor.directory_position
        )

    def has_news(self, cursor: stream_cursor.StreamCursor) -> bool:
        """Return whether a stream's receiver lacks changes or later reads.

        Args:
            cursor: Cursor of the stream.
        """
        known = self.directories.get(cursor.receiver)
        directory = self.state.upstreams
        if known is None or not directory.position:
            # The receiver reports its position soon; without it, the complete
            # directory would have to be sent.
            return False
        if directory.position < known.position:
            return self._knows_departures(cursor, known.position)
        is_forwarded_by_origin = self.origin is cursor.relation
        progress_s = directory.read_at - max(
            known.read_at, cursor.directory_read_at
        )
        if progress_s > RESEND_AFTER_S:
            return True
        if self._has_changes(cursor) or progress_s > MIN_READ_PROGRESS_S:
            return not is_forwarded_by_origin
        sent_age_s = self.state.clock.monotonic() - cursor.directory_sent_at
        return (
            directory.position > known.position and sent_age_s > RESEND_AFTER_S
        )

    def _knows_departures(
        self,
        cursor: stream_cursor.StreamCursor,
        position: positions.Position,
    ) -> bool:
        """Return whether a receiver at a later position may use the copy.

        While a return settles, only VMs that do not know of it have an exact
        position in its era. They may use upstreams that left before.

        Args:
            cursor: Cursor of the stream.
            position: Exact position of the receiver.
        """
        directory = self.state.upstreams
        sent_age_s = self.state.clock.monotonic() - cursor.directory_sent_at
        return (
            self.state.store_era.is_settling()
            and directory.exact_position.era < directory.position.era
            and position.era == directory.position.era
            and sent_age_s > RESEND_AFTER_S
        )

    def delta(
        self, cursor: stream_cursor.StreamCursor
    ) -> upstreams.DirectoryDelta | None:
        """Return the changes to send on a stream, ``None`` if there are none.

        Args:
            cursor: Cursor of the stream, which is advanced.
        """
        if not self.has_news(cursor):
            return None
        directory = self.state.upstreams
        cursor.directory_position = directory.position
        cursor.directory_read_at = directory.read_at
        cursor.directory_sent_at = self.state.clock.monotonic()
        known = self.directories[cursor.receiver]
        return directory.delta_since(known.position)

    def apply(self, vm: fleet.Vm, report: fleet_messages.Report) -> None:
        """Record the directory that a VM reports, and apply its changes.

        Args:
            vm: The VM.
            report: Its report.
        """
        state = self.state
        self.directories[vm.name] = ReportedDirectory(
            report.directory_position,
            state.clock.monotonic() - report.directory_age_s,
        )
        for change in state.upstreams.apply_states(report.upstream_states):
            state.upstream_changes.on_next(change)
        if report.directory_delta is None:
            return
        read_at = state.upstreams.read_at
        for change in state.upstreams.apply_delta(report.directory_delta):
            state.upstream_changes.on_next(change)
        if state.upstreams.read_at > read_at:
            self.origin = report.relation
            state.directory_reads.on_next(state.upstreams.position)
