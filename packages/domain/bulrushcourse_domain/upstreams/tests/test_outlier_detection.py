"""Failing upstreams are set aside and tried again."""

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.upstreams import outlier_detection

Outcome = outlier_detection.Outcome


def test_unreachable_upstream_is_set_aside_for_growing_pauses():
    log = outlier_detection.OutlierDetector(clocks.ManualClock())
    assert log.record_outcome('u', Outcome.UNREACHABLE)
    assert log.is_ejected('u')
    log.clock.advance(outlier_detection.FIRST_PAUSE_S)
    assert not log.is_ejected('u')
    log.record_outcome('u', Outcome.UNREACHABLE)
    log.clock.advance(outlier_detection.FIRST_PAUSE_S)
    assert log.is_ejected('u')


def test_one_lost_answer_is_no_reason_to_set_aside():
    log = outlier_detection.OutlierDetector(clocks.ManualClock())
    assert not log.record_outcome('u', Outcome.LOST)
    assert not log.is_ejected('u')


def test_one_trial_at_a_time_until_it_answers():
    # Guards against a crowd that is sent to an upstream that is still down.
    log = outlier_detection.OutlierDetector(clocks.ManualClock())
    log.record_outcome('u', Outcome.UNREACHABLE)
    log.record_outcome('u', Outcome.UNREACHABLE)
    log.clock.advance(outlier_detection.LONGEST_PAUSE_S)
    log.begin_request('u')
    assert log.is_ejected('u')
    log.record_outcome('u', Outcome.GOOD)
    assert not log.is_ejected('u')


def test_share_of_failures_fades():
    log = outlier_detection.OutlierDetector(clocks.ManualClock())
    for _ in range(10):
        log.record_outcome('u', Outcome.ERROR)
    assert log.failure_share('u') > 0.8
    log.clock.advance(5 * outlier_detection.FAILURE_HALF_LIFE_S)
    assert log.failure_share('u') < 0.05
