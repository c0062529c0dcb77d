"""Guards against ramps that go on in trouble and plans that fail silently."""

import datetime

from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.routing import shift_plan

GOOD = shift_plan.Evidence(service_time_ratio=1.0)
SLOW = shift_plan.Evidence(service_time_ratio=2.0)
HALF_SLOW = shift_plan.Evidence(service_time_ratio=1.3)
SECOND = datetime.timedelta(seconds=1)


def open_plan(kind=objects.PlanKind.SHIFT, share=0.5):
    times = ('2026-12-04T10:00:00Z', '2026-12-04T10:10:00Z')
    return shift_plan.ShiftPlan(
        objects.Plan('p', kind, 'dakar', *times, share=share)
    )


def run(plan, *evidence, at=None):
    now = at or plan.start
    for shown in evidence:
        plan.step(now, shown)
        now += SECOND
    return plan


def test_nothing_moves_before_the_start():
    plan = open_plan()
    run(plan, GOOD, at=plan.start - SECOND)
    assert (plan.state, plan.moved_share) == (shift_plan.State.WAITING, 0.0)


def test_good_service_times_lead_to_the_end():
    plan = run(open_plan(), *[GOOD] * 12)
    assert plan.state is shift_plan.State.FINISHED
    assert plan.moved_share == 0.5


def test_slow_receiving_side_holds_and_reduces_the_ramp():
    plan = run(open_plan(), *[GOOD] * 4)
    part = plan.moved_share
    run(plan, SLOW)
    assert plan.state is shift_plan.State.HOLDING
    assert plan.moved_share < part
    run(plan, HALF_SLOW)
    assert plan.state is shift_plan.State.HOLDING
    run(plan, GOOD)
    assert plan.state is shift_plan.State.RAMPING


def test_missing_service_times_do_not_count_as_good():
    plan = run(open_plan(), GOOD, *[shift_plan.Evidence()] * 20)
    assert plan.state is shift_plan.State.HOLDING
    assert plan.moved_share == shift_plan.FIRST_PART


def test_drain_of_an_idle_source_finishes():
    idle = shift_plan.Evidence(offered=0)
    plan = run(open_plan(objects.PlanKind.DRAIN, 1.0), *[idle] * 30)
    assert plan.state is shift_plan.State.FINISHED


def test_cap_reached_adds_no_traffic():
    capped = shift_plan.Evidence(service_time_ratio=1.0, cap_reached=True)
    plan = run(open_plan(), GOOD, *[capped] * 20)
    assert plan.moved_share == shift_plan.FIRST_PART


def test_drain_waits_for_work_at_the_source():
    busy = shift_plan.Evidence(service_time_ratio=1.0, source_in_flight=1)
    plan = run(open_plan(objects.PlanKind.DRAIN, 1.0), *[busy] * 30)
    assert plan.state is shift_plan.State.RAMPING
    run(plan, GOOD)
    assert plan.state is shift_plan.State.FINISHED


def test_plan_past_its_time_says_why():
    plan = run(open_plan(), *[GOOD] * 4, SLOW)
    run(plan, SLOW, at=plan.finish_by)
    assert plan.state is shift_plan.State.FAILED
    assert 'receiving side is slow' in plan.report
    run(plan, GOOD)
    assert plan.state is shift_plan.State.FAILED


def test_drain_with_work_left_fails_and_says_so():
    busy = shift_plan.Evidence(service_time_ratio=1.0, source_in_flight=2)
    plan = run(open_plan(objects.PlanKind.DRAIN, 1.0), *[busy] * 30)
    run(plan, busy, at=plan.finish_by)
    assert plan.state is shift_plan.State.FAILED
    assert 'in flight' in plan.report
