"""Promises not to take over a pool, given and received by one entry."""

import math

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.slots import timing

REMEMBERED_WISHES = 8


@attrs.frozen
class PromiseRequest:
    """A candidate's request for promises.

    Attributes:
        pool: Name of the pool, ``region/service``.
        entry: Name of the candidate.
        candidate: Incarnation of the candidate.
        number: Number of the request, from which the candidate knows when it
            asked.
        owns: Whether the candidate owns the pool already.
    """

    pool: str
    entry: str
    candidate: str
    number: int
    owns: bool = False


@attrs.frozen
class Promise:
    """A promise not to take over a pool.

    Attributes:
        pool: Name of the pool.
        entry: Name of the entry that promises.
        candidate: Incarnation that the pool is promised to.
        number: Number of the request that is answered.
    """

    pool: str
    entry: str
    candidate: str
    number: int


@attrs.define
class PoolPromises:
    """Promises about one pool.

    The receiver counts a promise from before it asked, the giver from its
    answer and with a margin for drift; so the giver always keeps it longer.

    Attributes:
        clock: Source of time.
        times: Durations.
        given_to: Incarnation that this entry last promised the pool to.
        given_until: Clock seconds at which that promise ends.
        received: End of the promise of each other entry.
        asked: Clock seconds at which recent requests were made, by number.
        number: Number of the last request.
    """

    clock: clocks.Clock
    times: timing.OwnershipTimes = timing.OwnershipTimes()
    given_to: str = ''
    given_until: float = -math.inf
    received: dict[str, float] = attrs.field(factory=dict)
    asked: dict[int, float] = attrs.field(factory=dict)
    number: int = 0

    def is_outstanding(self) -> bool:
        """Return whether a promise given by this entry still holds."""
        return self.clock.monotonic() <= self.given_until

    def is_free_for(self, candidate: str) -> bool:
        """Return whether no promise to another candidate holds.

        Args:
            candidate: Incarnation of the candidate.
        """
        return not self.is_outstanding() or self.given_to == candidate

    def ask(self) -> int:
        """Return the number of a new request."""
        self.number += 1
        self.asked[self.number] = self.clock.monotonic()
        self.asked.pop(self.number - REMEMBERED_WISHES, None)
        return self.number

    def give(self, candidate: str) -> None:
        """Promise the pool.

        Args:
            candidate: Incarnation of the candidate.
        """
        self.given_to = candidate
        kept_s = self.times.outlast(self.times.promise_s)
        self.given_until = self.clock.monotonic() + kept_s

    def free(self, candidate: str) -> None:
        """End a promise whose receiver has no more use for it.

        Args:
            candidate: Incarnation that gave the pool up for good.
        """
        if self.given_to == candidate:
            self.given_until = -math.inf

    def receive(self, entry: str, number: int) -> None:
        """Count a promise from when it was asked for.

        Args:
            entry: Name of the entry that promised.
            number: Number of the request.
        """
        asked_at = self.asked.get(number, -math.inf)
        until = asked_at + self.times.promise_s
        self.received[entry] = max(until, self.received.get(entry, until))
