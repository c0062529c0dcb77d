"""The fleet: which VMs exist, are alive and serve callers."""

import collections
import enum
import math
import typing

import attrs

from bulrushcourse_domain import clock as clocks

# Heartbeats of the same region pass at most two relays, each of which forwards
# several times a second.
HEARTBEAT_TIMEOUT_S = 2.5
# Those of other regions pass the gateways of both regions as well.
OTHER_REGION_HEARTBEAT_TIMEOUT_S = 4.0
# VMs that were silent for less than this still share the limits, since they
# may be cut off from this VM only and still serve.
SHARING_TIMEOUT_S = 20.0
# VMs that were silent for longer than this are considered removed. One that
# comes back is added again at its first heartbeat.
REMOVAL_TIMEOUT_S = 600.0
# A VM that was added this recently is taken for alive until it is heard.
INTRODUCTION_S = 3.0
MAX_ADDRESSES = 64


class Phase(enum.Enum):
    """Phase of a VM's process, as reported by itself.

    A ``BUSY`` VM serves, but is too slow to be preferred.
    """

    STARTING = 'starting'
    READY = 'ready'
    LEAVING = 'leaving'
    BUSY = 'busy'


@attrs.frozen
class Vm:
    """A VM of the fleet.

    Attributes:
        name: Name of the VM.
        incarnation: Start of its process in Unix milliseconds.
        peer_address: ``ip:port`` for the other VMs.
        caller_address: ``ip:port`` for callers.
        region: Region in which it runs.
        failure_domain: Failure domain in which it runs.
        cores: Share of cores that it may use, 0 if unknown.
    """

    name: str
    incarnation: int
    peer_address: str
    caller_address: str
    region: str
    failure_domain: str
    cores: float = 0.0


@attrs.define
class Heartbeat:
    """The last heartbeat of a VM.

    Attributes:
        phase: Phase that the VM reported.
        at: Time when the VM or its relay got it, on this VM's clock.
    """

    phase: Phase
    at: float


