"""Bytes that wait for their turn on a link."""

import asyncio
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.limits import pacing
from bulrushcourse_entry.limits import held_limit

# Shares change without notice; waiting chunks are looked at this often.
SHARE_CHECK_S = 0.25


@attrs.define(eq=False)
class LinkPacer:
    """Lets bytes flow on one direction of a link within its shares.

    One task runs while chunks wait.

    Attributes:
        held: The link's limit.
        queue: Chunks that wait.
        request_renewal: Asks for a larger share.
        waiters: Futures of waiting chunks by identifier.
        added: Set when a chunk joins.
        pump: The task that lets chunks flow.
        numbered: Number of chunks so far.
    """

    held: held_limit.HeldLimit
    queue: pacing.ChunkQueue
    request_renewal: typing.Callable[[], None]
    waiters: dict[str, asyncio.Future] = attrs.field(factory=dict)
    added: asyncio.Event = attrs.field(factory=asyncio.Event)
    pump: asyncio.Task | None = None
    numbered: int = 0

    async def flow(self, size: int, priority: int) -> None:
        """Wait until bytes may flow; they are charged when this returns.

        Args:
            size: Number of bytes.
            priority: Priority of the request's class, 0 first.
        """
        while size > 0:
            await self._flow_chunk(min(size, pacing.CHUNK_BYTES), priority)
            size -= pacing.CHUNK_BYTES

    @property
    def is_blocked(self) -> bool:
        """Whether the shares are too small for a chunk."""
        return self.held.shares.usable < pacing.CHUNK_BYTES

    async def stop(self) -> None:
        """End the task."""
        if self.pump is not None:
            self.pump.cancel()
            await asyncio.gather(self.pump, return_exceptions=True)

    async def _flow_chunk(self, size: int, priority: int) -> None:
        self.numbered += 1
        chunk = pacing.Chunk(str(self.numbered), priority, size)
        waiter = asyncio.get_running_loop().create_future()
        self.waiters[chunk.chunk_id] = waiter
        self.queue.add(chunk)
        self._release()
        if not waiter.done():
            self._wake()
        try:
            await waiter
        finally:
            if self.waiters.pop(chunk.chunk_id, None) is not None:
                self.queue.cancel(chunk.chunk_id)

    def _release(self) -> None:
        for chunk in self.queue.release(self.held.shares.usable):
            waiter = self.waiters.pop(chunk.chunk_id)
            if not waiter.done():
                waiter.set_result(None)
        self.held.note_use(False)

    def _wake(self) -> None:
        if self.pump is None or self.pump.done():
            self.pump = asyncio.create_task(self._run())
        self.added.set()

    async def _run(self) -> None:
        while self.queue.waiting:
            self.added.clear()
            wait_s = self.queue.wait_s(self.held.shares.usable)
            if wait_s > 0:
                self._note_backlog()
            timeout_s = min(wait_s, SHARE_CHECK_S)
            try:
                async with asyncio.timeout(timeout_s):
                    await self.added.wait()
            except TimeoutError:
                pass
            self._release()

    def _note_backlog(self) -> None:
        if not self.held.turned_away:
            self.held.note_use(True)
            self.request_renewal()


def open_pacer(
    clock: clocks.Clock,
    held: held_limit.HeldLimit,
    long_priority: int,
    request_renewal: typing.Callable[[], None],
) -> LinkPacer:
    """Return a pacer without waiting chunks.

    Args:
        clock: Source of time.
        held: The link's limit.
        long_priority: Lowest priority that counts as long work.
        request_renewal: Asks for a larger share.
    """
    queue = pacing.ChunkQueue(clock, held.window, long_priority)
    return LinkPacer(held, queue, request_renewal)


@attrs.frozen
class PacedLink:
    """The two directions of a link, as one request uses them.

    Attributes:
        there: Pacers of the direction to the instance.
        back: Pacers of the direction from the instance.
        priority: Priority of the request's class, 0 first.
    """

    there: tuple[LinkPacer, ...]
    back: tuple[LinkPacer, ...]
    priority: int

    async def send(self, size: int) -> None:
        """Wait until bytes may flow to the instance.

        Args:
            size: Number of bytes.
        """
        for pacer in self.there:
            await pacer.flow(size, self.priority)

    async def receive(self, size: int) -> None:
        """Wait until bytes may flow from the instance.

        Args:
            size: Number of bytes.
        """
        for pacer in self.back:
            await pacer.flow(size, self.priority)
