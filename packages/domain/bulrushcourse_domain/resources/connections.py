"""Open connections of clients: their stages, ages and memory.

Answers clients that open many connections, send slowly or not at all, or do
not read: the least useful connections are closed before memory or descriptors
run out.
"""

import enum
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.resources import memory as memories
from bulrushcourse_domain.routes import route as routes

# A connection with its task, parser and one read that it has not handled yet.
CONNECTION_BYTES = 12 << 10
# Share of the connections' memory without heads.
BARE_SHARE = 0.6
# Memory of a parsed head, for each byte and for each line of it. It exists as
# received, in fields and in the request to the upstream.
HEAD_COPIES = 4
LINE_BYTES = 600


class Stage(enum.Enum):
    """What a connection is doing.

    Attributes:
        NEW: It has sent nothing yet.
        FIRST_HEAD: It is sending the head of its first request.
        KEPT: It was served and is idle.
        NEXT_HEAD: It is sending the head of a further request.
        BODY: It is sending a body, of which nothing was passed on.
        SERVED: Its request is being served.
        WRITING: It does not read its response as fast as it is written.
    """

    NEW = 'new'
    FIRST_HEAD = 'first-head'
    KEPT = 'kept'
    NEXT_HEAD = 'next-head'
    BODY = 'body'
    SERVED = 'served'
    WRITING = 'writing'


# Least useful first, and in each stage the one that entered it first. Those
# whose request is being served are never closed.
CLOSING_ORDER = (
    Stage.NEW,
    Stage.FIRST_HEAD,
    Stage.KEPT,
    Stage.NEXT_HEAD,
    Stage.BODY,
    Stage.WRITING,
)
# Stage of a connection that has begun a head, by its stage before.
HEAD_STAGES = {Stage.NEW: Stage.FIRST_HEAD, Stage.KEPT: Stage.NEXT_HEAD}
# Limit that bounds the time in a stage; a body is bounded by its deadline.
STAGE_LIMITS: typing.Mapping[
    Stage, typing.Callable[[routes.RequestLimits], float]
] = {
    Stage.NEW: lambda limits: limits.idle_timeout_s,
    Stage.KEPT: lambda limits: limits.idle_timeout_s,
    Stage.WRITING: lambda limits: limits.idle_timeout_s,
    Stage.FIRST_HEAD: lambda limits: limits.header_timeout_s,
    Stage.NEXT_HEAD: lambda limits: limits.header_timeout_s,
}
# Stages in which nothing that was received is unanswered.
IDLE_STAGES = frozenset({Stage.NEW, Stage.KEPT})
# Time in seconds in which a client usually sends its first request.
FIRST_REQUEST_S = 0.5


@attrs.define(eq=False)
class Connection:
    """An open connection.

    Attributes:
        handle: What closes it.
        stage: What it is doing.
        head_bytes: Memory that its head takes.
    """

    handle: typing.Any
    stage: Stage = Stage.NEW
    head_bytes: int = 0


