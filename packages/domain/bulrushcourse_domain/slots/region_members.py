"""Entries of a region that may own its pools, according to the VM list."""

import math
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.slots import timing


@attrs.frozen
class ListedVm:
    """A VM of the region in the platform's VM list.

    Attributes:
        vm_id: The platform's identifier of the VM.
        entry: Name of the VM's entry.
    """

    vm_id: str
    entry: str


@attrs.define
class RegionMembers:
    """Which other entries may own a pool of the region.

    A VM that is no longer listed has ended. A VM that is not listed yet may
    already run, so a new VM must *settle* before it owns or promises a pool:
    it must have been listed as its entry's only VM for so long that every
    fresh list names it.

    Attributes:
        clock: Source of time.
        entry: Name of this entry.
        vm_id: Identifier of this VM.
        configured_entries: Entries of the region in the active configuration.
        durations: Durations of leases and promises.
        listed: VMs of the region in the last list.
        requested_at: Clock seconds just before the last list was requested.
        sole_since: Clock seconds since which the list names this VM as its
            entry's only one; infinite if it does not.
        settled: Whether this entry has settled.
        last_absent_at: For each listed VM, clock seconds just before the last
            list that did not contain it was requested, by identifier.
    """

    clock: clocks.Clock
    entry: str
    vm_id: str
    configured_entries: frozenset[str] = frozenset()
    durations: timing.OwnershipDurations = timing.OwnershipDurations()
    listed: frozenset[ListedVm] = frozenset()
    requested_at: float = -math.inf
    sole_since: float = math.inf
    settled: bool = False
    last_absent_at: dict[str, float] = attrs.field(factory=dict)

    def update_vm_list(
        self, listed: typing.Iterable[ListedVm], requested_at: float
    ) -> None:
        """Apply a VM list, unless a newer one has been applied.

        Args:
            listed: VMs of the region.
            requested_at: Clock seconds just before the list was requested.
        """
        if requested_at < self.requested_at:
            return
        current = frozenset(listed)
        added = {vm.vm_id for vm in current - self.listed}
        self.last_absent_at |= dict.fromkeys(added, self.requested_at)
        for vm in self.listed - current:
            self.last_absent_at.pop(vm.vm_id, None)
        self.listed = current
        self.requested_at = requested_at
        own_vms = {vm.vm_id for vm in self.listed if vm.entry == self.entry}
        if self.vm_id not in own_vms:
            self.settled = False
        if own_vms != {self.vm_id}:
            self.sole_since = math.inf
        else:
            self.sole_since = min(self.sole_since, self.clock.monotonic())

    def is_settled(self) -> bool:
        """Return whether this entry may own pools and promise them."""
        waited = self.clock.monotonic() - self.sole_since
        # A settled entry stays settled when its replacement is listed: the
        # replacement settles only after this VM has ended.
        self.settled = self.settled or waited > self.durations.settling_s
        return self.settled

    def may_promise(self) -> bool:
        """Return whether all promises of a predecessor have expired."""
        waited = self.clock.monotonic() - self.sole_since
        valid_s = self.durations.with_drift_margin(self.durations.promise_s)
        return self.is_settled() or waited > valid_s

    def unsettled_until(self, entry: str) -> float:
        """Return until when the last list proves an entry has not settled.

        The result is in clock seconds.

        Args:
            entry: Name of another entry.
        """
        ends = [
            self.last_absent_at.get(vm.vm_id, -math.inf)
            + self.durations.min_settling_s
            for vm in self.listed
            if vm.entry == entry
        ]
        return min(min(ends, default=-math.inf), self.fresh_until())

    def fresh_until(self) -> float:
        """Return until when the last list proves that a VM has ended.

        The result is in clock seconds.
        """
        return self.requested_at + self.durations.list_fresh_s

    def other_entries(self) -> frozenset[str]:
        """Return the other entries, configured or listed, of the region."""
        listed = {vm.entry for vm in self.listed}
        return (self.configured_entries | listed) - {self.entry}

    def removed_entries(self) -> frozenset[str]:
        """Return the entries without a VM; none if the list is not fresh."""
        if self.clock.monotonic() > self.fresh_until():
            return frozenset()
        return self.other_entries() - {vm.entry for vm in self.listed}

    def present_entries(self) -> frozenset[str]:
        """Return the entries that may have a VM, including this one."""
        return (self.other_entries() - self.removed_entries()) | {self.entry}
