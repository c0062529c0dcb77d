"""Virtual time, and operations whose results a test decides."""

import asyncio
import datetime
import typing

import attrs

SETTLE_ITERATIONS = 30


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances only by calls of ``advance``.

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
        """Run all callbacks that are due at the current time."""
        self.run_until_complete(_run_pending_callbacks())

    def advance(self, seconds: float) -> None:
        """Advance the time and run the callbacks that are due.

        Args:
            seconds: Time to add.
        """
        self.now += seconds
        self.settle()


async def _run_pending_callbacks() -> None:
    for _ in range(SETTLE_ITERATIONS):
        await asyncio.sleep(0)


@attrs.frozen
class VirtualClock:
    """Clock with the time of a virtual loop.

    Attributes:
        loop: Event loop that provides the time.
    """

    loop: VirtualLoop

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self.loop.now

    def wall(self) -> datetime.datetime:
        """Return the virtual time as a UTC date and time."""
        return datetime.datetime.fromtimestamp(self.loop.now, datetime.UTC)


@attrs.define(eq=False)
class Operation:
    """A call of an entry to another system.

    Attributes:
        kind: ``table``, ``slot``, ``dispatch`` or ``forward``.
        process: Process that made the call.
        payload: Arguments of the call.
        started: Virtual time of the call in seconds.
        future: Resolved when an answer reaches the process.
        effect: Effect of the call, ``None`` before it took effect.
        details: Further state of the operation.
    """

    kind: str
    process: typing.Any
    payload: typing.Any
    started: float
    future: asyncio.Future
    effect: typing.Any = None
    details: dict[str, typing.Any] = attrs.field(factory=dict)

    def deliver(self, answer: typing.Any) -> None:
        """Deliver an answer to the process if it is alive and still waits.

        Args:
            answer: Answer to deliver.
        """
        if self.process.alive and not self.future.done():
            self.future.set_result(answer)
