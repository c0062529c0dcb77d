"""Guards against two owners of a pool, and against pools without an owner."""

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
    """Injects faults in any order; at most one entry may grant at any time."""

    build = staticmethod(ownership_world.build_correct)
    durations = timing.OwnershipDurations()

    def __init__(self) -> None:
        super().__init__()
        self.world = ownership_world.World(self.build, self.durations)

    def node(self, index: int) -> ownership_world.Node:
        return self.world.nodes[index % len(self.world.nodes)]

    @stateful.initialize(
        rates=strategies.tuples(RATES, RATES, RATES),
        last=strategies.sampled_from(ownership_world.ENTRIES),
    )
    def start_region(self, rates, last):
        """Start a random entry last, so that any entry can be the owner."""
        entries = sorted(
            zip(ownership_world.ENTRIES, rates, strict=True),
            key=lambda pair: pair[0] == last,
        )
        for entry, rate in entries:
            self.world.start(entry, rate)
            self.world.publish_list()
            if len(self.world.nodes) != 1:
                self.world.run(5)

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.1, 0.5, 1, 2]))
    def pass_time(self, seconds):
        self.world.advance(seconds)

    @stateful.rule(seconds=strategies.sampled_from([0.25, 1, 3, 6]))
    def run_with_current_faults(self, seconds):
        self.world.run(seconds)

    @stateful.rule(
        stage=strategies.sampled_from(['write', 'promises']),
        delay=strategies.sampled_from([0, 1, 2.5]),
    )
    def pause_owner_past_lease(self, stage, delay):
        """Deliver the owner's responses late, then pause it past its lease.

        The other entries run in short steps, so that they act as early as
        they may.
        """
        world = self.world
        owners = [
            node for node in world.nodes if node.pool_ownership.may_grant()
        ]
        for owner in owners:
            world.read(owner)
            if stage == 'write':
                world.send_write(owner)
                world.apply_write(owner)
            else:
                world.request_promises(owner)
            owner.paused = True
            world.run(0.02, 0.02)
            world.run(delay, 0.1)
            world.finish_write(owner)
            owner.paused = False
            world.deliver_promises()
            owner.paused = True
            world.check()
            world.run(3.6, 0.02)
            owner.paused = False

    @stateful.rule(index=INDEX)
    def isolate(self, index):
        """Cut an entry off from table and peers; restore its peers first."""
        world, node = self.world, self.node(index)
        broken_links = set(world.broken_links)
        node.table_unreachable = True
        for entry in ownership_world.ENTRIES:
            world.broken_links.add(frozenset((node.vm.entry, entry)))
        world.run(3.5)
        world.broken_links = broken_links
        world.tick(node)
        world.run(3.5)
        node.table_unreachable = False

    @stateful.rule(index=INDEX)
    def tick(self, index):
        self.world.tick(self.node(index))

    @stateful.rule(index=INDEX, applied=strategies.booleans())
    def pause_during_write(self, index, applied):
        node = self.node(index)
        self.world.read(node)
        self.world.send_write(node)
        if applied:
            self.world.apply_write(node)
        node.paused = True

    @stateful.rule(index=INDEX)
    def pause_during_promise_request(self, index):
        node = self.node(index)
        self.world.request_promises(node)
        node.paused = True
        self.world.deliver_requests()

    @stateful.rule(index=INDEX)
    def resume(self, index):
        self.node(index).paused = False

    @stateful.rule(index=INDEX)
    def apply_write(self, index):
        self.world.apply_write(self.node(index))

    @stateful.rule(index=INDEX)
    def lose_write_response(self, index):
        self.world.finish_write(self.node(index), response_lost=True)

    @stateful.rule(index=INDEX)
    def fetch_list(self, index):
        self.world.fetch_list(self.node(index))

    @stateful.rule()
    def toggle_table(self):
        self.world.table.available = not self.world.table.available

    @stateful.rule(
        pair=strategies.sampled_from(['ab', 'ac', 'bc']),
    )
    def toggle_link(self, pair):
        self.world.broken_links ^= {frozenset(pair)}

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
        write = node.pool_ownership.resign()
        if write is not None and self.world.table.available:
            self.world.table.apply(write)
        for other in self.world.nodes:
            if other is not node and not other.paused:
                other.pool_ownership.record_resignation(
                    node.pool_ownership.incarnation
                )
        self.world.run(1)
        self.world.kill(node)
        self.world.start(node.vm.entry, rate)

    @stateful.invariant()
    def at_most_one_owner(self):
        self.world.check()

    def teardown(self):
        world = self.world
        if not world.nodes:
            return
        world.repair()
        world.run(20)
        assert len(world.owners()) == 1, (
            'no owner after all faults were repaired'
        )


SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=120,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
    database=None,
)


def test_at_most_one_owner_at_any_time():
    stateful.run_state_machine_as_test(OwnershipMachine, settings=SETTINGS)


