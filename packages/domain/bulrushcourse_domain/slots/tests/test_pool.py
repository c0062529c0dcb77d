"""Guards against grants beyond slots, starved and lost requests."""

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
REPEATABLE = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60
)
DONE = requests.ReleaseOutcome.DONE


def make_pool(slots):
    clock = clocks.ManualClock(100.0)
    pool = pools.SlotPool(clock, CLASSES)
    pool.set_instances(slots)
    return clock, pool


def wish(request_id, request_class='short', within=5.0, **more):
    return requests.SlotRequest(
        request_id, 'e1', request_class, 100.0 + within, **more
    )


def reasons(decisions):
    return {d.request_id: getattr(d, 'reason', None) for d in decisions}


class PoolMachine(stateful.RuleBasedStateMachine):
    """Compares the pool with a plain count of slots and decisions."""

    def __init__(self):
        super().__init__()
        self.slots = {'a': 2, 'b': 3, 'c': 1}
        self.clock, self.pool = make_pool(self.slots)
        self.asked, self.cancelled = set(), set()
        self.decisions = {}
        self.held = {}
        self.unreported = {}

    @stateful.initialize(
        phantoms=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(['a', 'b']),
                strategies.sampled_from(['short', 'long']),
                strategies.floats(0.0, 1.0),
            ),
            max_size=3,
        )
    )
    def take_over(self, phantoms):
        """Take over a pool whose former owner granted slots to entry e2."""
        used = collections.Counter()
        for number, (instance, name, part) in enumerate(phantoms):
            limit = recoveries.instance_limit(CLASSES[name], 2)
            used[instance] += 1
            used[instance, name] += 1
            if used[instance] <= 2 and used[instance, name] <= limit:
                end = self.clock.now + part * recoveries.limit_s(CLASSES[name])
                self.unreported[f'p{number}'] = requests.Grant(
                    f'p{number}', 'e2', instance, name, end
                )
        self.pool.take_over(['e2'])

    @stateful.rule()
    def report_held(self):
        self.expire()
        self.held |= self.unreported
        self.asked |= set(self.unreported)
        self.decisions |= self.unreported
        reported, self.unreported = self.unreported, {}
        self.take(self.pool.report_held('e2', reported.values()))

    def take(self, decisions):
        self.expire()
        for decision in decisions:
            key = decision.request_id
            assert key not in self.decisions, 'decided twice'
            assert key in self.asked - self.cancelled
            self.decisions[key] = decision
            if isinstance(decision, requests.Grant):
                self.check_grant(decision)

    def check_grant(self, grant):
        at_work = [*self.held.values(), *self.unreported.values()]
        used = collections.Counter(g.instance for g in at_work)
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
        key = f'r{len(self.asked)}'
        self.asked.add(key)
        asked = requests.SlotRequest(
            key, 'e1', name, self.clock.now + within, '', tuple(sorted(avoid))
        )
        self.take(self.pool.request(asked))
        if not isinstance(self.decisions.get(key), requests.Refusal):
            # A repeated message must not lead to a second decision.
            assert self.pool.request(asked) == ()

    @stateful.rule(
        data=strategies.data(),
        outcome=strategies.sampled_from(requests.ReleaseOutcome),
    )
    def release(self, data, outcome):
        if self.held:
            key = data.draw(strategies.sampled_from(sorted(self.held)))
            del self.held[key]
            self.take(self.pool.release(key, outcome))
            self.take(self.pool.release(key, outcome))

    @stateful.rule(data=strategies.data())
    def cancel(self, data):
        open_ones = sorted(self.asked - self.cancelled - set(self.decisions))
        if open_ones:
            key = data.draw(strategies.sampled_from(open_ones))
            self.cancelled.add(key)
            self.pool.cancel(key)

    @stateful.rule(seconds=strategies.floats(0.0, 6.0))
    def advance(self, seconds):
        self.clock.advance(seconds)
        self.take(self.pool.decide())

    @stateful.rule(
        slots=strategies.dictionaries(
            strategies.sampled_from(NAMES), strategies.integers(1, 3)
        )
    )
    def replace_instances(self, slots):
        self.slots = collections.Counter(slots)
        self.pool.set_instances(slots)
        self.take(self.pool.decide())

    @stateful.rule(
        name=strategies.sampled_from(NAMES), leaving=strategies.booleans()
    )
    def set_leaving(self, name, leaving):
        self.take(self.pool.set_leaving(name, leaving))

    def teardown(self):
        # A request without a decision by its deadline would hang its caller.
        for _ in range(100):
            self.clock.advance(1.0)
            self.take(self.pool.decide())
        assert self.asked == self.cancelled | set(self.decisions)
        assert not self.pool.granted


PoolMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
TestPoolMachine = PoolMachine.TestCase


@REPEATABLE
@hypothesis.given(
    slots=strategies.integers(1, 6), backlog=strategies.integers(1, 20)
)
def test_work_of_the_lowest_class_is_not_starved(slots, backlog):
    clock, pool = make_pool({'a': slots})
    number = 0
    held = collections.deque()

    def take(decisions):
        held.extend(d for d in decisions if isinstance(d, requests.Grant))

    def fill():
        nonlocal number
        while sum(k != 'low' for k in pool.waiting.names) < backlog:
            number += 1
            take(pool.request(wish(f'r{number}', 'rush', 50.0)))

    fill()
    take(pool.request(wish('low', 'long', 50.0)))
    clock.advance(pools.AGING_S)
    for _ in range(2 * pools.AGED_EVERY):
        fill()
        take(pool.release(held.popleft().request_id, DONE, 0.0))
        if 'low' in pool.granted:
            return
    raise AssertionError('the request of the lowest class was starved')


