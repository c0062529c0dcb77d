"""Guards against shares that exceed a cap together or are lost for good.

The model covers grants, renewals, pauses, lost and late responses, drifting
clocks, replaced VMs, outdated VM lists, changed caps and outages of any
length: a VM acts only when a rule chooses it.
"""

import attrs
from hypothesis import stateful
from hypothesis import strategies

from bulrushcourse_domain.limits import floor_binding
from bulrushcourse_domain.limits import lease_monitor
from bulrushcourse_domain.limits import ledger
from bulrushcourse_domain.limits import share_ledger

ENTRIES = ('a', 'b', 'c')
CAP = 100
WORK_LIMIT_S = 10.0
# Time after a change of terms in which the leases under the old terms, the
# requests admitted under these leases and the requests after those have ended.
SETTLED_S = 2 * (lease_monitor.LEASE_S + 2 * WORK_LIMIT_S)
INDEXES = strategies.integers(0, 5)
RATES = (0.991, 1.0, 1.009)


@attrs.define
class World:
    now: float = 0.0
    version: int = 0
    row: ledger.Ledger | None = None
    caps: list[int] = attrs.field(factory=lambda: [CAP])
    listed: dict[str, str] = attrs.field(factory=dict)

    def transact(self, expected, proposed):
        if expected != self.version:
            return False
        self.version, self.row = self.version + 1, proposed
        return True

    def terms(self):
        version = len(self.caps)
        return ledger.Terms(version, self.caps[-1], ENTRIES, WORK_LIMIT_S)


@attrs.define
class VmClock:
    world: World
    rate: float

    def monotonic(self):
        return 1000.0 + self.world.now * self.rate

    def wall(self):
        raise AssertionError('shares must not depend on the wall clock')


@attrs.define(eq=False)
class ModelVm:
    name: str
    entry: str
    shares: share_ledger.ShareLedger
    live: bool = True
    requests: list[tuple[float, int]] = attrs.field(factory=list)
    responses: list[tuple[str, bool]] = attrs.field(factory=list)

    def in_use(self, now):
        return sum(amount for ends, amount in self.requests if ends > now)

    def used(self, now):
        usable = self.shares.usable if self.live else 0
        return max(usable, self.in_use(now))


