"""Model of a fleet whose VMs exchange reports, without processes or sockets.

It runs the code that decides who sends what to whom, and the encoding, with a
manual clock. Messages arrive at once. It counts the messages and the bytes.
"""

import collections
import random
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.fleet import links
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.edge.fleet import reports
from bulrushcourse_entry.edge.fleet import stream_cursor
from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_wire import fleet_messages

STEP_S = 0.05
RECEIVERS_INTERVAL_S = 0.25


@attrs.define
class Traffic:
    """Messages of one VM.

    Attributes:
        messages_out: Reports sent.
        messages_in: Reports received.
        bytes_out: Bytes sent.
        bytes_out_by_region: Bytes sent to each region.
    """

    messages_out: int = 0
    messages_in: int = 0
    bytes_out: int = 0
    bytes_out_by_region: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )


@attrs.define(eq=False)
class ModelVm:
    """A VM of the model.

    Attributes:
        reports: Builds and applies its reports.
        cursors: Cursor of the stream to each receiver.
        targets: Incarnation of each receiver that the stream was opened to.
        rosters: Last roster of the stream from each sender.
        due: Time of the next report to each receiver.
        receivers_due: Time of the next update of the receivers.
        running: Whether the VM runs; one that does not is silent.
        traffic: Its messages.
    """

    reports: reports.Reports
    cursors: dict[str, stream_cursor.StreamCursor] = attrs.field(factory=dict)
    targets: dict[str, fleet.Vm] = attrs.field(factory=dict)
    rosters: dict[str, tuple[tuple[str, int], ...]] = attrs.field(factory=dict)
    due: dict[str, float] = attrs.field(factory=dict)
    receivers_due: float = 0.0
    running: bool = True
    traffic: Traffic = attrs.field(factory=Traffic)

    @property
    def state(self) -> process_state.ProcessState:
        """State of its process."""
        return self.reports.state

    @property
    def vm(self) -> fleet.Vm:
        """The VM as the others know it."""
        return self.state.fleet.local_vm


