"""The aggregate that decides whether an entry may grant a pool's slots."""

import math
import random

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain import rendezvous
from bulrushcourse_domain.slots import lease as leases
from bulrushcourse_domain.slots import promises
from bulrushcourse_domain.slots import region_members


@attrs.define
class PoolOwnership:
    """One entry's part in the ownership of one pool.

    At any instant at most one entry may grant. There are two grounds: the
    lease in the table, or the promises of all other entries of the region
    that are not gone. An entry that gave a promise neither grants nor writes
    the lease until it has run out. An entry that has a ground, or whose write
    of the lease may still turn out to have succeeded, promises nothing.

    Attributes:
        clock: Source of time.
        pool: Name of the pool, ``region/service``.
        incarnation: Identifier of this run of the entry.
        members: Entries of the region.
        rng: Source of the waits between turns.
        lease: The lease in the table.
        pool_promises: Promises given and received.
        stopped: Whether this entry gave its pools up for good.
        term: Number of times that this entry began to own the pool.
        ground_until: Clock seconds up to which the term is known to last.
        turn_from: Clock seconds at which this entry next asks for promises
            without owning the pool.
    """

    clock: clocks.Clock
    pool: str
    incarnation: str
    members: region_members.RegionMembers
    rng: random.Random
    lease: leases.PoolLease
    pool_promises: promises.PoolPromises
    stopped: bool = False
    term: int = 0
    ground_until: float = -math.inf
    turn_from: float = math.inf

    @property
    def entry(self) -> str:
        """Name of this entry."""
        return self.members.entry

    def may_grant(self) -> bool:
        """Return whether this entry may grant at this instant."""
        eligible = not self.stopped and self.members.is_settled()
        if not eligible or self.pool_promises.is_outstanding():
            return False
        return self.lease.is_held() or self._is_promised()

    def current_term(self) -> int | None:
        """Return the term of this entry's ownership, ``None`` if it has none.

        Another entry may have owned the pool between two terms, so a new
        term begins by asking every entry for the slots that it holds.
        """
        now = self.clock.monotonic()
        if not self.may_grant():
            if self.ground_until > -math.inf:
                # A ground lost for a moment is asked for again at once.
                self.turn_from = now
            self.ground_until = -math.inf
            return None
        if now > self.ground_until:
            self.term += 1
        until = max(self.lease.valid_until, self._promised_until())
        self.ground_until = max(self.ground_until, until)
        return self.term

    def rank(self) -> int:
        """Return this entry's rank for the pool, 0 for the preferred one."""
        present = self.members.present()
        return rendezvous.rank(self.pool, present).index(self.entry)

    def observe_row(self, row: leases.LeaseRow) -> None:
        """Take over the lease row as read from the table.

        Args:
            row: The row; one of version 0 if it is absent.
        """
        self.current_term()
        self.lease.observe(row)
        self.current_term()

    def plan_write(self) -> leases.LeaseWrite | None:
        """Return the write that renews or takes the lease, if it is due.

        The caller reads the row first, sends the write at once and reports
        its result to ``finish_write``.
        """
        eligible = not self.stopped and self.members.is_settled()
        if not eligible or self.pool_promises.is_outstanding():
            return None
        row = self.lease.row
        own = row is not None and row.holder == self.incarnation
        stagger_s = self.rank() * self.lease.times.stagger_s
        if not own and not self.may_grant():
            if self.lease.unchanged_for() <= stagger_s:
                return None
        elif self.lease.unchanged_for() < 0:
            return None
        return self.lease.write(self.incarnation)

    def finish_write(
        self, write: leases.LeaseWrite, result: leases.LeaseWriteResult
    ) -> None:
        """Take over the result of a write.

        Args:
            write: The write.
            result: What is known of it.
        """
        self.current_term()
        self.lease.finish(write, result)
        self.current_term()

    def release(self) -> leases.LeaseWrite | None:
        """Give the pool up for good.

        Returns:
            The write that lets another entry take the lease at once; none
            if this entry is not known to hold it.
        """
        self.stopped = True
        self.ground_until = -math.inf
        row = self.lease.row
        if row is None or row.holder != self.incarnation:
            return None
        return self.lease.write('')

    def record_release(self, candidate: str) -> None:
        """Note that another entry gave the pool up for good.

        Args:
            candidate: Its incarnation, which will never grant again.
        """
        self.pool_promises.free(candidate)
        stagger_s = self.rank() * self.lease.times.stagger_s
        self.turn_from = self.clock.monotonic() + stagger_s

    def request_promises(self) -> promises.PromiseRequest | None:
        """Return a request for all other entries of the region, if it is due.

        The owner always asks. Without an owner, candidates ask in turns, so
        that one that cannot reach every entry gives way to the next.
        """
        eligible = not self.stopped and self.members.is_settled()
        if not eligible or self.pool_promises.is_outstanding():
            self.turn_from = math.inf
            return None
        owns = self.current_term() is not None
        if not owns and not self._is_turn():
            return None
        number = self.pool_promises.ask()
        return promises.PromiseRequest(
            self.pool, self.entry, self.incarnation, number, owns
        )

    def answer_promise_request(
        self, request: promises.PromiseRequest
    ) -> promises.Promise | None:
        """Return the promise asked for, ``None`` if it cannot be given.

        Args:
            request: Request of another entry of the region.
        """
        if not self.members.may_promise() or not self._may_promise(request):
            return None
        self.pool_promises.give(request.candidate)
        return promises.Promise(
            self.pool, self.entry, request.candidate, request.number
        )

    def record_promise(self, promise: promises.Promise) -> None:
        """Take over a promise of another entry.

        Args:
            promise: The promise.
        """
        if promise.candidate != self.incarnation:
            return
        self.current_term()
        self.pool_promises.receive(promise.entry, promise.number)
        self.current_term()

    def _may_promise(self, request: promises.PromiseRequest) -> bool:
        if self.lease.may_become_held() or self.may_grant():
            return False
        if not self.pool_promises.is_free_for(request.candidate):
            return False
        if self.stopped or request.owns or not self._is_asking():
            return True
        present = self.members.present() | {request.entry}
        ranked = rendezvous.rank(self.pool, present)
        return ranked.index(request.entry) < ranked.index(self.entry)

    def _promised_until(self) -> float:
        gone = self.members.gone()
        received = self.pool_promises.received
        ends = [
            max(
                received.get(entry, -math.inf),
                self.members.unsettled_until(entry),
            )
            for entry in self.members.others() - gone
        ]
        if gone or not ends:
            ends.append(self.members.fresh_until())
        return min(ends)

    def _is_promised(self) -> bool:
        return self.clock.monotonic() < self._promised_until()

    def _is_asking(self) -> bool:
        now = self.clock.monotonic()
        return self.turn_from <= now < self.turn_from + self._turn_s()

    def _turn_s(self) -> float:
        return self.lease.times.turn_s

    def _is_turn(self) -> bool:
        now = self.clock.monotonic()
        row = self.lease.row
        if row is not None and self.lease.unchanged_for() <= 0:
            self.turn_from = math.inf
        elif self.turn_from == math.inf:
            self.turn_from = now + self.rank() * self._turn_s()
            if row is None:
                # Without a view of the row, an owner may hold its lease.
                times = self.lease.times
                self.turn_from += times.outlast(times.lease_s)
        elif now >= self.turn_from + self._turn_s():
            turns = self.rng.uniform(1, len(self.members.present()))
            self.turn_from = now + turns * self._turn_s()
        return self._is_asking()


def open_ownership(
    pool: str,
    incarnation: str,
    members: region_members.RegionMembers,
    rng: random.Random,
) -> PoolOwnership:
    """Return an entry's part in the ownership of a pool.

    Args:
        pool: Name of the pool, ``region/service``.
        incarnation: Identifier of this run of the entry.
        members: Entries of the region.
        rng: Source of the waits between turns.

    Examples:
        >>> clock = clocks.ManualClock()
        >>> members = region_members.RegionMembers(clock, 'a', 'vm-1')
        >>> rng = random.Random(1)
        >>> owner = open_ownership('ro-nord/catalog', 'a-1', members, rng)
        >>> only = [region_members.ListedVm('vm-1', 'a')]
        >>> members.update_list(only, clock.monotonic())
        >>> owner.may_grant()
        False
        >>> clock.advance(members.times.settle_s + 0.1)
        >>> members.update_list(only, clock.monotonic())
        >>> owner.may_grant()
        True
    """
    clock, times = members.clock, members.times
    lease = leases.PoolLease(clock, members.entry, incarnation, times)
    pool_promises = promises.PoolPromises(clock, times)
    return PoolOwnership(
        clock, pool, incarnation, members, rng, lease, pool_promises
    )
