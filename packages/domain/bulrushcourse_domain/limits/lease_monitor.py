"""Observation of other holders, to reclaim the shares that they lost."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.limits import floor_binding as floors
from bulrushcourse_domain.limits import ledger as ledgers

LEASE_S = 75.0


@attrs.define
class LeaseObservation:
    """What an observer knows about another holder's lease.

    Attributes:
        renewal: The renewal that was read last.
        renewal_seen_at: Clock seconds at which that renewal was first read.
        unlisted_since: Clock seconds at which the holder's VM was first
            missing from a list that was fetched after the renewal was read;
            ``None`` while it is listed.
    """

    renewal: str
    renewal_seen_at: float
    unlisted_since: float | None = None


@attrs.define
class LeaseMonitor:
    """Finds shares that no holder can use any more.

    Attributes:
        clock: Source of time.
        observations: Observations of leases by holder.
        vacant_since: Clock seconds since which no list has contained a VM of
            an entry, by name of the entry.
    """

    clock: clocks.Clock
    observations: dict[str, LeaseObservation] = attrs.field(factory=dict)
    vacant_since: dict[str, float] = attrs.field(factory=dict)

    def observe_ledger(self, ledger: ledgers.Ledger) -> None:
        """Update the observations from the row.

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
        entries_by_vm: typing.Mapping[str, str],
        ledger: ledgers.Ledger | None,
    ) -> None:
        """Update the observations from the platform's VM list.

        A holder acquires a lease only after a list has contained its VM. So
        a list that was fetched after the lease was read lacks the VM only if
        the VM has ended.

        Args:
            entries_by_vm: Entry of each listed VM by the VM's identifier.
            ledger: The row as it was read before the list was requested.
        """
        if ledger is None:
            return
        now = self.clock.monotonic()
        for holder, lease in ledger.leases.items():
            observation = self.observations.get(holder)
            if observation is None or observation.renewal != lease.renewal:
                continue
            if lease.vm_id in entries_by_vm:
                observation.unlisted_since = None
            elif observation.unlisted_since is None:
                observation.unlisted_since = now
        listed_entries = set(entries_by_vm.values())
        self.vacant_since = {
            entry: self.vacant_since.get(entry, now)
            for entry in ledger.floors
            if entry not in listed_entries
        }

    def reclaim(self, ledger: ledgers.Ledger) -> ledgers.Ledger:
        """Return the ledger without the shares that no holder can use.

        Args:
            ledger: The row as it was read.
        """
        for holder, lease in ledger.leases.items():
            if self.is_reclaimable(holder, lease):
                ledger = ledger.with_lease(holder, None)
        now = self.clock.monotonic()
        margin = self.work_margin_s(ledger.terms.work_limit_s)
        for entry, since in self.vacant_since.items():
            floor = ledger.terms.floor_share(entry)
            if now - since >= margin and ledger.floors.get(entry, 0) > floor:
                ledger = ledger.with_floor(entry, floor)
        return ledger

    def is_reclaimable(self, holder: str, lease: ledgers.Lease) -> bool:
        """Return whether a lease and the requests under it have ended.

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
            observation.unlisted_since is not None
            and now - observation.unlisted_since >= margin
        ):
            return True
        lease_s = LEASE_S * (1 + floors.MAX_CLOCK_DRIFT_RATIO)
        return now - observation.renewal_seen_at >= lease_s + margin

    def work_margin_s(self, work_limit_s: float) -> float:
        """Return how long to wait for requests admitted under a lost share.

        Args:
            work_limit_s: Maximum duration of the requests.
        """
        return work_limit_s * (1 + floors.MAX_CLOCK_DRIFT_RATIO)
