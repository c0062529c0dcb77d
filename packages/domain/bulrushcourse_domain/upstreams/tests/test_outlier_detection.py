"""Failing upstreams are ejected and probed again."""

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.upstreams import outlier_detection

Outcome = outlier_detection.Outcome


def test_unreachable_upstream_is_ejected_for_increasing_times():
    detector = outlier_detection.OutlierDetector(clocks.ManualClock())
    assert detector.record_outcome('u', Outcome.UNREACHABLE)
    assert detector.is_ejected('u')
    detector.clock.advance(outlier_detection.INITIAL_EJECTION_S)
    assert not detector.is_ejected('u')
    detector.record_outcome('u', Outcome.UNREACHABLE)
    detector.clock.advance(outlier_detection.INITIAL_EJECTION_S)
    assert detector.is_ejected('u')


def test_upstream_is_not_ejected_after_one_lost_response():
    detector = outlier_detection.OutlierDetector(clocks.ManualClock())
    assert not detector.record_outcome('u', Outcome.LOST)
    assert not detector.is_ejected('u')


def test_one_probe_at_a_time_until_it_gets_a_response():
    # Guards against many requests to an upstream that is still down.
    detector = outlier_detection.OutlierDetector(clocks.ManualClock())
    detector.record_outcome('u', Outcome.UNREACHABLE)
    detector.record_outcome('u', Outcome.UNREACHABLE)
    detector.clock.advance(outlier_detection.MAX_EJECTION_S)
    detector.begin_request('u')
    assert detector.is_ejected('u')
    detector.record_outcome('u', Outcome.GOOD)
    assert not detector.is_ejected('u')


def test_failure_share_decays():
    detector = outlier_detection.OutlierDetector(clocks.ManualClock())
    for _ in range(10):
        detector.record_outcome('u', Outcome.ERROR)
    assert detector.failure_share('u') > 0.8
    detector.clock.advance(5 * outlier_detection.FAILURE_HALF_LIFE_S)
    assert detector.failure_share('u') < 0.05
