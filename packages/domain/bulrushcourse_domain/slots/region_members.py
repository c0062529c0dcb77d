"""Entries of a region that can own its pools, by the VM list."""

import math
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.slots import timing


@attrs.frozen
class ListedVm:
    """A VM of the region in the platform's list.

    Attributes:
        vm_id: The platform's identifier.
        entry: Name of its entry.
    """

    vm_id: str
    entry: str


@attrs.define
class RegionMembers:
    """Who else could own a pool of the region.

    A VM that the list no longer names has ended. A VM that it does not name
    yet may run already, so a new VM *settles* before it owns a pool or
    promises one: the list has named it, as its entry's only VM, for long
    enough that every fresh list names it.

    Attributes:
        clock: Source of time.
        entry: Name of this entry.
        vm_id: Identifier of this VM.
        seats: Entries of the region by the configuration in force.
        times: Durations.
        listed: VMs of the region in the last list.
        asked_at: Clock seconds before the last list was asked for.
        alone_since: Clock seconds since which the list names this VM as
            its entry's only one; infinite if it does not.
        settled: Whether this entry has settled.
        newcomers: VMs that appeared in the list, with the clock seconds
            before the last list without them was asked for.
    """

    clock: clocks.Clock
    entry: str
    vm_id: str
    seats: frozenset[str] = frozenset()
    times: timing.OwnershipTimes = timing.OwnershipTimes()
    listed: frozenset[ListedVm] = frozenset()
    asked_at: float = -math.inf
    alone_since: float = math.inf
    settled: bool = False
    newcomers: dict[str, float] = attrs.field(factory=dict)

    def update_list(
        self, listed: typing.Iterable[ListedVm], asked_at: float
    ) -> None:
        """Take over an answer of the VM list.

        Args:
            listed: VMs of the region.
            asked_at: Clock seconds before the list was asked for.
        """
        if asked_at < self.asked_at:
            return
        named = frozenset(listed)
        added = {vm.vm_id for vm in named - self.listed}
        self.newcomers |= dict.fromkeys(added, self.asked_at)
        for vm in self.listed - named:
            self.newcomers.pop(vm.vm_id, None)
        self.listed = named
        self.asked_at = asked_at
        own = {vm.vm_id for vm in self.listed if vm.entry == self.entry}
        if self.vm_id not in own:
            self.settled = False
        if own != {self.vm_id}:
            self.alone_since = math.inf
        else:
            self.alone_since = min(self.alone_since, self.clock.monotonic())

    def is_settled(self) -> bool:
        """Return whether this entry may own pools and promise them."""
        waited = self.clock.monotonic() - self.alone_since
        # A settled entry stays so when the list names its replacement: the
        # replacement settles only after this VM has gone.
        self.settled = self.settled or waited > self.times.settle_s
        return self.settled

    def may_promise(self) -> bool:
        """Return whether promises of a predecessor have run out."""
        waited = self.clock.monotonic() - self.alone_since
        kept_s = self.times.outlast(self.times.promise_s)
        return self.is_settled() or waited > kept_s

    def unsettled_until(self, entry: str) -> float:
        """Return until when an entry cannot have settled, by a fresh list.

        Args:
            entry: Name of another entry.
        """
        ends = [
            self.newcomers.get(vm.vm_id, -math.inf) + self.times.newcomer_s
            for vm in self.listed
            if vm.entry == entry
        ]
        return min(min(ends, default=-math.inf), self.fresh_until())

    def fresh_until(self) -> float:
        """Return until when the last list proves that a VM is gone."""
        return self.asked_at + self.times.list_fresh_s

    def others(self) -> frozenset[str]:
        """Return the other entries of the region."""
        listed = {vm.entry for vm in self.listed}
        return (self.seats | listed) - {self.entry}

    def gone(self) -> frozenset[str]:
        """Return entries without a VM, by a fresh list."""
        if self.clock.monotonic() > self.fresh_until():
            return frozenset()
        return self.others() - {vm.entry for vm in self.listed}

    def present(self) -> frozenset[str]:
        """Return the entries of the region, this one included, not gone."""
        return (self.others() - self.gone()) | {self.entry}
