"""Guards against regions that are tried by every request, or never again."""

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.routing import region_failures
from bulrushcourse_domain.slots import requests

OUTCOMES = requests.ReleaseOutcome


def test_trials_are_spaced_until_one_is_answered():
    clock = clocks.ManualClock()
    seen = region_failures.RegionFailures(clock)
    for _ in range(region_failures.FAILURES_IN_A_ROW - 1):
        seen.record_outcome(OUTCOMES.UNREACHABLE)
        assert seen.admits()
    seen.record_outcome(OUTCOMES.LOST)
    assert not seen.admits()
    clock.advance(region_failures.TRIAL_INTERVAL_S)
    assert [seen.admits() for _ in range(3)] == [True, False, False]
    seen.record_outcome(OUTCOMES.DONE)
    assert all(seen.admits() for _ in range(3))


def test_cancelled_and_shed_work_says_nothing():
    seen = region_failures.RegionFailures(clocks.ManualClock())
    for _ in range(20):
        seen.record_outcome(OUTCOMES.CANCELLED)
        seen.record_outcome(OUTCOMES.SHED)
    assert seen.admits()
