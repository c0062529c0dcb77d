"""Order and spacing of the chunks that share one rate."""

import collections
import math

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.limits import rate_window

CHUNK_BYTES = 16 * 1024
# Long work leaves 5% of each window to short work, which then need not wait
# for a window to pass; 0.95 / 1.03 keeps the use of a link above its 90%.
LONG_PART = 0.95
# One chunk in 16 goes to the lowest priority that waits, so that it does not
# starve; it delays the others by 6% at most.
RELIEF_EVERY = 16
# Long work may catch up this much after a late timer.
CATCH_UP_S = 0.05


@attrs.frozen
class Chunk:
    """A part of a body that is about to flow.

    Attributes:
        chunk_id: Identifier, unique while it waits.
        priority: Order of service, 0 first.
        size: Bytes, at most ``CHUNK_BYTES``.
    """

    chunk_id: str
    priority: int
    size: int


@attrs.define
class ChunkQueue:
    """Lets chunks flow within a share, short work before long.

    Each body has one chunk in the queue at a time and joins at the end of
    its priority, so that bodies of one priority take turns. Long work is
    spread evenly over time; a window filled at its start would make short
    work wait for its end.

    Attributes:
        clock: Source of time.
        window: Charges of the share.
        long_priority: Lowest priority that counts as long work.
        waiting: Waiting chunks by priority, oldest first.
        long_due: Clock seconds when the next long chunk may flow.
        passed: Chunks that flowed past a waiting lower priority.
    """

    clock: clocks.Clock
    window: rate_window.RateWindow
    long_priority: int
    waiting: dict[int, collections.deque[Chunk]] = attrs.field(factory=dict)
    long_due: float = 0.0
    passed: int = 0

    def add(self, chunk: Chunk) -> None:
        """Queue a chunk.

        Args:
            chunk: The chunk.
        """
        line = self.waiting.setdefault(chunk.priority, collections.deque())
        line.append(chunk)

    def cancel(self, chunk_id: str) -> None:
        """Forget a waiting chunk.

        Args:
            chunk_id: Identifier of the chunk.
        """
        for priority, line in list(self.waiting.items()):
            kept = collections.deque(p for p in line if p.chunk_id != chunk_id)
            self._keep(priority, kept)

    def release(self, share: int) -> list[Chunk]:
        """Charge and return the chunks that may flow now, in order.

        Args:
            share: Bytes per second that this entry may use.

        Examples:
            >>> clock = clocks.ManualClock()
            >>> queue = ChunkQueue(clock, rate_window.RateWindow(clock), 2)
            >>> queue.add(Chunk('upload', 2, CHUNK_BYTES))
            >>> queue.add(Chunk('list', 1, 2_000))
            >>> [chunk.chunk_id for chunk in queue.release(100_000)]
            ['list', 'upload']
        """
        released = []
        while (chunk := self.head()) is not None:
            if self._delay_s(chunk, share) > 0:
                break
            self.window.charge(chunk.size, share)
            self._pass(chunk, share)
            released.append(chunk)
        return released

    def wait_s(self, share: int) -> float:
        """Return the seconds until a chunk may flow, infinite if none.

        Args:
            share: Bytes per second that this entry may use.
        """
        chunk = self.head()
        return math.inf if chunk is None else self._delay_s(chunk, share)

    def head(self) -> Chunk | None:
        """Return the chunk whose turn it is, ``None`` if none waits."""
        if not self.waiting:
            return None
        if self._is_relief_due():
            return self.waiting[max(self.waiting)][0]
        return self.waiting[min(self.waiting)][0]

    def _is_relief_due(self) -> bool:
        return self.passed >= RELIEF_EVERY - 1

    def _spacing_s(self) -> float:
        return max(0.0, self.long_due - self.clock.monotonic())

    def _delay_s(self, chunk: Chunk, share: int) -> float:
        if chunk.priority < self.long_priority or self._is_relief_due():
            return self.window.wait_s(chunk.size, share)
        room = max(int(share * LONG_PART), min(share, CHUNK_BYTES))
        return max(self._spacing_s(), self.window.wait_s(chunk.size, room))

    def _pass(self, chunk: Chunk, share: int) -> None:
        line = self.waiting[chunk.priority]
        line.popleft()
        self._keep(chunk.priority, line)
        waits = self.waiting and max(self.waiting) > chunk.priority
        self.passed = self.passed + 1 if waits else 0
        if chunk.priority >= self.long_priority:
            earliest = self.clock.monotonic() - CATCH_UP_S
            rate = share * LONG_PART / self.window.window_s
            self.long_due = max(self.long_due, earliest) + chunk.size / rate

    def _keep(self, priority: int, line: collections.deque[Chunk]) -> None:
        if line:
            self.waiting[priority] = line
        else:
            self.waiting.pop(priority, None)
