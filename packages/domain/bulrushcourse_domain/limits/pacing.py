"""Order and spacing of the pieces that share one rate."""

import collections
import math

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.limits import rate_window

PIECE_BYTES = 16 * 1024
# Long work leaves 5% of each window to short work, which then need not wait
# for a window to pass; 0.95 / 1.03 keeps the use of a link above its 90%.
LONG_PART = 0.95
# One piece in 16 goes to the lowest priority that waits, so that it does not
# starve; it delays the others by 6% at most.
RELIEF_EVERY = 16
# Long work may catch up this much after a late timer.
CATCH_UP_S = 0.05


@attrs.frozen
class Piece:
    """A part of a body that is about to flow.

    Attributes:
        piece_id: Identifier, unique while it waits.
        priority: Order of service, 0 first.
        size: Bytes, at most ``PIECE_BYTES``.
    """

    piece_id: str
    priority: int
    size: int


@attrs.define
class PieceQueue:
    """Lets pieces flow within a share, short work before long.

    Each body has one piece in the queue at a time and joins at the end of
    its priority, so that bodies of one priority take turns. Long work is
    spread evenly over time; a window filled at its start would make short
    work wait for its end.

    Attributes:
        clock: Source of time.
        window: Charges of the share.
        long_priority: Lowest priority that counts as long work.
        waiting: Waiting pieces by priority, oldest first.
        long_due: Clock seconds when the next long piece may flow.
        passed: Pieces that flowed past a waiting lower priority.
    """

    clock: clocks.Clock
    window: rate_window.RateWindow
    long_priority: int
    waiting: dict[int, collections.deque[Piece]] = attrs.field(factory=dict)
    long_due: float = 0.0
    passed: int = 0

    def add(self, piece: Piece) -> None:
        """Queue a piece.

        Args:
            piece: The piece.
        """
        line = self.waiting.setdefault(piece.priority, collections.deque())
        line.append(piece)

    def cancel(self, piece_id: str) -> None:
        """Forget a waiting piece.

        Args:
            piece_id: Identifier of the piece.
        """
        for priority, line in list(self.waiting.items()):
            kept = collections.deque(p for p in line if p.piece_id != piece_id)
            self._keep(priority, kept)

    def release(self, share: int) -> list[Piece]:
        """Charge and return the pieces that may flow now, in order.

        Args:
            share: Bytes per second that this entry may use.

        Examples:
            >>> clock = clocks.ManualClock()
            >>> queue = PieceQueue(clock, rate_window.RateWindow(clock), 2)
            >>> queue.add(Piece('upload', 2, PIECE_BYTES))
            >>> queue.add(Piece('list', 1, 2_000))
            >>> [piece.piece_id for piece in queue.release(100_000)]
            ['list', 'upload']
        """
        released = []
        while (piece := self.head()) is not None:
            if self._delay_s(piece, share) > 0:
                break
            self.window.charge(piece.size, share)
            self._pass(piece, share)
            released.append(piece)
        return released

    def wait_s(self, share: int) -> float:
        """Return the seconds until a piece may flow, infinite if none.

        Args:
            share: Bytes per second that this entry may use.
        """
        piece = self.head()
        return math.inf if piece is None else self._delay_s(piece, share)

    def head(self) -> Piece | None:
        """Return the piece whose turn it is, ``None`` if none waits."""
        if not self.waiting:
            return None
        if self._is_relief_due():
            return self.waiting[max(self.waiting)][0]
        return self.waiting[min(self.waiting)][0]

    def _is_relief_due(self) -> bool:
        return self.passed >= RELIEF_EVERY - 1

    def _spacing_s(self) -> float:
        return max(0.0, self.long_due - self.clock.monotonic())

    def _delay_s(self, piece: Piece, share: int) -> float:
        if piece.priority < self.long_priority or self._is_relief_due():
            return self.window.wait_s(piece.size, share)
        room = max(int(share * LONG_PART), min(share, PIECE_BYTES))
        return max(self._spacing_s(), self.window.wait_s(piece.size, room))

    def _pass(self, piece: Piece, share: int) -> None:
        line = self.waiting[piece.priority]
        line.popleft()
        self._keep(piece.priority, line)
        waits = self.waiting and max(self.waiting) > piece.priority
        self.passed = self.passed + 1 if waits else 0
        if piece.priority >= self.long_priority:
            earliest = self.clock.monotonic() - CATCH_UP_S
            rate = share * LONG_PART / self.window.window_s
            self.long_due = max(self.long_due, earliest) + piece.size / rate

    def _keep(self, priority: int, line: collections.deque[Piece]) -> None:
        if line:
            self.waiting[priority] = line
        else:
            self.waiting.pop(priority, None)