@attrs.define(eq=False)
class ConnectionTable:
    """All open connections of clients.

    Attributes:
        clock: Source of time.
        memory: Memory of the VM's traffic.
        limit: Largest number of connections.
        by_stage: Time when each connection entered its stage, by stage, in
            the order in which they did.
        peak: Largest number of connections so far.
    """

    clock: clocks.Clock
    memory: memories.MemoryBudget
    limit: int
    by_stage: dict[Stage, dict[Connection, float]] = attrs.field(
        factory=lambda: {stage: {} for stage in Stage}
    )
    peak: int = 0

    def __len__(self) -> int:
        return sum(len(entered) for entered in self.by_stage.values())

    def counts(self) -> dict[str, int]:
        """Return the number of connections in each stage that has any."""
        return {
            stage.value: len(entered)
            for stage, entered in self.by_stage.items()
            if entered
        }

    def add(self, connection: Connection) -> None:
        """Add a connection.

        Args:
            connection: The connection; ``excess`` tells what to close.
        """
        self.by_stage[connection.stage][connection] = self.clock.monotonic()
        self.peak = max(self.peak, len(self))
        self.memory.used_bytes[memories.Use.CONNECTIONS] += CONNECTION_BYTES

    def remove(self, connection: Connection) -> None:
        """Remove a connection that has been closed.

        Args:
            connection: The connection.
        """
        if self.by_stage[connection.stage].pop(connection, None) is None:
            return
        self.memory.release(
            memories.Use.CONNECTIONS, CONNECTION_BYTES + connection.head_bytes
        )
        connection.head_bytes = 0

    def enter(self, connection: Connection, stage: Stage) -> None:
        """Record that a connection has entered a stage, also the same one.

        Args:
            connection: The connection.
            stage: The stage.
        """
        if self.by_stage[connection.stage].pop(connection, None) is None:
            return
        connection.stage = stage
        self.by_stage[stage][connection] = self.clock.monotonic()

    def begin_head(self, connection: Connection) -> None:
        """Record that a connection has begun to send a head.

        Args:
            connection: The connection.
        """
        stage = HEAD_STAGES.get(connection.stage)
        if stage is not None:
            self.enter(connection, stage)

    def may_stop(self, connection: Connection) -> bool:
        """Return whether a planned stop may close a connection now.

        A client whose kept connection is closed uses another VM. A new one
        was opened for a request, which is answered while there is other work
        to wait for.

        Args:
            connection: The connection.
        """
        if connection.stage is Stage.KEPT:
            return True
        opened = self.by_stage[Stage.NEW].get(connection)
        return (
            opened is not None
            and not self.has_work()
            and self.clock.monotonic() - opened >= FIRST_REQUEST_S
        )

    def has_work(self) -> bool:
        """Return whether something that was received is unanswered."""
        return any(
            entered and stage not in IDLE_STAGES
            for stage, entered in self.by_stage.items()
        )

    def is_over_limit(self) -> bool:
        """Return whether there are more connections than allowed."""
        bare = len(self) * CONNECTION_BYTES
        share = self.memory.share_bytes(memories.Use.CONNECTIONS)
        return len(self) > self.limit or bare > share * BARE_SHARE

    def try_take_head(self, connection: Connection, size: int) -> bool:
        """Take memory for a head, in place of what it took before.

        Args:
            connection: The connection.
            size: Bytes that the head takes, 0 to release them.

        Returns:
            Whether the memory allowed it.
        """
        use = memories.Use.CONNECTIONS
        self.memory.release(use, connection.head_bytes)
        connection.head_bytes = 0
        if size and not self.memory.try_take(use, size):
            return False
        connection.head_bytes = size
        return True

    def least_useful(
        self, excluded: Connection | None = None
    ) -> Connection | None:
        """Return the connection to close first, if any may be closed.

        Args:
            excluded: Connection that is not to be closed.
        """
        for stage in CLOSING_ORDER:
            for connection in self.by_stage[stage]:
                if connection is not excluded:
                    return connection
        return None

    def expired(self, limits: routes.RequestLimits) -> list[Connection]:
        """Return the connections that stayed in a stage for too long.

        Args:
            limits: Limits of the configuration in force.
        """
        now = self.clock.monotonic()
        found = []
        for stage, limit in STAGE_LIMITS.items():
            for connection, since in self.by_stage[stage].items():
                if now - since <= limit(limits):
                    break
                found.append(connection)
        return found


def parsed_bytes(head: bytes) -> int:
    r"""Return the memory that a complete head takes once it is parsed.

    Args:
        head: The head as received.

    Examples:
        >>> parsed_bytes(b'GET / HTTP/1.1\r\n\r\n')
        1272
    """
    return HEAD_COPIES * len(head) + LINE_BYTES * head.count(b'\n')
