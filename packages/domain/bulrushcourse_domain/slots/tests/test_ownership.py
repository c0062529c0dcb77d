"""Guards against two owners of a pool, and against pools without owner."""

import attrs
import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from bulrushcourse_domain.slots import lease as leases
from bulrushcourse_domain.slots import ownership
from bulrushcourse_domain.slots import promises
from bulrushcourse_domain.slots import timing
from bulrushcourse_domain.slots.tests import ownership_world

RATES = strategies.sampled_from([0.99, 1.01])
INDEX = strategies.integers(0, 50)
MAX_NODES = 5


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """Faults in any order; two entries may never grant at one instant."""

    build = staticmethod(ownership_world.build_sound)
    times = timing.OwnershipTimes()

    def __init__(self) -> None:
        super().__init__()
        self.world = ownership_world.World(self.build, self.times)

    def node(self, index: int) -> ownership_world.Node:
        return self.world.nodes[index % len(self.world.nodes)]

    @stateful.initialize(
        rates=strategies.tuples(RATES, RATES, RATES),
        late=strategies.sampled_from(ownership_world.SEATS),
    )
    def start_region(self, rates, late):
        """Start the last entry late, so that any entry may be the owner."""
        seats = sorted(
            zip(ownership_world.SEATS, rates, strict=True),
            key=lambda pair: pair[0] == late,
        )
        for seat, rate in seats:
            self.world.start(seat, rate)
            self.world.publish_list()
            if len(self.world.nodes) != 1:
                self.world.run(5)

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.1, 0.5, 1, 2]))
    def pass_time(self, seconds):
        self.world.advance(seconds)

    @stateful.rule(seconds=strategies.sampled_from([0.25, 1, 3, 6]))
    def run_under_present_faults(self, seconds):
        self.world.run(seconds)

    @stateful.rule(
        stage=strategies.sampled_from(['write', 'wish']),
        delay=strategies.sampled_from([0, 1, 2.5]),
    )
    def silence_owner(self, stage, delay):
        """Answer the owner late, then pause it past its lease.

        The others run in short steps, so that they act as soon as they may.
        """
        world = self.world
        owners = [node for node in world.nodes if node.own.may_grant()]
        for owner in owners:
            world.read(owner)
            if stage == 'write':
                world.send_write(owner)
                world.land_write(owner)
            else:
                world.ask(owner)
            owner.paused = True
            world.run(0.02, 0.02)
            world.run(delay, 0.1)
            world.answer_write(owner)
            owner.paused = False
            world.deliver_answers()
            owner.paused = True
            world.check()
            world.run(3.6, 0.02)
            owner.paused = False

    @stateful.rule(index=INDEX)
    def cut_off(self, index):
        """Cut an entry off from store and peers; its peers return first."""
        world, node = self.world, self.node(index)
        cuts = set(world.cuts)
        node.store_cut = True
        for seat in ownership_world.SEATS:
            world.cuts.add(frozenset((node.vm.entry, seat)))
        world.run(3.5)
        world.cuts = cuts
        world.tick(node)
        world.run(3.5)
        node.store_cut = False

    @stateful.rule(index=INDEX)
    def tick(self, index):
        self.world.tick(self.node(index))

    @stateful.rule(index=INDEX, lands=strategies.booleans())
    def pause_in_write(self, index, lands):
        node = self.node(index)
        self.world.read(node)
        self.world.send_write(node)
        if lands:
            self.world.land_write(node)
        node.paused = True

    @stateful.rule(index=INDEX)
    def pause_in_wish(self, index):
        node = self.node(index)
        self.world.ask(node)
        node.paused = True
        self.world.deliver_requests()

    @stateful.rule(index=INDEX)
    def resume(self, index):
        self.node(index).paused = False

    @stateful.rule(index=INDEX)
    def land_write(self, index):
        self.world.land_write(self.node(index))

    @stateful.rule(index=INDEX)
    def lose_answer(self, index):
        self.world.answer_write(self.node(index), lost=True)

    @stateful.rule(index=INDEX)
    def fetch_list(self, index):
        self.world.fetch_list(self.node(index))

    @stateful.rule()
    def toggle_store(self):
        self.world.table.up = not self.world.table.up

    @stateful.rule(
        pair=strategies.sampled_from(['ab', 'ac', 'bc']),
    )
    def toggle_link(self, pair):
        self.world.cuts ^= {frozenset(pair)}

    @stateful.rule()
    def publish_list(self):
        self.world.publish_list()

    @stateful.rule(index=INDEX, rate=RATES, same_vm=strategies.booleans())
    def restart(self, index, rate, same_vm):
        node = self.node(index)
        self.world.kill(node)
        vm_id = node.vm.vm_id if same_vm else ''
        self.world.start(node.vm.entry, rate, vm_id)

    @stateful.precondition(lambda self: len(self.world.nodes) < MAX_NODES)
    @stateful.rule(index=INDEX, rate=RATES)
    def start_replacement(self, index, rate):
        self.world.start(self.node(index).vm.entry, rate)

    @stateful.precondition(lambda self: len(self.world.nodes) > 1)
    @stateful.rule(index=INDEX)
    def kill(self, index):
        self.world.kill(self.node(index))

    @stateful.rule(index=INDEX, rate=RATES)
    def leave(self, index, rate):
        node = self.node(index)
        write = node.own.release()
        if write is not None and self.world.table.up:
            self.world.table.apply(write)
        for other in self.world.nodes:
            if other is not node and not other.paused:
                other.own.record_release(node.own.incarnation)
        self.world.run(1)
        self.world.kill(node)
        self.world.start(node.vm.entry, rate)

    @stateful.invariant()
    def one_owner_at_most(self):
        self.world.check()

    def teardown(self):
        world = self.world
        if not world.nodes:
            return
        world.heal()
        world.run(20)
        assert len(world.owners()) == 1, 'no owner without faults'


SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=120,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
    database=None,
)


def test_one_owner_at_any_instant():
    stateful.run_state_machine_as_test(OwnershipMachine, settings=SETTINGS)


@pytest.mark.parametrize('late', ownership_world.SEATS)
def test_outage_at_start_takes_no_pool_from_its_owner(late):
    """Entries that saw the lease free stood in the new owner's way."""
    world = ownership_world.World(ownership_world.build_sound)
    seats = sorted(ownership_world.SEATS, key=lambda seat: seat == late)
    for seat in seats[:2]:
        world.start(seat, 1.0)
    world.publish_list()
    world.run(0.5)
    world.start(late, 1.0)
    world.publish_list()
    while world.table.up:
        world.advance(0.05)
        for node in world.nodes:
            if world.table.up:
                world.tick(node)
                world.table.up = not world.owners()
    owners = world.owners()
    for _ in range(60):
        world.run(0.25)
        assert world.owners() == owners


def test_replacement_in_an_outage_takes_no_pool_for_long():
    """A new VM cannot promise yet, and stood in the owner's way."""
    world = ownership_world.World(ownership_world.build_sound)
    for seat in ownership_world.SEATS:
        world.start(seat, 1.0)
    world.publish_list()
    world.run(6)
    (owner,) = world.owners()
    world.table.up = False
    world.run(6)
    replaced = next(n for n in world.nodes if n.vm.vm_id != owner)
    world.kill(replaced)
    world.start(replaced.vm.entry, 1.0)
    world.publish_list()
    without = 0
    for _ in range(100):
        world.run(0.1, 0.1)
        without += not world.owners()
    # The lists that tell of the VM are polled every 0.5 s.
    assert without <= 5


def test_planned_stop_in_an_outage_hands_the_pool_over():
    """The successor waited for its promise, and for its turn, to end."""
    world = ownership_world.World(ownership_world.build_sound)
    for seat in ownership_world.SEATS:
        world.start(seat, 1.0)
    world.publish_list()
    world.run(6)
    world.table.up = False
    world.run(6)
    (owner,) = (node for node in world.nodes if node.own.may_grant())
    owner.own.release()
    for node in world.nodes:
        node.own.record_release(owner.own.incarnation)
    world.run(1.5)
    assert len(world.owners()) == 1


class CountsLeaseFromAnswer(leases.PoolLease):
    """Broken: the answer may come long after the write took effect."""

    def _confirm(self):
        self.sent_at = self.clock.monotonic()
        super()._confirm()


class PromisesWhileHolding(ownership.PoolOwnership):
    """Broken: the holder of the lease promises the pool to another."""

    def _may_promise(self, request):
        return self.pool_promises.is_free_for(request.candidate)

    def may_grant(self):
        eligible = not self.stopped and self.members.is_settled()
        return eligible and (self.lease.is_held() or self._is_promised())


class CountsPromiseFromArrival(promises.PoolPromises):
    """Broken: a delayed promise has run out at its giver."""

    def receive(self, entry, number):
        self.received[entry] = self.clock.monotonic() + self.times.promise_s


def build_counting_lease_from_answer(members, incarnation):
    own = ownership_world.build_sound(members, incarnation)
    own.lease = CountsLeaseFromAnswer(
        own.clock, own.entry, incarnation, members.times
    )
    return own


def build_promising_while_holding(members, incarnation):
    own = ownership_world.build_sound(members, incarnation)
    return PromisesWhileHolding(
        own.clock,
        own.pool,
        incarnation,
        members,
        own.rng,
        own.lease,
        own.pool_promises,
    )


def build_counting_promise_from_arrival(members, incarnation):
    own = ownership_world.build_sound(members, incarnation)
    own.pool_promises = CountsPromiseFromArrival(own.clock, members.times)
    return own


@pytest.mark.parametrize(
    ('build', 'max_drift'),
    [
        (ownership_world.build_sound, 0.0),
        (build_counting_lease_from_answer, 0.01),
        (build_promising_while_holding, 0.01),
        (build_counting_promise_from_arrival, 0.01),
    ],
    ids=['no-drift-margin', 'lease-from-answer', 'promise', 'arrival'],
)
def test_machine_finds_broken_variant(build, max_drift):
    """Guards against a machine too weak to notice a missing rule."""
    machine = type(
        'BrokenMachine',
        (OwnershipMachine,),
        {
            'build': staticmethod(build),
            'times': attrs.evolve(
                timing.OwnershipTimes(), max_drift=max_drift
            ),
        },
    )
    settings = hypothesis.settings(
        SETTINGS, max_examples=300, phases=[hypothesis.Phase.generate]
    )
    with pytest.raises(AssertionError, match='two owners'):
        stateful.run_state_machine_as_test(machine, settings=settings)
