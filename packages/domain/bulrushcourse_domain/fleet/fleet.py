"""The aggregate that knows which VMs serve callers."""

import collections
import enum
import typing

import attrs

from bulrushcourse_domain import clock as clocks

# A VM sends several reports a second.
SILENT_S = 2.5
# VMs that were silent for this long still count as sharers of limits, since
# they may be cut off from here and still serve.
SHARER_MEMORY_S = 20.0
# A VM that was silent for this long was removed. One that comes back is
# learned again from its first report.
REMOVED_S = 600.0
MAX_NAMED = 64


class Phase(enum.Enum):
    """What a VM says of itself."""

    STARTING = 'starting'
    READY = 'ready'
    LEAVING = 'leaving'


@attrs.frozen
class Vm:
    """A VM of the fleet.

    Attributes:
        name: Name of the VM.
        incarnation: Start of its process in Unix milliseconds.
        peer_address: ``ip:port`` for the other VMs.
        caller_address: ``ip:port`` for callers.
        region: Where it runs.
        failure_domain: Where it runs.
    """

    name: str
    incarnation: int
    peer_address: str
    caller_address: str
    region: str
    failure_domain: str


@attrs.define
class Heartbeat:
    """When and how a VM was heard last.

    Attributes:
        phase: What it said.
        at: When, on this VM's clock.
    """

    phase: Phase
    at: float


@attrs.define
class Fleet:
    """VMs by name, with the age of what is known of them.

    Attributes:
        clock: Source of time.
        local_vm: This VM.
        phase: What this VM says of itself.
        known: Other VMs, heard or only named by others.
        heartbeats: When each was heard last.
        learned_at: When each was learned of.
        sizes: Number of other VMs in each region.
    """

    clock: clocks.Clock
    local_vm: Vm
    phase: Phase = Phase.STARTING
    known: dict[str, Vm] = attrs.field(factory=dict)
    heartbeats: dict[str, Heartbeat] = attrs.field(factory=dict)
    learned_at: dict[str, float] = attrs.field(factory=dict)
    sizes: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def add_vm(self, vm: Vm, from_itself: bool = False) -> bool:
        """Take over that a VM exists.

        Args:
            vm: The VM.
            from_itself: Whether it said so itself, rather than the store or
                another VM.

        Returns:
            Whether it is new or has started again.
        """
        if vm.name == self.local_vm.name:
            return False
        known = self.known.get(vm.name)
        if known is not None and not (
            vm.incarnation > known.incarnation
            or (from_itself and self._was_set_back(known, vm))
        ):
            return False
        if known is not None:
            self.sizes[known.region] -= 1
        self.sizes[vm.region] += 1
        self.known[vm.name] = vm
        self.learned_at[vm.name] = self.clock.monotonic()
        self.heartbeats.pop(vm.name, None)
        return True

    def _was_set_back(self, known: Vm, vm: Vm) -> bool:
        # Incarnations are times of day. A machine whose time was set back
        # starts its next process with a lower one, when the last is silent.
        return vm.incarnation < known.incarnation and not self.is_alive(
            vm.name
        )

    def record_heartbeat(self, vm: Vm, phase: Phase) -> bool:
        """Note that a VM has spoken.

        Args:
            vm: The VM.
            phase: What it says of itself.

        Returns:
            Whether it was not alive before.
        """
        self.add_vm(vm, from_itself=True)
        if self.known.get(vm.name) != vm:
            return False
        was_alive = self.is_alive(vm.name)
        self.heartbeats[vm.name] = Heartbeat(phase, self.clock.monotonic())
        return not was_alive

    def is_alive(self, name: str) -> bool:
        """Return whether a VM was heard lately.

        Args:
            name: Name of the VM.
        """
        seen = self.heartbeats.get(name)
        if seen is None:
            return False
        return self.clock.monotonic() - seen.at <= SILENT_S

    def alive(self) -> tuple[str, ...]:
        """Return the names of the VMs that are alive, this one included."""
        others = (name for name in self.known if self.is_alive(name))
        return (self.local_vm.name, *sorted(others))

    def sharing_vm_count(self) -> int:
        """Return how many VMs may be sharing limits with this one."""
        oldest = self.clock.monotonic() - SHARER_MEMORY_S
        return 1 + sum(seen.at >= oldest for seen in self.heartbeats.values())

    def remove_expired(self) -> tuple[str, ...]:
        """Drop VMs that were silent for long and return their names."""
        oldest = self.clock.monotonic() - REMOVED_S
        last_seen = self.learned_at | {
            name: seen.at for name, seen in self.heartbeats.items()
        }
        gone = tuple(name for name, at in last_seen.items() if at < oldest)
        for name in gone:
            self.sizes[self.known.pop(name).region] -= 1
            self.heartbeats.pop(name, None)
            del self.learned_at[name]
        return gone

    def serving(self) -> tuple[Vm, ...]:
        """Return the VMs that callers may be sent to."""
        found = [self.local_vm] if self.phase is Phase.READY else []
        for name, vm in self.known.items():
            if (
                self.is_alive(name)
                and self.heartbeats[name].phase is Phase.READY
            ):
                found.append(vm)
        return tuple(found)


def select_addresses(
    serving: typing.Sequence[Vm],
    region: str,
    homes: frozenset[str],
) -> tuple[str, ...]:
    """Return the addresses that a caller of a region shall use.

    Callers use the VMs of their own region. If none serves, they use a home
    region of the host, or else any.

    Args:
        serving: VMs that serve callers.
        region: Region of the caller.
        homes: Home regions of the host, empty if it has none.
    """
    groups = (
        [vm for vm in serving if vm.region == region],
        [vm for vm in serving if vm.region in homes],
        list(serving),
    )
    chosen = next((group for group in groups if group), [])
    return tuple(vm.caller_address for vm in chosen[:MAX_NAMED])
