"""Guards against grants beyond the slots, and starved or lost requests."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.slots import pool as pools
from bulrushcourse_domain.slots import recovery as recoveries
from bulrushcourse_domain.slots import requests

CLASSES = {
    'rush': objects.RequestClass('rush', 0, 2_000),
    'short': objects.RequestClass('short', 1, 5_000),
    'long': objects.RequestClass('long', 2, 60_000, slot_share=0.4),
}
NAMES = ('a', 'b', 'c', 'd')
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60
)
DONE = requests.ReleaseOutcome.DONE


def make_pool(slots):
    clock = clocks.ManualClock(100.0)
    pool = pools.SlotPool(clock, CLASSES)
    pool.set_instances(slots)
    return clock, pool


def make_request(request_id, request_class='short', within=5.0, **more):
    return requests.SlotRequest(
        request_id, 'e1', request_class, 100.0 + within, **more
    )


def refusal_reasons(decisions):
    return {d.request_id: getattr(d, 'reason', None) for d in decisions}


class PoolMachine(stateful.RuleBasedStateMachine):
    """Compares the pool with plain counts of slots and decisions."""

    def __init__(self):
        super().__init__()
        self.slots = {'a': 2, 'b': 3, 'c': 1}
        self.clock, self.pool = make_pool(self.slots)
        self.requested, self.cancelled = set(), set()
        self.decisions = {}
        self.held = {}
        self.unreported = {}

    @stateful.initialize(
        former_grants=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(['a', 'b']),
                strategies.sampled_from(['short', 'long']),
                strategies.floats(0.0, 1.0),
            ),
            max_size=3,
        )
    )
    def take_over(self, former_grants):
        """Take over a pool whose former owner granted slots to entry e2."""
        used = collections.Counter()
        for number, (instance, name, elapsed_share) in enumerate(
            former_grants
        ):
            limit = recoveries.max_instance_slots(CLASSES[name], 2)
            used[instance] += 1
            used[instance, name] += 1
            if used[instance] <= 2 and used[instance, name] <= limit:
                deadline = (
                    self.clock.now
                    + elapsed_share * recoveries.max_duration_s(CLASSES[name])
                )
                self.unreported[f'p{number}'] = requests.Grant(
                    f'p{number}', 'e2', instance, name, deadline
                )
        self.pool.start_recovery(['e2'])

    @stateful.rule()
    def report_held(self):
        self.expire()
        self.held |= self.unreported
        self.requested |= set(self.unreported)
        self.decisions |= self.unreported
        reported, self.unreported = self.unreported, {}
        self.record(self.pool.record_held_grants('e2', reported.values()))

    def record(self, decisions):
        self.expire()
        for decision in decisions:
            key = decision.request_id
            assert key not in self.decisions, 'decided twice'
            assert key in self.requested - self.cancelled
            self.decisions[key] = decision
            if isinstance(decision, requests.Grant):
                self.check_grant(decision)

    def check_grant(self, grant):
        active = [*self.held.values(), *self.unreported.values()]
        used = collections.Counter(g.instance for g in active)
        assert used[grant.instance] < self.slots[grant.instance]
        self.held[grant.request_id] = grant
        held = collections.Counter(g.request_class for g in self.held.values())
        total = sum(self.slots.values())
        assert held['long'] <= max(1, int(total * 0.4))

    def expire(self):
        for key, grant in list(self.held.items()):
            if grant.deadline + 1.0 <= self.clock.now:
                del self.held[key]
        for key, grant in list(self.unreported.items()):
            if grant.deadline <= self.clock.now:
                del self.unreported[key]

    @stateful.rule(
        name=strategies.sampled_from(sorted(CLASSES)),
        within=strategies.floats(-0.1, 8.0),
        avoid=strategies.sets(strategies.sampled_from(NAMES), max_size=3),
    )
    def request(self, name, within, avoid):
        key = f'r{len(self.requested)}'
        self.requested.add(key)
        request = requests.SlotRequest(
            key, 'e1', name, self.clock.now + within, '', tuple(sorted(avoid))
        )
        self.record(self.pool.request(request))
        if not isinstance(self.decisions.get(key), requests.Refusal):
            # A resent message must not lead to a second decision.
            assert self.pool.request(request) == ()

    @stateful.rule(
        data=strategies.data(),
        outcome=strategies.sampled_from(requests.ReleaseOutcome),
    )
    def release(self, data, outcome):
        if self.held:
            key = data.draw(strategies.sampled_from(sorted(self.held)))
            del self.held[key]
            self.record(self.pool.release(key, outcome))
            self.record(self.pool.release(key, outcome))

    @stateful.rule(data=strategies.data())
    def cancel(self, data):
        undecided = sorted(
            self.requested - self.cancelled - set(self.decisions)
        )
        if undecided:
            key = data.draw(strategies.sampled_from(undecided))
            self.cancelled.add(key)
            self.pool.cancel(key)

    @stateful.rule(seconds=strategies.floats(0.0, 6.0))
    def advance(self, seconds):
        self.clock.advance(seconds)
        self.record(self.pool.decide())

    @stateful.rule(
        slots=strategies.dictionaries(
            strategies.sampled_from(NAMES), strategies.integers(1, 3)
        )
    )
    def replace_instances(self, slots):
        self.slots = collections.Counter(slots)
        self.pool.set_instances(slots)
        self.record(self.pool.decide())

    @stateful.rule(
        name=strategies.sampled_from(NAMES), leaving=strategies.booleans()
    )
    def set_leaving(self, name, leaving):
        self.record(self.pool.set_leaving(name, leaving))

    def teardown(self):
        # A caller would hang if its request got no decision by the deadline.
        for _ in range(100):
            self.clock.advance(1.0)
            self.record(self.pool.decide())
        assert self.requested == self.cancelled | set(self.decisions)
        assert not self.pool.granted


PoolMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
TestPoolMachine = PoolMachine.TestCase


@SETTINGS
@hypothesis.given(
    slots=strategies.integers(1, 6), backlog=strategies.integers(1, 20)
)
def test_requests_of_the_lowest_class_are_not_starved(slots, backlog):
    clock, pool = make_pool({'a': slots})
    number = 0
    held = collections.deque()

    def record_grants(decisions):
        held.extend(d for d in decisions if isinstance(d, requests.Grant))

    def fill_queue():
        nonlocal number
        while sum(k != 'low' for k in pool.queue.class_keys) < backlog:
            number += 1
            record_grants(
                pool.request(make_request(f'r{number}', 'rush', 50.0))
            )

    fill_queue()
    record_grants(pool.request(make_request('low', 'long', 50.0)))
    clock.advance(pools.AGED_AFTER_S)
    for _ in range(2 * pools.GRANTS_PER_AGED_GRANT):
        fill_queue()
        record_grants(pool.release(held.popleft().request_id, DONE, 0.0))
        if 'low' in pool.granted:
            return
    raise AssertionError('the request of the lowest class was starved')


def test_rush_request_precedes_earlier_short_request():
    _, pool = make_pool({'a': 1})
    pool.request(make_request('first'))
    pool.request(make_request('short', within=1.0))
    pool.request(make_request('rush', 'rush', within=2.0))
    assert list(refusal_reasons(pool.release('first'))) == ['rush']


def test_long_requests_leave_slots_to_short_requests():
    _, pool = make_pool({'a': 5, 'b': 5})
    for number in range(10):
        pool.request(make_request(f'l{number}', 'long', 60.0))
    assert len(pool.granted) == 4
    assert isinstance(pool.request(make_request('s'))[0], requests.Grant)


def test_request_that_cannot_meet_its_deadline_is_refused_immediately():
    clock, pool = make_pool({'a': 1})
    pool.request(make_request('first'))
    clock.advance(1.0)
    pool.release('first', DONE, 1.0)
    pool.request(make_request('second', within=5.0))
    late = pool.request(make_request('third', within=2.5))
    assert refusal_reasons(late) == {'third': requests.RefusalReason.DEADLINE}
    assert pool.request(make_request('fourth', within=4.0)) == ()


def test_long_service_times_refuse_no_request_while_a_slot_is_free():
    # Otherwise one slow period could refuse all later requests, because no
    # new measurement would replace the old ones.
    clock, pool = make_pool({'a': 1})
    pool.request(make_request('first'))
    clock.advance(4.0)
    pool.release('first', DONE, 4.0)
    assert isinstance(
        pool.request(make_request('r', within=5.0))[0], requests.Grant
    )


def test_full_queue_sheds_the_lowest_class_first():
    _, pool = make_pool({'a': 1})
    pool.request(make_request('first'))
    for number in range(pools.MAX_QUEUED_REQUESTS):
        pool.request(make_request(f'l{number}', 'long', 60.0))
    full = requests.RefusalReason.QUEUE_FULL
    shed = f'l{pools.MAX_QUEUED_REQUESTS - 1}'
    assert refusal_reasons(pool.request(make_request('s'))) == {shed: full}
    assert refusal_reasons(pool.request(make_request('l', 'long', 60.0))) == {
        'l': full
    }


def test_request_that_avoids_all_instances_is_refused():
    _, pool = make_pool({'a': 1})
    decisions = pool.request(make_request('r', avoid=('a',)))
    assert refusal_reasons(decisions) == {
        'r': requests.RefusalReason.NO_INSTANCE
    }


def test_instance_whose_running_requests_are_slow_is_not_chosen():
    clock, pool = make_pool({'a': 5, 'b': 5, 'c': 5})
    for number in range(60):
        pool.request(make_request(f'w{number}'))
        clock.advance(0.02)
        pool.release(f'w{number}', DONE, 0.02)
    grants = [pool.request(make_request(f's{n}'))[0] for n in range(9)]
    clock.advance(0.02)
    slow = grants[0].instance
    for grant in grants:
        if grant.instance != slow:
            pool.release(grant.request_id, DONE, 0.02)
    clock.advance(0.08)
    chosen = {
        pool.request(make_request(f'n{n}'))[0].instance for n in range(6)
    }
    assert slow not in chosen


def test_new_owner_waits_for_unreported_entries():
    clock, pool = make_pool({'a': 5, 'b': 5})
    pool.start_recovery(['e1', 'e2'])
    assert pool.request(make_request('r', within=20.0)) == ()
    held = [requests.Grant(f'h{n}', 'e1', 'a', 'short', 105.0) for n in '1234']
    assert pool.record_held_grants('e1', held) == ()
    assert [d.instance for d in pool.record_held_grants('e2', [])] == ['b']
    assert len(pool.instances['a'].held) == 4


def test_after_the_short_limit_an_unreported_entry_reserves_the_long_share():
    clock, pool = make_pool({'a': 5, 'b': 5})
    pool.start_recovery(['e1'])
    for number in range(10):
        pool.request(make_request(f'r{number}', within=80.0))
    clock.advance(recoveries.max_duration_s(CLASSES['short']))
    assert len(pool.decide()) == 6
    clock.advance(recoveries.max_duration_s(CLASSES['long']))
    pool.decide()
    assert len(pool.granted) == 10


def test_region_limit_bounds_grants():
    _, pool = make_pool({'a': 5})
    pool.in_flight_limit = 2
    for number in range(4):
        pool.request(make_request(f'r{number}'))
    assert len(pool.granted) == 2


def test_long_requests_are_limited_over_the_whole_pool():
    # One slot of each instance would be within the limits of the instances.
    _, pool = make_pool({'a': 2, 'b': 2, 'c': 2})
    for number in range(3):
        pool.request(make_request(f'l{number}', 'long', 60.0))
    assert len(pool.granted) == 2


def test_resent_request_gets_no_second_slot():
    _, pool = make_pool({'a': 2})
    pool.request(make_request('r'))
    assert pool.request(make_request('r')) == ()
    assert len(pool.instances['a'].held) == 1
