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
    """State of one entry in the election of a pool's owner.

    At most one entry may grant at any time. An entry owns the pool either by
    the lease in the table or by the promises of all other entries of the
    region that still have a VM. An entry that gave a promise neither grants
    nor writes the lease until the promise has expired. An entry gives no
    promise while it owns the pool, or while a pending write of the lease may
    have committed.

    Attributes:
        clock: Source of time.
        pool: Name of the pool, ``region/service``.
        incarnation: Identifier of this run of the entry.
        members: Entries of the region.
        rng: Random source of the delays between turns.
        lease: The lease in the table.
        pool_promises: Promises given and received.
        resigned: Whether this entry gave the pool up for good.
        term: Number of terms that this entry has begun as the owner.
        term_until: Clock seconds until which the term is known to last;
            minus infinity without a term.
        turn_starts_at: Clock seconds at which this entry's turn as a
            candidate starts, in which it requests promises without owning the
            pool; infinite without a turn.
    """

    clock: clocks.Clock
    pool: str
    incarnation: str
    members: region_members.RegionMembers
    rng: random.Random
    lease: leases.PoolLease
    pool_promises: promises.PoolPromises
    resigned: bool = False
    term: int = 0
    term_until: float = -math.inf
    turn_starts_at: float = math.inf

    @property
    def entry(self) -> str:
        """Name of this entry."""
        return self.members.entry

    def may_grant(self) -> bool:
        """Return whether this entry may grant slots now."""
        eligible = not self.resigned and self.members.is_settled()
        if not eligible or self.pool_promises.is_promised():
            return False
        return self.lease.is_held() or self._has_all_promises()

    def current_term(self) -> int | None:
        """Return this entry's current term, ``None`` if it is not the owner.

        Another entry may have owned the pool between two terms, so at the
        start of a term the owner queries every entry for the slots it holds.
        """
        now = self.clock.monotonic()
        if not self.may_grant():
            if self.term_until > -math.inf:
                # An owner that lost the pool tries to regain it immediately.
                self.turn_starts_at = now
            self.term_until = -math.inf
            return None
        if now > self.term_until:
            self.term += 1
        until = max(self.lease.valid_until, self._promises_until())
        self.term_until = max(self.term_until, until)
        return self.term

    def rank(self) -> int:
        """Return this entry's rank for the pool, 0 for the preferred owner."""
        present = self.members.present_entries()
        return rendezvous.rank(self.pool, present).index(self.entry)

    def observe_row(self, row: leases.LeaseRow) -> None:
        """Update the state from the lease row as read from the table.

        Args:
            row: The row; version 0 if it is absent.
        """
        self.current_term()
        self.lease.observe(row)
        self.current_term()

    def plan_write(self) -> leases.LeaseWrite | None:
        """Return the write that renews or acquires the lease, if it is due.

        The caller reads the row before, sends the write immediately and
        passes its result to ``record_write_result``.
        """
        eligible = not self.resigned and self.members.is_settled()
        if not eligible or self.pool_promises.is_promised():
            return None
        row = self.lease.row
        own = row is not None and row.holder == self.incarnation
        stagger_s = self.rank() * self.lease.durations.stagger_s
        if not own and not self.may_grant():
            if self.lease.free_for_s() <= stagger_s:
                return None
        elif self.lease.free_for_s() < 0:
            return None
        return self.lease.plan_write(self.incarnation)

    def record_write_result(
        self, write: leases.LeaseWrite, result: leases.LeaseWriteResult
    ) -> None:
        """Record the result of a write of the lease.

        Args:
            write: The write.
            result: What is known about it.
        """
        self.current_term()
        self.lease.record_write_result(write, result)
        self.current_term()

    def resign(self) -> leases.LeaseWrite | None:
        """Give the pool up for good.

        Returns:
            The write that lets another entry acquire the lease immediately;
            ``None`` if this entry does not hold the row.
        """
        self.resigned = True
        self.term_until = -math.inf
        row = self.lease.row
        if row is None or row.holder != self.incarnation:
            return None
        return self.lease.plan_write('')

    def record_resignation(self, incarnation: str) -> None:
        """Record that another entry gave the pool up for good.

        Args:
            incarnation: Its incarnation, which will never grant again.
        """
        self.pool_promises.release(incarnation)
        stagger_s = self.rank() * self.lease.durations.stagger_s
        self.turn_starts_at = self.clock.monotonic() + stagger_s

    def request_promises(self) -> promises.PromiseRequest | None:
        """Return a promise request to all other entries, if it is due.

        The owner always requests promises. Without an owner, candidates do
        so in turns, so that a candidate that cannot reach every entry does
        not block the next one.
        """
        eligible = not self.resigned and self.members.is_settled()
        if not eligible or self.pool_promises.is_promised():
            self.turn_starts_at = math.inf
            return None
        owns = self.current_term() is not None
        if not owns and not self._update_turn():
            return None
        number = self.pool_promises.start_request()
        return promises.PromiseRequest(
            self.pool, self.entry, self.incarnation, number, owns
        )

    def answer_promise_request(
        self, request: promises.PromiseRequest
    ) -> promises.Promise | None:
        """Return the requested promise, ``None`` if it cannot be given.

        Args:
            request: Request of another entry of the region.
        """
        if not self.members.may_promise() or not self._may_promise_to(request):
            return None
        self.pool_promises.promise_to(request.candidate)
        return promises.Promise(
            self.pool, self.entry, request.candidate, request.number
        )

    def record_promise(self, promise: promises.Promise) -> None:
        """Record a promise of another entry.

        Args:
            promise: The promise.
        """
        if promise.candidate != self.incarnation:
            return
        self.current_term()
        self.pool_promises.record_promise(promise.entry, promise.number)
        self.current_term()

    def _may_promise_to(self, request: promises.PromiseRequest) -> bool:
        if self.lease.may_be_held() or self.may_grant():
            return False
        if not self.pool_promises.may_promise_to(request.candidate):
            return False
        if self.resigned or request.owns or not self._is_in_turn():
            return True
        present = self.members.present_entries() | {request.entry}
        ranked = rendezvous.rank(self.pool, present)
        return ranked.index(request.entry) < ranked.index(self.entry)

    def _promises_until(self) -> float:
        removed = self.members.removed_entries()
        received = self.pool_promises.received_until
        ends = [
            max(
                received.get(entry, -math.inf),
                self.members.unsettled_until(entry),
            )
            for entry in self.members.other_entries() - removed
        ]
        if removed or not ends:
            ends.append(self.members.fresh_until())
        return min(ends)

    def _has_all_promises(self) -> bool:
        return self.clock.monotonic() < self._promises_until()

    def _is_in_turn(self) -> bool:
        now = self.clock.monotonic()
        return (
            self.turn_starts_at <= now < self.turn_starts_at + self._turn_s()
        )

    def _turn_s(self) -> float:
        return self.lease.durations.turn_s

    def _update_turn(self) -> bool:
        now = self.clock.monotonic()
        row = self.lease.row
        if row is not None and self.lease.free_for_s() <= 0:
            self.turn_starts_at = math.inf
        elif self.turn_starts_at == math.inf:
            self.turn_starts_at = now + self.rank() * self._turn_s()
            if row is None:
                # The row is unknown, so an owner may still hold the lease.
                durations = self.lease.durations
                self.turn_starts_at += durations.with_drift_margin(
                    durations.lease_s
                )
        elif now >= self.turn_starts_at + self._turn_s():
            turns = self.rng.uniform(1, len(self.members.present_entries()))
            self.turn_starts_at = now + turns * self._turn_s()
        return self._is_in_turn()


def build_ownership(
    pool: str,
    incarnation: str,
    members: region_members.RegionMembers,
    rng: random.Random,
) -> PoolOwnership:
    """Return the state of an entry in the election of a pool's owner.

    Args:
        pool: Name of the pool, ``region/service``.
        incarnation: Identifier of this run of the entry.
        members: Entries of the region.
        rng: Random source of the delays between turns.

    Examples:
        >>> clock = clocks.ManualClock()
        >>> members = region_members.RegionMembers(clock, 'a', 'vm-1')
        >>> rng = random.Random(1)
        >>> owner = build_ownership('ro-nord/catalog', 'a-1', members, rng)
        >>> listed = [region_members.ListedVm('vm-1', 'a')]
        >>> members.update_vm_list(listed, clock.monotonic())
        >>> owner.may_grant()
        False
        >>> clock.advance(members.durations.settling_s + 0.1)
        >>> members.update_vm_list(listed, clock.monotonic())
        >>> owner.may_grant()
        True
    """
    clock, durations = members.clock, members.durations
    lease = leases.PoolLease(clock, members.entry, incarnation, durations)
    pool_promises = promises.PoolPromises(clock, durations)
    return PoolOwnership(
        clock, pool, incarnation, members, rng, lease, pool_promises
    )
