"""Observation of other holders, to take back shares they lost."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.limits import floor_binding as floors
from bulrushcourse_domain.limits import ledger as ledgers

LEASE_S = 75.0


@attrs.define
class LeaseObservation:
    """What an observer knows of another holder's lease.

    Attributes:
        renewal: The renewal that was seen last.
        since: Clock seconds when that renewal was first seen.
        gone_since: Clock seconds when a list, fetched after the lease was
            seen, first lacked the holder's VM.
    """

    renewal: str
    since: float
    gone_since: float | None = None


@attrs.define
class LeaseMonitor:
    """Finds shares that nobody can use any more.

    Attributes:
        clock: Source of time.
        observations: Observations of leases by holder.
        empty_seats: Clock seconds when a list first showed no VM of a seat,
            by seat.
    """

    clock: clocks.Clock
    observations: dict[str, LeaseObservation] = attrs.field(factory=dict)
    empty_seats: dict[str, float] = attrs.field(factory=dict)

    def update_ledger(self, ledger: ledgers.Ledger) -> None:
        """Take up the content of the row.

        Args:
            ledger: The row as it was read.
        """
        now = self.clock.monotonic()
        for holder in self.observations.keys() - ledger.leases.keys():
            del self.observations[holder]
        for holder, lease in ledger.leases.items():
            observation = self.observations.get(holder)
            if observation is None or observation.renewal != lease.renewal:
                self.observations[holder] = LeaseObservation(
                    lease.renewal, now
                )

    def update_vm_list(
        self,
        seats: typing.Mapping[str, str],
        ledger: ledgers.Ledger | None,
    ) -> None:
        """Take up an answer of the platform's list.

        A holder takes a lease only after a list has shown its VM. A list
        fetched after the lease was seen lacks the VM only if it has ended.

        Args:
            seats: Seat of each listed VM by the VM's identifier.
            ledger: The row as it was read before the list was asked.
        """
        if ledger is None:
            return
        now = self.clock.monotonic()
        for holder, lease in ledger.leases.items():
            observation = self.observations.get(holder)
            if observation is None or observation.renewal != lease.renewal:
                continue
            if lease.vm_id in seats:
                observation.gone_since = None
            elif observation.gone_since is None:
                observation.gone_since = now
        filled = set(seats.values())
        self.empty_seats = {
            seat: self.empty_seats.get(seat, now)
            for seat in ledger.floors
            if seat not in filled
        }

    def reclaim(self, ledger: ledgers.Ledger) -> ledgers.Ledger:
        """Return the ledger without the shares that nobody can use.

        Args:
            ledger: The row as it was read.
        """
        for holder, lease in ledger.leases.items():
            if self.is_lost(holder, lease):
                ledger = ledger.with_lease(holder, None)
        now = self.clock.monotonic()
        wait = self.work_margin_s(ledger.terms.work_limit_s)
        for seat, since in self.empty_seats.items():
            due = ledger.terms.floor(seat)
            if now - since >= wait and ledger.floors.get(seat, 0) > due:
                ledger = ledger.with_floor(seat, due)
        return ledger

    def is_lost(self, holder: str, lease: ledgers.Lease) -> bool:
        """Return whether a lease and the work under it have ended.

        Args:
            holder: Holder of the lease.
            lease: The lease as it was read.
        """
        observation = self.observations.get(holder)
        if observation is None or observation.renewal != lease.renewal:
            return False
        now = self.clock.monotonic()
        margin = self.work_margin_s(lease.work_limit_s)
        if (
            observation.gone_since is not None
            and now - observation.gone_since >= margin
        ):
            return True
        lease_s = LEASE_S * (1 + floors.CLOCK_DRIFT)
        return now - observation.since >= lease_s + margin

    def work_margin_s(self, work_limit_s: float) -> float:
        """Return how long to wait for the work under a lost share.

        Args:
            work_limit_s: Longest time that the work may last.
        """
        return work_limit_s * (1 + floors.CLOCK_DRIFT)