@pytest.mark.parametrize('last', ownership_world.ENTRIES)
def test_owner_keeps_pool_in_table_outage_after_start(last):
    """Entries that had read a free lease gave the new owner no promise."""
    world = ownership_world.World(ownership_world.build_correct)
    entries = sorted(ownership_world.ENTRIES, key=lambda entry: entry == last)
    for entry in entries[:2]:
        world.start(entry, 1.0)
    world.publish_list()
    world.run(0.5)
    world.start(last, 1.0)
    world.publish_list()
    while world.table.available:
        world.advance(0.05)
        for node in world.nodes:
            if world.table.available:
                world.tick(node)
                world.table.available = not world.owners()
    owners = world.owners()
    for _ in range(60):
        world.run(0.25)
        assert world.owners() == owners


def test_replacement_in_table_outage_interrupts_ownership_briefly():
    """A new VM cannot give promises yet, so the owner lost the pool."""
    world = ownership_world.World(ownership_world.build_correct)
    for entry in ownership_world.ENTRIES:
        world.start(entry, 1.0)
    world.publish_list()
    world.run(6)
    (owner,) = world.owners()
    world.table.available = False
    world.run(6)
    replaced = next(n for n in world.nodes if n.vm.vm_id != owner)
    world.kill(replaced)
    world.start(replaced.vm.entry, 1.0)
    world.publish_list()
    steps_without_owner = 0
    for _ in range(100):
        world.run(0.1, 0.1)
        steps_without_owner += not world.owners()
    # VM lists, which show the replacement, are polled every 0.5 s.
    assert steps_without_owner <= 5


def test_planned_stop_in_table_outage_hands_pool_over():
    """The successor waited until its promise expired and its turn came."""
    world = ownership_world.World(ownership_world.build_correct)
    for entry in ownership_world.ENTRIES:
        world.start(entry, 1.0)
    world.publish_list()
    world.run(6)
    world.table.available = False
    world.run(6)
    (owner,) = (
        node for node in world.nodes if node.pool_ownership.may_grant()
    )
    owner.pool_ownership.resign()
    for node in world.nodes:
        node.pool_ownership.record_resignation(
            owner.pool_ownership.incarnation
        )
    world.run(1.5)
    assert len(world.owners()) == 1


class LeaseStartsAtResponse(leases.PoolLease):
    """Broken: the response may arrive long after the write committed."""

    def _confirm(self):
        self.sent_at = self.clock.monotonic()
        super()._confirm()


class PromisesWhileHolding(ownership.PoolOwnership):
    """Broken: the holder of the lease promises the pool to another entry."""

    def _may_promise_to(self, request):
        return self.pool_promises.may_promise_to(request.candidate)

    def may_grant(self):
        eligible = not self.resigned and self.members.is_settled()
        return eligible and (self.lease.is_held() or self._has_all_promises())


class PromiseStartsAtArrival(promises.PoolPromises):
    """Broken: a delayed promise has already expired at its giver."""

    def record_promise(self, entry, number):
        self.received_until[entry] = (
            self.clock.monotonic() + self.durations.promise_s
        )


def build_with_lease_from_response(members, incarnation):
    pool_ownership = ownership_world.build_correct(members, incarnation)
    pool_ownership.lease = LeaseStartsAtResponse(
        pool_ownership.clock,
        pool_ownership.entry,
        incarnation,
        members.durations,
    )
    return pool_ownership


def build_promising_while_holding(members, incarnation):
    pool_ownership = ownership_world.build_correct(members, incarnation)
    return PromisesWhileHolding(
        pool_ownership.clock,
        pool_ownership.pool,
        incarnation,
        members,
        pool_ownership.rng,
        pool_ownership.lease,
        pool_ownership.pool_promises,
    )


def build_with_promise_from_arrival(members, incarnation):
    pool_ownership = ownership_world.build_correct(members, incarnation)
    pool_ownership.pool_promises = PromiseStartsAtArrival(
        pool_ownership.clock, members.durations
    )
    return pool_ownership


@pytest.mark.parametrize(
    ('build', 'max_drift'),
    [
        (ownership_world.build_correct, 0.0),
        (build_with_lease_from_response, 0.01),
        (build_promising_while_holding, 0.01),
        (build_with_promise_from_arrival, 0.01),
    ],
    ids=[
        'no-drift-margin',
        'lease-from-response',
        'promise-while-holding',
        'promise-from-arrival',
    ],
)
def test_machine_finds_broken_variant(build, max_drift):
    """Guards against a state machine that misses a broken rule."""
    machine = type(
        'BrokenMachine',
        (OwnershipMachine,),
        {
            'build': staticmethod(build),
            'durations': attrs.evolve(
                timing.OwnershipDurations(), max_drift=max_drift
            ),
        },
    )
    settings = hypothesis.settings(
        SETTINGS, max_examples=300, phases=[hypothesis.Phase.generate]
    )
    with pytest.raises(AssertionError, match='two owners'):
        stateful.run_state_machine_as_test(machine, settings=settings)
