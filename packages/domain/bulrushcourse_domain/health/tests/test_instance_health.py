"""Guards against health rules that set too much or too little aside."""

import hypothesis
from hypothesis import strategies

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.health import instance_health
from bulrushcourse_domain.health import instance_record
from bulrushcourse_domain.slots import requests

NAMES = ('a', 'b', 'c', 'd', 'e', 'f')
OUTCOMES = requests.ReleaseOutcome


def make_health(names=NAMES):
    clock = clocks.ManualClock()
    health = instance_health.InstanceHealth(clock)
    health.set_instances(dict.fromkeys(names, 5))
    return clock, health


def run_one(clock, health, name, outcome=OUTCOMES.DONE, **more):
    seconds = more.get('seconds', 0.02)
    grant = requests.Grant('r', more.get('holder', 'e1'), name, 'short')
    run = requests.ActiveGrant(grant, clock.now, health.typical_s('short'))
    health.start(name, run.typical_s)
    clock.advance(seconds)
    health.end(run, requests.ReleaseResult(outcome, seconds))


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    signs=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(NAMES),
            strategies.sampled_from(['leave', *OUTCOMES]),
            strategies.sampled_from(['e1', 'e2', 'e3']),
        ),
        max_size=40,
    )
)
def test_at_most_half_of_a_pool_is_ever_set_aside(signs):
    clock, health = make_health()
    for name, sign, holder in signs:
        if sign == 'leave':
            health.set_leaving(name)
        else:
            run_one(clock, health, name, sign, holder=holder)
        health.refresh()
        leaving = {n for n in NAMES if health.records[n].leaving}
        restricted = {n for n in NAMES if health.open_slots(n) < 5}
        assert all(health.open_slots(n) == 0 for n in leaving)
        assert len(restricted) <= max(len(leaving), len(NAMES) // 2)


def test_lost_instance_is_tried_again_with_one_slot_then_ramped():
    clock, health = make_health()
    for _ in range(instance_record.FAILURES_TO_LOST):
        run_one(clock, health, 'a', OUTCOMES.LOST)
    assert health.open_slots('a') == 0
    clock.advance(instance_record.FIRST_RETRY_S)
    health.refresh()
    assert health.open_slots('a') == 1
    opened = []
    for _ in range(20):
        run_one(clock, health, 'a')
        health.refresh()
        opened.append(health.open_slots('a'))
    assert opened == sorted(opened)
    assert opened[0] == 1
    assert opened[-1] == 5


def test_failed_trial_doubles_the_time_to_the_next():
    clock, health = make_health()
    for _ in range(instance_record.FAILURES_TO_LOST):
        run_one(clock, health, 'a', OUTCOMES.UNREACHABLE)
    clock.advance(instance_record.FIRST_RETRY_S)
    run_one(clock, health, 'a', OUTCOMES.UNREACHABLE)
    clock.advance(1.5 * instance_record.FIRST_RETRY_S)
    health.refresh()
    assert health.open_slots('a') == 0


def test_entry_that_fails_everywhere_does_not_condemn_instances():
    clock, health = make_health()
    for name in NAMES[:5]:
        for _ in range(2):
            run_one(clock, health, name, OUTCOMES.UNREACHABLE, holder='e9')
    health.refresh()
    assert [health.open_slots(name) for name in NAMES] == [5] * 6


def test_cold_instance_opens_slots_only_while_it_keeps_up():
    clock, health = make_health()
    for name in NAMES * 10:
        run_one(clock, health, name)
    health.set_instances(dict.fromkeys((*NAMES, 'new'), 5))
    for _ in range(20):
        run_one(clock, health, 'new', seconds=0.2)
    health.refresh()
    assert health.open_slots('new') == 1
    clock.advance(3.0)
    for _ in range(20):
        run_one(clock, health, 'new')
    health.refresh()
    assert health.open_slots('new') == 5


def test_shed_requests_do_not_make_an_instance_look_fast():
    clock, health = make_health()
    for name in NAMES * 10:
        run_one(clock, health, name)
    for _ in range(4):
        run_one(clock, health, 'a', OUTCOMES.SHED, seconds=0.001)
    assert health.slowness('a') > 2


def test_whole_pool_slowing_makes_no_instance_slow():
    clock, health = make_health()
    for name in NAMES * 10:
        run_one(clock, health, name)
    for name in NAMES * 10:
        run_one(clock, health, name, seconds=0.12)
    health.refresh()
    assert max(health.slowness(name) for name in NAMES) < 2