class ShareModel(stateful.RuleBasedStateMachine):
    ledger_type = share_ledger.ShareLedger
    monitor_type = lease_monitor.LeaseMonitor
    binding_type = floor_binding.FloorBinding

    def __init__(self):
        super().__init__()
        self.world = World()
        self.vms = []
        self.late_writes = []
        self.last_used = {}
        for entry in ENTRIES:
            self.add_vm(entry, 1.0)
        self.publish_list()

    def add_vm(self, entry, rate):
        name = f'vm-{len(self.vms)}'
        clock = VmClock(self.world, rate)
        shares = self.ledger_type(
            clock,
            f'{name}/1',
            self.binding_type(clock, name, entry),
            self.world.terms(),
            self.monitor_type(clock),
        )
        self.vms.append(ModelVm(name, entry, shares))

    def choose_vm(self, index):
        live = [vm for vm in self.vms if vm.live]
        return live[index % len(live)] if live else None

    @stateful.rule(seconds=strategies.sampled_from([1, 6, 11, 30, 60, 90]))
    def advance(self, seconds):
        self.world.now += seconds

    @stateful.rule(
        entry=strategies.sampled_from(ENTRIES),
        rate=strategies.sampled_from(RATES),
    )
    def start_vm(self, entry, rate):
        if sum(vm.live and vm.entry == entry for vm in self.vms) < 2:
            self.add_vm(entry, rate)

    @stateful.rule(index=INDEXES)
    def end_vm(self, index):
        if (vm := self.choose_vm(index)) is not None:
            vm.live = False

    @stateful.rule()
    def replace_fleet(self):
        for vm in self.vms:
            vm.live = False
        for entry in ENTRIES:
            self.add_vm(entry, 1.0)
        self.publish_list()
        for vm in self.vms:
            if vm.live:
                vm.shares.update_vm_list(self.world.listed)

    @stateful.rule(demand=strategies.sampled_from([30, 100]))
    def renew_all(self, demand):
        for vm in self.vms:
            if vm.live:
                self.renew_vm(vm, demand)

    @stateful.rule()
    def publish_list(self):
        self.world.listed = {vm.name: vm.entry for vm in self.vms if vm.live}

    @stateful.rule(index=INDEXES)
    def fetch_list(self, index):
        if (vm := self.choose_vm(index)) is not None:
            vm.shares.update_vm_list(self.world.listed)

    @stateful.rule(index=INDEXES)
    def read(self, index):
        if (vm := self.choose_vm(index)) is not None:
            vm.shares.observe(self.world.row, self.world.version)

    @stateful.rule(
        index=INDEXES,
        demand=strategies.sampled_from([0, 30, 100]),
        delivery=strategies.sampled_from(
            ['response-pending', 'response-lost', 'late']
        ),
    )
    def write(self, index, demand, delivery):
        vm = self.choose_vm(index)
        if vm is None or vm.responses:
            return
        expected = vm.shares.version
        in_use = vm.in_use(self.world.now)
        proposed = vm.shares.propose(demand, in_use)
        renewal = vm.shares.last_renewal
        if delivery == 'late':
            self.late_writes.append((expected, proposed))
            return
        applied = self.world.transact(expected, proposed)
        if delivery == 'response-pending':
            vm.responses.append((renewal, applied))

    @stateful.rule(index=INDEXES)
    def deliver_response(self, index):
        if (vm := self.choose_vm(index)) is not None and vm.responses:
            renewal, applied = vm.responses.pop()
            report = (
                vm.shares.confirm_write if applied else vm.shares.reject_write
            )
            report(renewal)

    @stateful.rule()
    def apply_late_write(self):
        if self.late_writes:
            self.world.transact(*self.late_writes.pop(0))

    @stateful.rule(index=INDEXES, demand=strategies.sampled_from([0, 30, 100]))
    def renew(self, index, demand):
        if (vm := self.choose_vm(index)) is not None:
            self.renew_vm(vm, demand)

    def renew_vm(self, vm, demand):
        vm.responses.clear()
        vm.shares.observe(self.world.row, self.world.version)
        vm.shares.update_vm_list(self.world.listed)
        if not vm.shares.is_due(demand):
            return
        proposed = vm.shares.propose(demand, vm.in_use(self.world.now))
        assert self.world.transact(vm.shares.version, proposed)
        vm.shares.confirm_write(vm.shares.last_renewal)

    @stateful.rule(index=INDEXES)
    def admit_requests(self, index):
        if (vm := self.choose_vm(index)) is not None:
            now = self.world.now
            room = vm.shares.usable - vm.in_use(now)
            if room > 0:
                vm.requests.append((now + WORK_LIMIT_S, room))

    @stateful.rule(cap=strategies.sampled_from([40, 100, 160]))
    def publish_configuration(self, cap):
        self.world.caps.append(cap)

    @stateful.rule(index=INDEXES)
    def apply_configuration(self, index):
        if (vm := self.choose_vm(index)) is not None:
            vm.shares.configure(self.world.terms())

    @stateful.invariant()
    def stays_within_cap(self):
        now = self.world.now
        known = [vm.shares.terms.version for vm in self.vms if vm.live]
        oldest = min([len(self.world.caps), *known])
        for version in range(oldest, len(self.world.caps) + 1):
            self.last_used[version] = now
        caps = [
            self.world.caps[version - 1]
            for version, last in self.last_used.items()
            if now - last <= SETTLED_S
        ]
        used = sum(vm.used(now) for vm in self.vms)
        assert used <= max(caps), (used, caps)

    def teardown(self):
        """Check that VMs without faults regain the whole cap."""
        for entry in ENTRIES:
            live = [vm for vm in self.vms if vm.live and vm.entry == entry]
            for vm in live[1:]:
                vm.live = False
            if not live:
                self.add_vm(entry, 1.0)
        for _ in range(int(SETTLED_S / 5) + 1):
            self.publish_list()
            for vm in self.vms:
                if vm.live:
                    vm.shares.configure(self.world.terms())
                    self.renew_vm(vm, max(self.world.caps))
            self.stays_within_cap()
            self.world.now += 5
        usable = sum(vm.shares.usable for vm in self.vms if vm.live)
        assert usable == self.world.caps[-1], 'a share was not reclaimed'
