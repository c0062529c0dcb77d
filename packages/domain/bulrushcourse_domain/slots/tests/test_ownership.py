"""Guards against two owners of a pool, and against pools without owner."""

import attrs
import hypothesis
import pytest
from bulrushcourse_domain.slots import lease as leases
from bulrushcourse_domain.slots import ownership
from bulrushcourse_domain.slots import promises
from bulrushcourse_domain.slots import timing
from bulrushcourse_domain.slots.tests import ownership_world
from hypothesis import stateful
from hypothesis import strategies

RATES = strategies.sampled_from([0.99, 1.0, 1.01])
INDEX = strategies.integers(0, 50)
EDGE_S = 0.001
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

    @stateful.initialize(rates=strategies.tuples(RATES, RATES, RATES))
    def start_region(self, rates):
        for seat, rate in zip(ownership_world.SEATS, rates, strict=True):
            self.world.start(seat, rate)
        self.world.publish_list()
        self.world.run(5)

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.1, 0.5, 1, 2]))
    def pass_time(self, seconds):
        self.world.advance(seconds)

    @stateful.rule(index=INDEX)
    def pass_time_to_edge(self, index):
        """Stop just after an entry's wait has ended."""
        node = self.node(index)
        lease, book = node.own.lease, node.own.book
        stagger_s = node.own.rank() * self.times.stagger_s
        waits = [
            stagger_s - lease.unchanged_for(),
            lease.sent_at + self.times.lease_s - node.clock.now,
            book.given_until - node.clock.now,
        ]
        waits = [wait for wait in waits if 0 <= wait < 5]
        if waits:
            self.world.advance(min(waits) / node.clock.rate + EDGE_S)

    @stateful.rule(seconds=strategies.sampled_from([0.25, 1, 3, 6]))
    def run_under_present_faults(self, seconds):
        self.world.run(seconds)

    @stateful.rule(index=INDEX)
    def tick(self, index):
        self.world.tick(self.node(index))

    @stateful.rule(index=INDEX)
    def read(self, index):
        self.world.read(self.node(index))

    @stateful.rule(index=INDEX)
    def send_write(self, index):
        self.world.send_write(self.node(index))

    @stateful.rule(index=INDEX)
    def land_write(self, index):
        self.world.land_write(self.node(index))

    @stateful.rule(index=INDEX, lost=strategies.booleans())
    def answer_write(self, index, lost):
        self.world.answer_write(self.node(index), lost)

    @stateful.rule(index=INDEX)
    def fetch_list(self, index):
        self.world.fetch_list(self.node(index))

    @stateful.rule(index=INDEX)
    def ask(self, index):
        self.world.ask(self.node(index))

    @stateful.precondition(lambda self: self.world.wishes)
    @stateful.rule(index=INDEX)
    def deliver_wish(self, index):
        self.world.deliver_wish(index % len(self.world.wishes))

    @stateful.precondition(lambda self: self.world.answers)
    @stateful.rule(index=INDEX)
    def deliver_promise(self, index):
        self.world.deliver_answer(index % len(self.world.answers))

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

    @stateful.rule(index=INDEX)
    def leave(self, index):
        write = self.node(index).own.release()
        if write is not None and self.world.table.up:
            self.world.table.apply(write)

    @stateful.invariant()
    def one_owner_at_most(self):
        self.world.check()

    def teardown(self):
        world = self.world
        if not world.nodes:
            return
        for node in tuple(world.nodes):
            if node.own.stopped:
                world.kill(node)
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


class CountsLeaseFromAnswer(leases.PoolLease):
    """Broken: the answer may come long after the write took effect."""

    def _confirm(self):
        self.sent_at = self.clock.monotonic()
        super()._confirm()


class PromisesWhileHolding(ownership.PoolOwnership):
    """Broken: the holder of the lease promises the pool to another."""

    def _may_promise(self, wish):
        return self.book.is_free_for(wish.candidate)

    def may_grant(self):
        eligible = not self.stopped and self.members.is_settled()
        return eligible and (self.lease.is_held() or self._is_promised())


class CountsPromiseFromArrival(promises.PromiseBook):
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
        own.book,
    )


def build_counting_promise_from_arrival(members, incarnation):
    own = ownership_world.build_sound(members, incarnation)
    own.book = CountsPromiseFromArrival(own.clock, members.times)
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
        SETTINGS, max_examples=2000, phases=[hypothesis.Phase.generate]
    )
    with pytest.raises(AssertionError, match='two owners'):
        stateful.run_state_machine_as_test(machine, settings=settings)
