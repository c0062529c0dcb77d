"""Guards against regions that every request tries, or none ever again."""

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.routing import region_failures
from bulrushcourse_domain.slots import requests

OUTCOMES = requests.ReleaseOutcome


def test_probes_are_spaced_until_one_is_answered():
    clock = clocks.ManualClock()
    region = region_failures.RegionFailures(clock)
    for _ in range(region_failures.CONSECUTIVE_FAILURE_THRESHOLD - 1):
        region.record_outcome(OUTCOMES.UNREACHABLE)
        assert region.admits()
    region.record_outcome(OUTCOMES.LOST)
    assert not region.admits()
    clock.advance(region_failures.PROBE_INTERVAL_S)
    assert [region.admits() for _ in range(3)] == [True, False, False]
    region.record_outcome(OUTCOMES.DONE)
    assert all(region.admits() for _ in range(3))


def test_cancelled_and_shed_requests_do_not_count():
    region = region_failures.RegionFailures(clocks.ManualClock())
    for _ in range(20):
        region.record_outcome(OUTCOMES.CANCELLED)
        region.record_outcome(OUTCOMES.SHED)
    assert region.admits()
