"""Guards against health rules that restrict too many or too few instances."""

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


def run_request(clock, health, name, outcome=OUTCOMES.DONE, **more):
    seconds = more.get('seconds', 0.02)
    grant = requests.Grant('r', more.get('holder', 'e1'), name, 'short')
    active = requests.ActiveGrant(grant, clock.now, health.typical_s('short'))
    health.record_start(name, active.typical_s)
    clock.advance(seconds)
    health.record_end(active, requests.ReleaseResult(outcome, seconds))


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    observations=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(NAMES),
            strategies.sampled_from(['leave', *OUTCOMES]),
            strategies.sampled_from(['e1', 'e2', 'e3']),
        ),
        max_size=40,
    )
)
def test_at_most_half_of_a_pool_is_restricted(observations):
    clock, health = make_health()
    for name, observation, holder in observations:
        if observation == 'leave':
            health.set_leaving(name)
        else:
            run_request(clock, health, name, observation, holder=holder)
        health.refresh()
        leaving = {n for n in NAMES if health.records[n].leaving}
        restricted = {n for n in NAMES if health.open_slots(n) < 5}
        assert all(health.open_slots(n) == 0 for n in leaving)
        assert len(restricted) <= max(len(leaving), len(NAMES) // 2)


def test_ejected_instance_is_probed_with_one_slot_then_ramped():
    clock, health = make_health()
    for _ in range(instance_record.FAILURES_TO_EJECT):
        run_request(clock, health, 'a', OUTCOMES.LOST)
    assert health.open_slots('a') == 0
    clock.advance(instance_record.INITIAL_EJECTION_S)
    health.refresh()
    assert health.open_slots('a') == 1
    opened = []
    for _ in range(20):
        run_request(clock, health, 'a')
        health.refresh()
        opened.append(health.open_slots('a'))
    assert opened == sorted(opened)
    assert opened[0] == 1
    assert opened[-1] == 5


def test_failed_probe_doubles_the_ejection():
    clock, health = make_health()
    for _ in range(instance_record.FAILURES_TO_EJECT):
        run_request(clock, health, 'a', OUTCOMES.UNREACHABLE)
    clock.advance(instance_record.INITIAL_EJECTION_S)
    run_request(clock, health, 'a', OUTCOMES.UNREACHABLE)
    clock.advance(1.5 * instance_record.INITIAL_EJECTION_S)
    health.refresh()
    assert health.open_slots('a') == 0


def test_entry_that_fails_everywhere_ejects_no_instance():
    clock, health = make_health()
    for name in NAMES[:5]:
        for _ in range(2):
            run_request(clock, health, name, OUTCOMES.UNREACHABLE, holder='e9')
    health.refresh()
    assert [health.open_slots(name) for name in NAMES] == [5] * 6


def test_cold_instance_opens_slots_only_while_it_is_not_slow():
    clock, health = make_health()
    for name in NAMES * 10:
        run_request(clock, health, name)
    health.set_instances(dict.fromkeys((*NAMES, 'new'), 5))
    for _ in range(20):
        run_request(clock, health, 'new', seconds=0.2)
    health.refresh()
    assert health.open_slots('new') == 1
    clock.advance(3.0)
    for _ in range(20):
        run_request(clock, health, 'new')
    health.refresh()
    assert health.open_slots('new') == 5


def test_shed_requests_do_not_make_an_instance_look_fast():
    clock, health = make_health()
    for name in NAMES * 10:
        run_request(clock, health, name)
    for _ in range(4):
        run_request(clock, health, 'a', OUTCOMES.SHED, seconds=0.001)
    assert health.slowness('a') > 2


def test_slow_pool_makes_no_instance_slow():
    clock, health = make_health()
    for name in NAMES * 10:
        run_request(clock, health, name)
    for name in NAMES * 10:
        run_request(clock, health, name, seconds=0.12)
    health.refresh()
    assert max(health.slowness(name) for name in NAMES) < 2
