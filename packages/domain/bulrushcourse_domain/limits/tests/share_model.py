"""Guards against shares that together exceed a cap, or are lost for good.

The model plays grants, renewals, pauses, lost and late answers, drifting
clocks, replaced VMs, lagging lists, changed caps and outages of any length:
every VM acts only when a rule picks it.
"""

import attrs
from hypothesis import stateful
from hypothesis import strategies

from bulrushcourse_domain.limits import floor_binding
from bulrushcourse_domain.limits import lease_monitor
from bulrushcourse_domain.limits import ledger
from bulrushcourse_domain.limits import share_ledger

SEATS = ('a', 'b', 'c')
CAP = 100
WORK_LIMIT_S = 10.0
# Any old terms have passed after a lease, its work and the work after it.
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
        return ledger.Terms(version, self.caps[-1], SEATS, WORK_LIMIT_S)


@attrs.define
class VmClock:
    world: World
    rate: float

    def monotonic(self):
        return 1000.0 + self.world.now * self.rate

    def wall(self):
        raise AssertionError('shares must not depend on the time of day')


@attrs.define(eq=False)
class ModelVm:
    name: str
    seat: str
    shares: share_ledger.ShareLedger
    live: bool = True
    work: list[tuple[float, int]] = attrs.field(factory=list)
    answers: list[tuple[str, bool]] = attrs.field(factory=list)

    def in_use(self, now):
        return sum(amount for ends, amount in self.work if ends > now)

    def taken(self, now):
        usable = self.shares.usable if self.live else 0
        return max(usable, self.in_use(now))


class ShareModel(stateful.RuleBasedStateMachine):
    ledger_type = share_ledger.ShareLedger
    watch_type = lease_monitor.LeaseMonitor
    binding_type = floor_binding.FloorBinding

    def __init__(self):
        super().__init__()
        self.world = World()
        self.vms = []
        self.late_writes = []
        self.last_used = {}
        for seat in SEATS:
            self.add_vm(seat, 1.0)
        self.publish_list()

    def add_vm(self, seat, rate):
        name = f'vm-{len(self.vms)}'
        clock = VmClock(self.world, rate)
        shares = self.ledger_type(
            clock,
            f'{name}/1',
            self.binding_type(clock, name, seat),
            self.world.terms(),
            self.watch_type(clock),
        )
        self.vms.append(ModelVm(name, seat, shares))

    def pick(self, index):
        live = [vm for vm in self.vms if vm.live]
        return live[index % len(live)] if live else None

    @stateful.rule(seconds=strategies.sampled_from([1, 6, 11, 30, 60, 90]))
    def advance(self, seconds):
        self.world.now += seconds

    @stateful.rule(
        seat=strategies.sampled_from(SEATS),
        rate=strategies.sampled_from(RATES),
    )
    def start_vm(self, seat, rate):
        if sum(vm.live and vm.seat == seat for vm in self.vms) < 2:
            self.add_vm(seat, rate)

    @stateful.rule(index=INDEXES)
    def end_vm(self, index):
        if (vm := self.pick(index)) is not None:
            vm.live = False

    @stateful.rule()
    def replace_fleet(self):
        for vm in self.vms:
            vm.live = False
        for seat in SEATS:
            self.add_vm(seat, 1.0)
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
        self.world.listed = {vm.name: vm.seat for vm in self.vms if vm.live}

    @stateful.rule(index=INDEXES)
    def see_list(self, index):
        if (vm := self.pick(index)) is not None:
            vm.shares.update_vm_list(self.world.listed)

    @stateful.rule(index=INDEXES)
    def read(self, index):
        if (vm := self.pick(index)) is not None:
            vm.shares.observe(self.world.row, self.world.version)

    @stateful.rule(
        index=INDEXES,
        demand=strategies.sampled_from([0, 30, 100]),
        fate=strategies.sampled_from(['waits', 'lost', 'late']),
    )
    def write(self, index, demand, fate):
        vm = self.pick(index)
        if vm is None or vm.answers:
            return
        expected = vm.shares.version
        in_use = vm.in_use(self.world.now)
        proposed = vm.shares.propose(demand, in_use)
        renewal = vm.shares.last_renewal
        if fate == 'late':
            self.late_writes.append((expected, proposed))
            return
        applied = self.world.transact(expected, proposed)
        if fate == 'waits':
            vm.answers.append((renewal, applied))

    @stateful.rule(index=INDEXES)
    def answer(self, index):
        if (vm := self.pick(index)) is not None and vm.answers:
            renewal, applied = vm.answers.pop()
            tell = (
                vm.shares.confirm_write if applied else vm.shares.reject_write
            )
            tell(renewal)

    @stateful.rule()
    def late_write_arrives(self):
        if self.late_writes:
            self.world.transact(*self.late_writes.pop(0))

    @stateful.rule(index=INDEXES, demand=strategies.sampled_from([0, 30, 100]))
    def renew(self, index, demand):
        if (vm := self.pick(index)) is not None:
            self.renew_vm(vm, demand)

    def renew_vm(self, vm, demand):
        vm.answers.clear()
        vm.shares.observe(self.world.row, self.world.version)
        vm.shares.update_vm_list(self.world.listed)
        if not vm.shares.is_due(demand):
            return
        proposed = vm.shares.propose(demand, vm.in_use(self.world.now))
        assert self.world.transact(vm.shares.version, proposed)
        vm.shares.confirm_write(vm.shares.last_renewal)

    @stateful.rule(index=INDEXES)
    def admit_work(self, index):
        if (vm := self.pick(index)) is not None:
            now = self.world.now
            room = vm.shares.usable - vm.in_use(now)
            if room > 0:
                vm.work.append((now + WORK_LIMIT_S, room))

    @stateful.rule(cap=strategies.sampled_from([40, 100, 160]))
    def publish_configuration(self, cap):
        self.world.caps.append(cap)

    @stateful.rule(index=INDEXES)
    def configuration_arrives(self, index):
        if (vm := self.pick(index)) is not None:
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
            for version, used in self.last_used.items()
            if now - used <= SETTLED_S
        ]
        taken = sum(vm.taken(now) for vm in self.vms)
        assert taken <= max(caps), (taken, caps)

    def teardown(self):
        """Check that a fleet in order gets the whole cap again."""
        for seat in SEATS:
            live = [vm for vm in self.vms if vm.live and vm.seat == seat]
            for vm in live[1:]:
                vm.live = False
            if not live:
                self.add_vm(seat, 1.0)
        for _ in range(int(SETTLED_S / 5) + 1):
            self.publish_list()
            for vm in self.vms:
                if vm.live:
                    vm.shares.configure(self.world.terms())
                    self.renew_vm(vm, max(self.world.caps))
            self.stays_within_cap()
            self.world.now += 5
        usable = sum(vm.shares.usable for vm in self.vms if vm.live)
        assert usable == self.world.caps[-1], 'a share was lost for good'
