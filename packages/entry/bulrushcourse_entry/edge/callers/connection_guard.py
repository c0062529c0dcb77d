"""Limits on the connections of clients, over all HTTP listeners."""

import typing

import attrs

from bulrushcourse_domain.resources import connections
from bulrushcourse_domain.resources import memory as memories
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry import events
from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_entry.edge.reporting import metrics as edge_metrics
from bulrushcourse_entry.platform import headers as platform_headers

# Bytes that are received at once, outside a body that is being read.
READ_BYTES = 16 << 10
# Bytes that are received at once of a body that is being read.
BODY_READ_BYTES = 256 << 10
# A request line beside the header lines.
REQUEST_LINE_BYTES = 8 << 10
# Delay after which a client that was refused for lack of memory may return.
RETRY_AFTER_S = 1.0
# Longer request lines are cut off in logs.
MAX_LOGGED_LINE = 120
HEAD_STAGES = tuple(connections.HEAD_STAGES.values())


class Closable(typing.Protocol):
    """A connection that can be closed from outside."""

    def abort(self) -> None:
        """Close the connection at once."""
        ...

    def refuse(self, status: int, reason: str) -> None:
        """Answer with a status and close the connection."""
        ...

    def unsent_bytes(self) -> int:
        """Return how many bytes of responses the client has not taken."""
        ...


@attrs.define(eq=False)
class ConnectionGuard:
    """Closes and refuses connections that exceed the limits.

    Attributes:
        table: The open connections.
        limits: Returns the limits of the configuration in force.
        may_deny: Returns whether these are known well enough for an answer
            that clients must not retry.
        event_log: Log.
        metrics: Counters.
        buffer: Receive buffer of all connections; the event loop empties it
            before it receives from the next one.
        unsent: Unsent bytes at the last check of connections that do not
            read.
    """

    table: connections.ConnectionTable
    limits: typing.Callable[[], routes.RequestLimits]
    may_deny: typing.Callable[[], bool]
    event_log: event_logs.EventLog
    metrics: edge_metrics.Metrics
    buffer: memoryview = attrs.field(
        factory=lambda: memoryview(bytearray(BODY_READ_BYTES))
    )
    unsent: dict[connections.Connection, int] = attrs.field(factory=dict)

    @property
    def head_limit(self) -> int:
        """Largest head in bytes, with what precedes it."""
        return self.limits().header_bytes + REQUEST_LINE_BYTES

    def admit(self, connection: connections.Connection) -> None:
        """Add a new connection and close the least useful ones beyond.

        Args:
            connection: The connection.
        """
        self.table.add(connection)
        while self.table.is_over_limit():
            if not self._close_least_useful('connections', connection):
                self.close(connection, 'connections')
                return

    def remove(self, connection: connections.Connection) -> None:
        """Remove a connection that was closed.

        Args:
            connection: The connection.
        """
        self.table.remove(connection)
        self.unsent.pop(connection, None)

    def try_take_head(
        self, connection: connections.Connection, size: int
    ) -> bool:
        """Take memory for a head; the least useful connections make room.

        Args:
            connection: The connection.
            size: Bytes that the head takes.

        Returns:
            Whether there is enough memory.
        """
        while not self.table.try_take_head(connection, size):
            if not self._close_least_useful('head-memory', connection):
                return False
        return True

    def close(self, connection: connections.Connection, reason: str) -> None:
        """Close a connection at once.

        Args:
            connection: The connection.
            reason: Reason, for log and metrics.
        """
        self.record(reason, connection.stage)
        self.remove(connection)
        connection.handle.abort()

    def record(
        self, reason: str, stage: connections.Stage, head: bytes = b''
    ) -> None:
        """Log and count that a client was outside the limits.

        Args:
            reason: Reason.
            stage: What its connection was doing.
            head: Head that was refused, empty if none is known.
        """
        self.metrics.record_closed_connection(reason)
        self.event_log.log_client_outside_limits(
            reason=reason,
            stage=stage.value,
            connections=len(self.table),
            id=platform_headers.find_request_id(head),
            line=head[:MAX_LOGGED_LINE]
            .partition(b'\r\n')[0]
            .decode('latin-1'),
        )

    def record_error(self, error: BaseException) -> None:
        """Log an error of a handler, which is a defect.

        Args:
            error: The error.
        """
        self.event_log.log_change(
            events.Event.REQUEST_ERROR,
            error=repr(error),
            kind=type(error).__name__,
        )

    def sweep(self) -> None:
        """Close connections that stayed idle or slow for too long."""
        for connection in self.table.expired(self.limits()):
            stage = connection.stage
            if stage in HEAD_STAGES:
                self.record('header-timeout', stage)
                connection.handle.refuse(408, 'header-timeout')
            elif stage is connections.Stage.WRITING:
                self._check_unsent(connection)
            else:
                self.remove(connection)
                connection.handle.abort()

    def _check_unsent(self, connection: connections.Connection) -> None:
        unsent = connection.handle.unsent_bytes()
        if unsent == self.unsent.get(connection):
            self.close(connection, 'unread-response')
            return
        self.table.enter(connection, connection.stage)
        self.unsent[connection] = unsent

    def _close_least_useful(
        self, reason: str, excluded: connections.Connection
    ) -> bool:
        victim = self.table.least_useful(excluded)
        if victim is None:
            return False
        self.close(victim, reason)
        return True


def build_guard(
    budget: memories.MemoryBudget,
    limit: int,
    limits: typing.Callable[[], routes.RequestLimits],
    may_deny: typing.Callable[[], bool],
    event_log: event_logs.EventLog,
    metrics: edge_metrics.Metrics,
) -> ConnectionGuard:
    """Return the guard of a process's connections.

    Args:
        budget: Memory of the VM's traffic.
        limit: Largest number of connections.
        limits: Returns the limits of the configuration in force.
        may_deny: See ``ConnectionGuard``.
        event_log: Log.
        metrics: Counters.
    """
    table = connections.ConnectionTable(event_log.clock, budget, limit)
    metrics.add_gauge(
        'bulrushcourse_client_connections',
        'Open connections of clients',
        lambda: float(len(table)),
    )
    return ConnectionGuard(table, limits, may_deny, event_log, metrics)
