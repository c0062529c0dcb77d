"""Failing upstreams are set aside and tried again."""

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.upstreams import trouble

Outcome = trouble.Outcome


def test_unreachable_upstream_is_set_aside_for_growing_pauses():
    log = trouble.TroubleLog(clocks.ManualClock())
    assert log.note('u', Outcome.UNREACHABLE)
    assert log.is_paused('u')
    log.clock.advance(trouble.FIRST_PAUSE_S)
    assert not log.is_paused('u')
    log.note('u', Outcome.UNREACHABLE)
    log.clock.advance(trouble.FIRST_PAUSE_S)
    assert log.is_paused('u')


def test_one_lost_answer_is_no_reason_to_set_aside():
    log = trouble.TroubleLog(clocks.ManualClock())
    assert not log.note('u', Outcome.LOST)
    assert not log.is_paused('u')


def test_one_trial_at_a_time_until_it_answers():
    # Guards against a crowd that is sent to an upstream that is still down.
    log = trouble.TroubleLog(clocks.ManualClock())
    log.note('u', Outcome.UNREACHABLE)
    log.note('u', Outcome.UNREACHABLE)
    log.clock.advance(trouble.LONGEST_PAUSE_S)
    log.begin('u')
    assert log.is_paused('u')
    log.note('u', Outcome.GOOD)
    assert not log.is_paused('u')


def test_share_of_failures_fades():
    log = trouble.TroubleLog(clocks.ManualClock())
    for _ in range(10):
        log.note('u', Outcome.ERROR)
    assert log.failure_share('u') > 0.8
    log.clock.advance(5 * trouble.FAILURE_HALF_LIFE_S)
    assert log.failure_share('u') < 0.05
