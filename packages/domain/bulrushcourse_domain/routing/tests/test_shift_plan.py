"""Guards against ramps that ignore problems and plans that fail silently."""

import datetime

from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.routing import shift_plan

NORMAL = shift_plan.RampMeasurements(service_time_ratio=1.0)
SLOW = shift_plan.RampMeasurements(service_time_ratio=2.0)
HALF_SLOW = shift_plan.RampMeasurements(service_time_ratio=1.3)
SECOND = datetime.timedelta(seconds=1)


def open_plan(kind=objects.PlanKind.SHIFT, share=0.5):
    times = ('2026-12-04T10:00:00Z', '2026-12-04T10:10:00Z')
    return shift_plan.ShiftPlan(
        objects.Plan('p', kind, 'dakar', *times, share=share)
    )


def run(plan, *measurements, at=None):
    now = at or plan.start
    for measurement in measurements:
        plan.step(now, measurement)
        now += SECOND
    return plan


def test_nothing_moves_before_the_start():
    plan = open_plan()
    run(plan, NORMAL, at=plan.start - SECOND)
    assert (plan.state, plan.moved_share) == (shift_plan.State.WAITING, 0.0)


def test_normal_service_times_finish_the_plan():
    plan = run(open_plan(), *[NORMAL] * 12)
    assert plan.state is shift_plan.State.FINISHED
    assert plan.moved_share == 0.5


def test_slow_receiving_side_holds_and_reduces_the_ramp():
    plan = run(open_plan(), *[NORMAL] * 4)
    share_before = plan.moved_share
    run(plan, SLOW)
    assert plan.state is shift_plan.State.HOLDING
    assert plan.moved_share < share_before
    run(plan, HALF_SLOW)
    assert plan.state is shift_plan.State.HOLDING
    run(plan, NORMAL)
    assert plan.state is shift_plan.State.RAMPING


def test_missing_service_times_do_not_count_as_normal():
    plan = run(open_plan(), NORMAL, *[shift_plan.RampMeasurements()] * 20)
    assert plan.state is shift_plan.State.HOLDING
    assert plan.moved_share == shift_plan.INITIAL_SHARE


def test_drain_of_an_idle_source_finishes():
    idle = shift_plan.RampMeasurements(request_count=0)
    plan = run(open_plan(objects.PlanKind.DRAIN, 1.0), *[idle] * 30)
    assert plan.state is shift_plan.State.FINISHED


def test_reached_limit_adds_no_traffic():
    limited = shift_plan.RampMeasurements(
        service_time_ratio=1.0, limit_reached=True
    )
    plan = run(open_plan(), NORMAL, *[limited] * 20)
    assert plan.moved_share == shift_plan.INITIAL_SHARE


def test_drain_waits_for_requests_at_the_source():
    busy = shift_plan.RampMeasurements(
        service_time_ratio=1.0, source_in_flight=1
    )
    plan = run(open_plan(objects.PlanKind.DRAIN, 1.0), *[busy] * 30)
    assert plan.state is shift_plan.State.RAMPING
    run(plan, NORMAL)
    assert plan.state is shift_plan.State.FINISHED


def test_plan_past_its_deadline_reports_why():
    plan = run(open_plan(), *[NORMAL] * 4, SLOW)
    run(plan, SLOW, at=plan.finish_by)
    assert plan.state is shift_plan.State.FAILED
    assert 'receiving side is slow' in plan.report
    run(plan, NORMAL)
    assert plan.state is shift_plan.State.FAILED


def test_drain_with_requests_left_fails_and_reports_it():
    busy = shift_plan.RampMeasurements(
        service_time_ratio=1.0, source_in_flight=2
    )
    plan = run(open_plan(objects.PlanKind.DRAIN, 1.0), *[busy] * 30)
    run(plan, busy, at=plan.finish_by)
    assert plan.state is shift_plan.State.FAILED
    assert 'in flight' in plan.report