@attrs.define(eq=False)
class FleetModel:
    """VMs that exchange reports on a manual clock.

    Attributes:
        clock: The clock of all VMs.
        rng: Source of randomness.
        vms: The VMs by name.
    """

    clock: clocks.ManualClock
    rng: random.Random
    vms: dict[str, ModelVm] = attrs.field(factory=dict)

    def add_vm(self, name: str, region: str, domain: str) -> ModelVm:
        """Start a VM that knows no other one.

        Args:
            name: Name of the VM.
            region: Its region.
            domain: Its failure domain.
        """
        settings = edge_settings.EdgeSettings(
            name,
            region,
            domain,
            '10.0.0.1:1',
            '10.0.0.1:2',
            peers='10.0.0.1:3',
        )
        state = process_state.build_state(settings, self.clock, self.rng)
        state.fleet.phase = fleet.Phase.READY
        vm = ModelVm(
            reports.Reports(state, event_logs.EventLog(self.clock)),
            receivers_due=self.clock.now + self.rng.random() * 0.25,
        )
        self.vms[name] = vm
        return vm

    def introduce_all(self) -> None:
        """Let every VM know all others, as by their rows in the store."""
        for vm in self.vms.values():
            for other in self.vms.values():
                vm.state.fleet.add_vm(other.vm)

    def run(self, seconds: float) -> None:
        """Advance the clock and deliver the reports that fall due.

        Args:
            seconds: Time to run.
        """
        end = self.clock.now + seconds
        while self.clock.now < end - STEP_S / 2:
            self.clock.advance(STEP_S)
            for vm in list(self.vms.values()):
                if vm.running:
                    self._step(vm)

    def run_until(
        self, condition: typing.Callable[[], bool], limit_s: float
    ) -> float:
        """Advance the clock until a condition holds and return the time taken.

        Args:
            condition: The condition.
            limit_s: Longest time to run.

        Raises:
            TimeoutError: If it does not hold in time.
        """
        started = self.clock.now
        while not condition():
            if self.clock.now - started > limit_s:
                raise TimeoutError(f'not within {limit_s} s')
            self.run(STEP_S)
        return self.clock.now - started

    def _step(self, vm: ModelVm) -> None:
        now = self.clock.now
        if now >= vm.receivers_due:
            vm.receivers_due = now + RECEIVERS_INTERVAL_S
            vm.state.load.expire_peer_loads()
            self._update_cursors(vm)
        for name, cursor in list(vm.cursors.items()):
            if now >= vm.due[name] or vm.reports.directory.is_urgent(cursor):
                interval = vm.reports.interval_s(cursor.relation)
                vm.due[name] = now + interval
                self._send(vm, name, cursor)

    def _update_cursors(self, vm: ModelVm) -> None:
        receivers = vm.state.links.receivers()
        for name, cursor in list(vm.cursors.items()):
            is_same = vm.targets[name] == vm.state.fleet.peers.get(name)
            if receivers.get(name) is not cursor.relation or not is_same:
                del vm.cursors[name]
        for name, relation in receivers.items():
            if name not in vm.cursors and name in vm.state.fleet.peers:
                vm.targets[name] = vm.state.fleet.peers[name]
                region = vm.targets[name].region
                vm.cursors[name] = vm.reports.open_cursor(
                    name, region, relation
                )
                vm.due[name] = self.clock.now + self.rng.random() * 0.2

    def _send(
        self, vm: ModelVm, name: str, cursor: stream_cursor.StreamCursor
    ) -> None:
        receiver = self.vms[name]
        content = fleet_messages.encode(vm.reports.build(cursor))
        vm.traffic.messages_out += 1
        vm.traffic.bytes_out += len(content)
        vm.traffic.bytes_out_by_region[cursor.region] += len(content)
        if receiver.running:
            self._deliver(vm, receiver, fleet_messages.decode(content))

    def _deliver(
        self,
        sender: ModelVm,
        receiver: ModelVm,
        report: fleet_messages.Report,
    ) -> None:
        receiver.traffic.messages_in += 1
        name = sender.vm.name
        if report.roster is not None:
            receiver.rosters[name] = report.roster
        receiver.state.fleet.add_vm(sender.vm, True)
        listed = receiver.reports.apply(
            sender.vm, report, receiver.rosters.get(name, ())
        )
        for vm in listed:
            if receiver.state.fleet.add_vm(vm):
                receiver.reports.new_vms.add(vm)


def build_fleet(
    vm_count: int, regions: int = 3, domains: int = 3, seed: int = 1
) -> FleetModel:
    """Return a fleet whose VMs know each other.

    Args:
        vm_count: Number of VMs.
        regions: Number of regions.
        domains: Number of failure domains in each region.
        seed: Seed of the randomness.
    """
    model = FleetModel(clocks.ManualClock(1000.0), random.Random(seed))
    for number in range(vm_count):
        region = f'r{number % regions}'
        domain = f'{region}-{number // regions % domains}'
        model.add_vm(f'vm-{number}', region, domain)
    model.introduce_all()
    return model


def read_upstreams(
    vm: ModelVm, version: int, count: int, era: int = 0
) -> None:
    """Let a VM read the rows of the upstreams from the store.

    Args:
        vm: The VM.
        version: Version of the store.
        count: Number of upstreams.
        era: Era of the store, 0 if it states none.
    """
    registered = tuple(
        upstreams.Upstream(
            f'i-{number:010x}',
            f's{number % 3}',
            f'10.1.0.{number % 250}:80',
            f'r{number % 3}-0',
            f'r{number % 3}',
            5,
        )
        for number in range(count)
    )
    snapshot = upstreams.Snapshot(version, registered, era)
    vm.state.store_era.admit(era or None, version)
    vm.state.upstreams.apply_snapshot(snapshot)
    vm.state.snapshot_versions.on_next(snapshot.position)


def relation_counts(model: FleetModel) -> collections.Counter[links.Relation]:
    """Return the number of streams by relation.

    Args:
        model: The fleet.
    """
    return collections.Counter(
        cursor.relation
        for vm in model.vms.values()
        for cursor in vm.cursors.values()
    )
