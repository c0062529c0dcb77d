"""Which VM may use the floor share of a configured entry."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks

# Bound on the difference between the rates of any two clocks of the platform.
MAX_CLOCK_DRIFT_RATIO = 0.02


@attrs.define
class FloorBinding:
    """Binds the floor share of an entry to the entry's only VM.

    The platform removes a VM from its list only after the VM has ended. So a
    VM that is listed as the only one of its entry has no running
    predecessor. Requests that a predecessor admitted may still run at
    upstreams until their time limit.

    Attributes:
        clock: Source of time.
        vm_id: The platform's identifier of this VM.
        entry: Name of this VM's entry.
        is_listed: Whether the last list contained this VM.
        sole_since: Clock seconds at which a list first contained this VM as
            the only one of its entry; ``None`` if none has or the VM was
            missing from a later list.
    """

    clock: clocks.Clock
    vm_id: str
    entry: str
    is_listed: bool = False
    sole_since: float | None = None

    def update_vm_list(self, entries_by_vm: typing.Mapping[str, str]) -> None:
        """Update the binding from the platform's VM list.

        A bound VM stays bound while its replacement runs: the replacement
        becomes the only VM only after this one has ended.

        Args:
            entries_by_vm: Entry of each listed VM by the VM's identifier.
        """
        self.is_listed = self.vm_id in entries_by_vm
        if self.vm_id not in entries_by_vm:
            self.sole_since = None
        elif self.sole_since is None and self.is_only_vm(entries_by_vm):
            self.sole_since = self.clock.monotonic()

    def is_only_vm(self, entries_by_vm: typing.Mapping[str, str]) -> bool:
        """Return whether a list has this VM as the only one of its entry.

        Args:
            entries_by_vm: Entry of each listed VM by the VM's identifier.
        """
        return [
            vm_id
            for vm_id, entry in entries_by_vm.items()
            if entry == self.entry
        ] == [self.vm_id]

    def is_usable(self, work_limit_s: float) -> bool:
        """Return whether this VM may use the floor share of its entry.

        Args:
            work_limit_s: Maximum duration of a predecessor's requests.

        Examples:
            >>> clock = clocks.ManualClock()
            >>> binding = FloorBinding(clock, 'vm-2', 'entry-a')
            >>> binding.update_vm_list({'vm-2': 'entry-a', 'vm-9': 'entry-b'})
            >>> binding.is_usable(5.0)
            False
            >>> clock.advance(5.2)
            >>> binding.is_usable(5.0)
            True
        """
        if self.sole_since is None:
            return False
        waited = self.clock.monotonic() - self.sole_since
        return waited >= work_limit_s * (1 + MAX_CLOCK_DRIFT_RATIO)
