"""Virtual time and operations whose fate a test decides."""

import asyncio
import datetime
import typing

import attrs

SETTLE_TURNS = 30


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time moves only when it is told to.

    Examples:
        >>> loop = VirtualLoop()
        >>> task = loop.create_task(asyncio.sleep(60))
        >>> loop.settle()
        >>> loop.advance(61)
        >>> task.done()
        True
        >>> loop.close()
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def settle(self) -> None:
        """Run callbacks until nothing more happens at this time."""
        self.run_until_complete(_turns())

    def advance(self, seconds: float) -> None:
        """Move the time forward and run what is due.

        Args:
            seconds: Amount to add.
        """
        self.now += seconds
        self.settle()


async def _turns() -> None:
    for _ in range(SETTLE_TURNS):
        await asyncio.sleep(0)


@attrs.frozen
class VirtualClock:
    """Clock that shows the time of a virtual loop.

    Attributes:
        loop: The loop.
    """

    loop: VirtualLoop

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self.loop.now

    def wall(self) -> datetime.datetime:
        """Return the virtual time as a time of day."""
        return datetime.datetime.fromtimestamp(self.loop.now, datetime.UTC)


@attrs.define(eq=False)
class Operation:
    """Something an entry asked of another system.

    Attributes:
        kind: ``table``, ``slot``, ``dispatch`` or ``forward``.
        process: The process that asked.
        payload: What it asked for.
        started: Virtual time at which it asked.
        future: Resolved when an answer reaches the process.
        effect: What the system did; ``None`` before it took effect.
        notes: Further state of the operation.
    """

    kind: str
    process: typing.Any
    payload: typing.Any
    started: float
    future: asyncio.Future
    effect: typing.Any = None
    notes: dict[str, typing.Any] = attrs.field(factory=dict)

    def deliver(self, answer: typing.Any) -> None:
        """Pass an answer to the process, if it still lives and waits.

        Args:
            answer: The answer.
        """
        if self.process.alive and not self.future.done():
            self.future.set_result(answer)
