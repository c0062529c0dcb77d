"""Promises not to take over a pool, given and received by one entry."""

import math

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.slots import timing

MAX_REMEMBERED_REQUESTS = 8


@attrs.frozen
class PromiseRequest:
    """A candidate's request for promises.

    Attributes:
        pool: Name of the pool, ``region/service``.
        entry: Name of the candidate.
        candidate: Incarnation of the candidate.
        number: Number of the request, by which the candidate looks up when
            it sent the request.
        owns: Whether the candidate already owns the pool.
    """

    pool: str
    entry: str
    candidate: str
    number: int
    owns: bool = False


@attrs.frozen
class Promise:
    """A promise not to take over a pool, as in Paxos.

    Attributes:
        pool: Name of the pool.
        entry: Name of the entry that gives the promise.
        candidate: Incarnation to which the pool is promised.
        number: Number of the request that is answered.
    """

    pool: str
    entry: str
    candidate: str
    number: int


@attrs.define
class PoolPromises:
    """Promises that one entry gave and received for one pool.

    For the receiver a promise starts when it sent the request; for the giver
    it starts with the answer and lasts longer by a margin for clock drift.
    So a promise never expires at its giver before it does at its receiver.

    Attributes:
        clock: Source of time.
        durations: Durations of leases and promises.
        promised_to: Incarnation to which this entry last promised the pool.
        promised_until: Clock seconds at which that promise expires.
        received_until: Clock seconds at which the promise of each other
            entry expires, by name of the entry.
        requested_at: Clock seconds at which the latest requests were made,
            by number of the request.
        last_number: Number of the last request.
    """

    clock: clocks.Clock
    durations: timing.OwnershipDurations = timing.OwnershipDurations()
    promised_to: str = ''
    promised_until: float = -math.inf
    received_until: dict[str, float] = attrs.field(factory=dict)
    requested_at: dict[int, float] = attrs.field(factory=dict)
    last_number: int = 0

    def is_promised(self) -> bool:
        """Return whether a promise given by this entry is still valid."""
        return self.clock.monotonic() <= self.promised_until

    def may_promise_to(self, candidate: str) -> bool:
        """Return whether no promise to another candidate is valid.

        Args:
            candidate: Incarnation of the candidate.
        """
        return not self.is_promised() or self.promised_to == candidate

    def start_request(self) -> int:
        """Record the time of a new request and return its number."""
        self.last_number += 1
        self.requested_at[self.last_number] = self.clock.monotonic()
        self.requested_at.pop(self.last_number - MAX_REMEMBERED_REQUESTS, None)
        return self.last_number

    def promise_to(self, candidate: str) -> None:
        """Promise the pool to a candidate from now on.

        Args:
            candidate: Incarnation of the candidate.
        """
        self.promised_to = candidate
        valid_s = self.durations.with_drift_margin(self.durations.promise_s)
        self.promised_until = self.clock.monotonic() + valid_s

    def release(self, candidate: str) -> None:
        """End the promise to a candidate that gave the pool up for good.

        Args:
            candidate: Incarnation of the candidate.
        """
        if self.promised_to == candidate:
            self.promised_until = -math.inf

    def record_promise(self, entry: str, number: int) -> None:
        """Record a received promise, valid from the time of its request.

        Args:
            entry: Name of the entry that gave the promise.
            number: Number of the request.
        """
        requested_at = self.requested_at.get(number, -math.inf)
        until = requested_at + self.durations.promise_s
        self.received_until[entry] = max(
            until, self.received_until.get(entry, until)
        )
