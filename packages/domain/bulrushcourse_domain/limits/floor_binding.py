"""Which VM may use the floor share of a seat."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks

# Bound on the relative rate of any two clocks of the platform.
CLOCK_DRIFT = 0.02


@attrs.define
class FloorBinding:
    """Binds the floor share of a seat to its only VM.

    The platform removes a VM from its list only after the VM has ended. A
    VM that the list shows as the only one of its seat therefore has no
    running predecessor, but work that a predecessor admitted may still run
    at upstreams for the time limit of work.

    Attributes:
        clock: Source of time.
        vm_id: The platform's identifier of this VM.
        seat: Name of this VM's seat.
        listed: Whether the last list showed this VM.
        sole_since: Clock seconds when a list first showed this VM as the
            only one of its seat; ``None`` while it does not.
    """

    clock: clocks.Clock
    vm_id: str
    seat: str
    listed: bool = False
    sole_since: float | None = None

    def update_vm_list(self, seats: typing.Mapping[str, str]) -> None:
        """Take up an answer of the platform's list.

        A VM that is bound stays bound beside its replacement: the
        replacement is not the only VM before this one has ended.

        Args:
            seats: Seat of each listed VM by the VM's identifier.
        """
        self.listed = self.vm_id in seats
        if self.vm_id not in seats:
            self.sole_since = None
        elif self.sole_since is None and self.is_sole(seats):
            self.sole_since = self.clock.monotonic()

    def is_sole(self, seats: typing.Mapping[str, str]) -> bool:
        """Return whether a list shows this VM as the only one of its seat.

        Args:
            seats: Seat of each listed VM by the VM's identifier.
        """
        return [v for v, s in seats.items() if s == self.seat] == [self.vm_id]

    def is_usable(self, work_limit_s: float) -> bool:
        """Return whether this VM may use the floor share of its seat.

        Args:
            work_limit_s: Longest time that a predecessor's work may last.

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
        return waited >= work_limit_s * (1 + CLOCK_DRIFT)