@attrs.define
class Fleet:
    """The VMs of the fleet and their last heartbeats.

    Attributes:
        clock: Source of time.
        local_vm: This VM.
        phase: Phase that this VM reports.
        peers: Other VMs by name, including those that have not sent a
            heartbeat to this VM.
        heartbeats: Last heartbeat of each VM, by name.
        added_at: Time when each VM was added, by name.
        region_sizes: Number of other VMs in each region.
        roster_version: Increases when a VM is added, replaced or removed.
        resumed_at: Time when this VM last resumed after a pause.
        awaited_regions: Regions whose VMs it knew then.
    """

    clock: clocks.Clock
    local_vm: Vm
    phase: Phase = Phase.STARTING
    peers: dict[str, Vm] = attrs.field(factory=dict)
    heartbeats: dict[str, Heartbeat] = attrs.field(factory=dict)
    added_at: dict[str, float] = attrs.field(factory=dict)
    region_sizes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    roster_version: int = 0
    resumed_at: float = -math.inf
    awaited_regions: frozenset[str] = frozenset()

    def resume(self) -> None:
        """Record that this VM runs again after a pause."""
        self.resumed_at = self.clock.monotonic()
        self.awaited_regions = frozenset(
            self.peers[name].region for name in self.heartbeats
        )

    def has_heard_all_regions(self) -> bool:
        """Return whether the VMs that are alive can be told from others.

        After a pause all other VMs look silent, until they are heard again.
        """
        if self.clock.monotonic() - self.resumed_at >= INTRODUCTION_S:
            return True
        return self.awaited_regions <= {
            self.peers[name].region for name in self.alive_peers()
        }

    def add_vm(self, vm: Vm, self_reported: bool = False) -> bool:
        """Add a VM, or replace its former incarnation.

        Args:
            vm: The VM.
            self_reported: Whether the VM reported itself, rather than the
                store or another VM.

        Returns:
            Whether it is new or was restarted.
        """
        if vm.name == self.local_vm.name:
            return False
        previous = self.peers.get(vm.name)
        if previous is not None and not (
            vm.incarnation > previous.incarnation
            or (self_reported and self._clock_was_set_back(previous, vm))
        ):
            return False
        if previous is not None:
            self.region_sizes[previous.region] -= 1
        self.region_sizes[vm.region] += 1
        self.roster_version += 1
        self.peers[vm.name] = vm
        self.added_at[vm.name] = self.clock.monotonic()
        self.heartbeats.pop(vm.name, None)
        return True

    def _clock_was_set_back(self, previous: Vm, vm: Vm) -> bool:
        # Incarnations are wall-clock times. If the clock of a machine was set
        # back, its next process has a lower one than the last, which is then
        # no longer alive.
        return vm.incarnation < previous.incarnation and not self.is_alive(
            vm.name
        )

    def record_heartbeat(self, vm: Vm, phase: Phase) -> bool:
        """Record a heartbeat of a VM.

        Args:
            vm: The VM.
            phase: Phase that it reports.

        Returns:
            Whether it was not alive before.
        """
        self.add_vm(vm, self_reported=True)
        if self.peers.get(vm.name) != vm:
            return False
        was_alive = self.is_alive(vm.name)
        self.heartbeats[vm.name] = Heartbeat(phase, self.clock.monotonic())
        return not was_alive

    def record_relayed_heartbeats(
        self,
        roster: typing.Iterable[tuple[str, int]],
        ages_s: typing.Iterable[float],
        phases: typing.Iterable[Phase],
    ) -> None:
        """Record heartbeats that another VM forwarded.

        One is ignored if it is older than the last one, or if it belongs to
        an incarnation that is not known here.

        Args:
            roster: Name and incarnation of each VM.
            ages_s: Time since each heartbeat was sent.
            phases: Phase that each VM reported.
        """
        now = self.clock.monotonic()
        for (name, incarnation), age_s, phase in zip(
            roster, ages_s, phases, strict=False
        ):
            at = now - age_s
            heartbeat = self.heartbeats.get(name)
            if heartbeat is not None and heartbeat.at >= at:
                continue
            vm = self.peers.get(name)
            if vm is not None and vm.incarnation == incarnation:
                self.heartbeats[name] = Heartbeat(phase, at)

    def is_alive(self, name: str) -> bool:
        """Return whether a VM sent a heartbeat recently.

        Args:
            name: Name of the VM.
        """
        heartbeat = self.heartbeats.get(name)
        if heartbeat is None:
            return False
        timeout_s = (
            HEARTBEAT_TIMEOUT_S
            if self.peers[name].region == self.local_vm.region
            else OTHER_REGION_HEARTBEAT_TIMEOUT_S
        )
        return self.clock.monotonic() - heartbeat.at <= timeout_s

    def alive(self) -> tuple[str, ...]:
        """Return the names of the VMs that are alive, this one included."""
        return (self.local_vm.name, *sorted(self.alive_peers()))

    def alive_peers(self) -> list[str]:
        """Return the names of the other VMs that are alive."""
        now = self.clock.monotonic()
        oldest = now - HEARTBEAT_TIMEOUT_S
        oldest_elsewhere = now - OTHER_REGION_HEARTBEAT_TIMEOUT_S
        region = self.local_vm.region
        peers = self.peers
        return [
            name
            for name, heartbeat in self.heartbeats.items()
            if heartbeat.at >= oldest_elsewhere
            and (heartbeat.at >= oldest or peers[name].region != region)
        ]

    def presumed_alive(self) -> set[str]:
        """Return the names of the VMs that are alive or were just added.

        This VM is included.
        """
        introduced = self.clock.monotonic() - INTRODUCTION_S
        names = set(self.alive_peers())
        names.update(
            name
            for name in self.peers.keys() - self.heartbeats.keys()
            if self.added_at[name] >= introduced
        )
        names.add(self.local_vm.name)
        return names

    def silent(self) -> tuple[Vm, ...]:
        """Return the VMs that are known but not presumed alive."""
        names = self.presumed_alive()
        return tuple(
            vm for name, vm in self.peers.items() if name not in names
        )

    def sharing_vm_count(self) -> int:
        """Return how many VMs may share the limits, this one included."""
        oldest = self.clock.monotonic() - SHARING_TIMEOUT_S
        return 1 + sum(h.at >= oldest for h in self.heartbeats.values())

    def remove_expired(self) -> tuple[str, ...]:
        """Remove VMs that were silent for long and return their names."""
        oldest = self.clock.monotonic() - REMOVAL_TIMEOUT_S
        last_times = self.added_at | {
            name: heartbeat.at for name, heartbeat in self.heartbeats.items()
        }
        expired = tuple(name for name, at in last_times.items() if at < oldest)
        for name in expired:
            self.region_sizes[self.peers.pop(name).region] -= 1
            self.roster_version += 1
            self.heartbeats.pop(name, None)
            del self.added_at[name]
        return expired

    def serving(self) -> tuple[Vm, ...]:
        """Return the VMs that callers should connect to.

        Busy VMs are left out in regions where most VMs are not busy.
        """
        by_phase: dict[Phase, list[Vm]] = {phase: [] for phase in Phase}
        by_phase[self.phase].append(self.local_vm)
        for name, vm in self.peers.items():
            if self.is_alive(name):
                by_phase[self.heartbeats[name].phase].append(vm)
        ready, busy = by_phase[Phase.READY], by_phase[Phase.BUSY]
        balance = collections.Counter(vm.region for vm in ready)
        balance.subtract(vm.region for vm in busy)
        return (*ready, *(vm for vm in busy if balance[vm.region] < 0))


def select_addresses(
    serving: typing.Sequence[Vm],
    region: str,
    home_regions: frozenset[str],
) -> tuple[str, ...]:
    """Return the addresses that a caller should connect to.

    Callers use the VMs of their own region. If none serves there, they use
    those of the host's home regions, or else any.

    Args:
        serving: VMs that serve callers.
        region: Region of the caller.
        home_regions: Home regions of the host, empty if it has none.
    """
    groups = (
        [vm for vm in serving if vm.region == region],
        [vm for vm in serving if vm.region in home_regions],
        list(serving),
    )
    chosen = next((group for group in groups if group), [])
    return tuple(vm.caller_address for vm in chosen[:MAX_ADDRESSES])