def test_rush_work_goes_before_earlier_short_work():
    _, pool = make_pool({'a': 1})
    pool.request(wish('first'))
    pool.request(wish('short', within=1.0))
    pool.request(wish('rush', 'rush', within=2.0))
    assert list(reasons(pool.release('first'))) == ['rush']


def test_long_work_leaves_the_last_slots_to_short_work():
    _, pool = make_pool({'a': 5, 'b': 5})
    for number in range(10):
        pool.request(wish(f'l{number}', 'long', 60.0))
    assert len(pool.granted) == 4
    assert isinstance(pool.request(wish('s'))[0], requests.Grant)


def test_request_that_cannot_meet_its_deadline_is_refused_at_once():
    clock, pool = make_pool({'a': 1})
    pool.request(wish('first'))
    clock.advance(1.0)
    pool.release('first', DONE, 1.0)
    pool.request(wish('second', within=5.0))
    late = pool.request(wish('third', within=2.5))
    assert reasons(late) == {'third': requests.RefusalReason.DEADLINE}
    assert pool.request(wish('fourth', within=4.0)) == ()


def test_long_service_times_do_not_refuse_work_while_slots_are_free():
    # Otherwise one slow spell could refuse all work for ever, because no new
    # measurement would replace the old one.
    clock, pool = make_pool({'a': 1})
    pool.request(wish('first'))
    clock.advance(4.0)
    pool.release('first', DONE, 4.0)
    assert isinstance(pool.request(wish('r', within=5.0))[0], requests.Grant)


def test_full_queue_sheds_the_lowest_class_first():
    _, pool = make_pool({'a': 1})
    pool.request(wish('first'))
    for number in range(pools.QUEUE_LIMIT):
        pool.request(wish(f'l{number}', 'long', 60.0))
    full = requests.RefusalReason.QUEUE_FULL
    shed = f'l{pools.QUEUE_LIMIT - 1}'
    assert reasons(pool.request(wish('s'))) == {shed: full}
    assert reasons(pool.request(wish('l', 'long', 60.0))) == {'l': full}


def test_no_instance_is_refused_when_all_are_avoided():
    _, pool = make_pool({'a': 1})
    decisions = pool.request(wish('r', avoid=('a',)))
    assert reasons(decisions) == {'r': requests.RefusalReason.NO_INSTANCE}


def test_instance_with_running_work_gone_slow_is_not_chosen():
    clock, pool = make_pool({'a': 5, 'b': 5, 'c': 5})
    for number in range(60):
        pool.request(wish(f'w{number}'))
        clock.advance(0.02)
        pool.release(f'w{number}', DONE, 0.02)
    grants = [pool.request(wish(f's{n}'))[0] for n in range(9)]
    clock.advance(0.02)
    slow = grants[0].instance
    for grant in grants:
        if grant.instance != slow:
            pool.release(grant.request_id, DONE, 0.02)
    clock.advance(0.08)
    chosen = {pool.request(wish(f'n{n}'))[0].instance for n in range(6)}
    assert slow not in chosen


def test_new_owner_waits_for_entries_that_did_not_report():
    clock, pool = make_pool({'a': 5, 'b': 5})
    pool.take_over(['e1', 'e2'])
    assert pool.request(wish('r', within=20.0)) == ()
    held = [requests.Grant(f'h{n}', 'e1', 'a', 'short', 105.0) for n in '1234']
    assert pool.report_held('e1', held) == ()
    assert [d.instance for d in pool.report_held('e2', [])] == ['b']
    assert len(pool.instances['a'].held) == 4


def test_silent_entry_blocks_only_the_share_of_long_work_after_short_limit():
    clock, pool = make_pool({'a': 5, 'b': 5})
    pool.take_over(['e1'])
    for number in range(10):
        pool.request(wish(f'r{number}', within=80.0))
    clock.advance(recoveries.limit_s(CLASSES['short']))
    assert len(pool.decide()) == 6
    clock.advance(recoveries.limit_s(CLASSES['long']))
    pool.decide()
    assert len(pool.granted) == 10


def test_region_limit_bounds_grants():
    _, pool = make_pool({'a': 5})
    pool.in_flight_limit = 2
    for number in range(4):
        pool.request(wish(f'r{number}'))
    assert len(pool.granted) == 2


def test_long_work_is_bounded_over_the_whole_pool():
    # One slot of each instance would be within the bound of the instance.
    _, pool = make_pool({'a': 2, 'b': 2, 'c': 2})
    for number in range(3):
        pool.request(wish(f'l{number}', 'long', 60.0))
    assert len(pool.granted) == 2


def test_request_that_was_sent_again_gets_no_second_slot():
    _, pool = make_pool({'a': 2})
    pool.request(wish('r'))
    assert pool.request(wish('r')) == ()
    assert len(pool.instances['a'].held) == 1
