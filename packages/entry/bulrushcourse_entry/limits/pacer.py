"""Pacing of bytes on links between regions."""

import asyncio
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.limits import pacing
from bulrushcourse_entry.limits import local_limit as local_limits

# Shares change without notification, so waiting chunks are polled this often.
SHARE_CHECK_INTERVAL_S = 0.25


@attrs.define(eq=False)
class LinkPacer:
    """Paces one direction of a link within this entry's shares.

    A task runs while chunks wait.

    Attributes:
        limit: The link's limit.
        queue: Waiting chunks.
        request_renewal: Requests a larger share.
        waiters: Futures of waiting chunks by identifier.
        chunk_added: Set when a chunk is queued.
        task: The task that releases waiting chunks.
        chunk_count: Number of chunks so far.
    """

    limit: local_limits.LocalLimit
    queue: pacing.ChunkQueue
    request_renewal: typing.Callable[[], None]
    waiters: dict[str, asyncio.Future] = attrs.field(factory=dict)
    chunk_added: asyncio.Event = attrs.field(factory=asyncio.Event)
    task: asyncio.Task | None = None
    chunk_count: int = 0

    async def acquire(self, size: int, priority: int) -> None:
        """Wait until bytes may be sent; they are charged when this returns.

        Args:
            size: Number of bytes.
            priority: Priority of the request's class, 0 is served first.
        """
        while size > 0:
            await self._acquire_chunk(min(size, pacing.CHUNK_BYTES), priority)
            size -= pacing.CHUNK_BYTES

    @property
    def is_blocked(self) -> bool:
        """Whether the shares are too small for a chunk."""
        return self.limit.shares.usable < pacing.CHUNK_BYTES

    async def stop(self) -> None:
        """Cancel the task and wait for it."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _acquire_chunk(self, size: int, priority: int) -> None:
        self.chunk_count += 1
        chunk = pacing.Chunk(str(self.chunk_count), priority, size)
        waiter = asyncio.get_running_loop().create_future()
        self.waiters[chunk.chunk_id] = waiter
        self.queue.add(chunk)
        self._release_chunks()
        if not waiter.done():
            self._wake_task()
        try:
            await waiter
        finally:
            if self.waiters.pop(chunk.chunk_id, None) is not None:
                self.queue.cancel(chunk.chunk_id)

    def _release_chunks(self) -> None:
        for chunk in self.queue.release(self.limit.shares.usable):
            waiter = self.waiters.pop(chunk.chunk_id)
            if not waiter.done():
                waiter.set_result(None)
        self.limit.record_use(False)

    def _wake_task(self) -> None:
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self._run())
        self.chunk_added.set()

    async def _run(self) -> None:
        while self.queue.waiting:
            self.chunk_added.clear()
            wait_s = self.queue.wait_s(self.limit.shares.usable)
            if wait_s > 0:
                self._record_backlog()
            timeout_s = min(wait_s, SHARE_CHECK_INTERVAL_S)
            try:
                async with asyncio.timeout(timeout_s):
                    await self.chunk_added.wait()
            except TimeoutError:
                pass
            self._release_chunks()

    def _record_backlog(self) -> None:
        if not self.limit.exhausted:
            self.limit.record_use(True)
            self.request_renewal()


def build_pacer(
    clock: clocks.Clock,
    limit: local_limits.LocalLimit,
    long_priority: int,
    request_renewal: typing.Callable[[], None],
) -> LinkPacer:
    """Return a pacer without waiting chunks.

    Args:
        clock: Source of time.
        limit: The link's limit.
        long_priority: Lowest priority that counts as long work.
        request_renewal: Requests a larger share.
    """
    queue = pacing.ChunkQueue(clock, limit.window, long_priority)
    return LinkPacer(limit, queue, request_renewal)


@attrs.frozen
class PacedLink:
    """Throttle for one request on both directions of a link.

    Attributes:
        outbound: Pacers of the direction to the instance.
        inbound: Pacers of the direction from the instance.
        priority: Priority of the request's class, 0 is served first.
    """

    outbound: tuple[LinkPacer, ...]
    inbound: tuple[LinkPacer, ...]
    priority: int

    async def send(self, size: int) -> None:
        """Wait until bytes may be sent to the instance.

        Args:
            size: Number of bytes.
        """
        for pacer in self.outbound:
            await pacer.acquire(size, self.priority)

    async def receive(self, size: int) -> None:
        """Wait until bytes may be received from the instance.

        Args:
            size: Number of bytes.
        """
        for pacer in self.inbound:
            await pacer.acquire(size, self.priority)
