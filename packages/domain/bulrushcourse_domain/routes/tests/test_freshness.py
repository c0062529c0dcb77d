"""What a VM may decide by the configuration that it has."""

import pytest

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.routes import freshness as freshnesses

TERMS = freshnesses.Terms(contact_s=3.0, apply_s=2.0)
STORE, PEERS = freshnesses.Source.STORE, freshnesses.Source.PEERS


def make_confirmed():
    clock = clocks.ManualClock(100.0)
    freshness = freshnesses.start(clock)
    freshness.confirm(100.0, STORE)
    return clock, freshness


def pause(clock, freshness, seconds):
    clock.advance(seconds)
    return freshness.observe(TERMS)


def decisions(freshness, version=7):
    return (
        freshness.may_send_home_bound(TERMS),
        freshness.may_deny(version, TERMS),
    )


def test_process_that_has_started_decides_nothing_final():
    # Guards against 404 by a configuration that another VM sent at the start.
    freshness = freshnesses.start(clocks.ManualClock(100.0))
    freshness.record_report(7, 7)
    assert decisions(freshness) == (False, False)


@pytest.mark.parametrize('source', [STORE, PEERS])
def test_answer_since_the_start_confirms(source):
    # Guards against a VM that waits although it knows the newest version.
    clock = clocks.ManualClock(100.0)
    freshness = freshnesses.start(clock)
    clock.advance(0.2)
    freshness.confirm(100.0, source)
    assert decisions(freshness) == (True, True)
    assert freshness.source is source


def test_answer_to_a_question_before_the_pause_confirms_nothing():
    # Guards against an answer that waited in a socket during a pause.
    clock, freshness = make_confirmed()
    clock.advance(0.5)
    assert not freshness.observe(TERMS)
    asked = clock.monotonic()
    assert pause(clock, freshness, 5.0)
    freshness.confirm(asked, STORE)
    assert decisions(freshness) == (False, False)
    freshness.confirm(clock.monotonic(), STORE)
    assert decisions(freshness) == (True, True)


def test_reports_after_a_pause_confirm_nothing():
    # Guards against reports that waited in the sockets of a paused VM.
    clock, freshness = make_confirmed()
    pause(clock, freshness, 5.0)
    freshness.record_report(7, 7)
    assert decisions(freshness) == (False, False)


def test_short_delays_are_no_pauses():
    # Guards against reads of the store whenever tasks run a bit late.
    clock, freshness = make_confirmed()
    assert not any(pause(clock, freshness, 0.9) for _ in range(3))
    assert decisions(freshness) == (True, True)


def test_short_pause_without_contact_before_it_refuses_nothing():
    # Guards against requests with homes that are refused for a while after
    # each stall in a long outage of the store, though they were served by the
    # same configuration just before.
    clock, freshness = make_confirmed()
    for _ in range(20):
        assert not pause(clock, freshness, 0.5)
    assert not pause(clock, freshness, TERMS.apply_s * 0.6)
    assert freshness.may_send_home_bound(TERMS)
    assert pause(clock, freshness, TERMS.contact_s)
    assert not freshness.may_send_home_bound(TERMS)


def test_configuration_is_used_when_nobody_answers_in_time():
    # Guards against an outage of the store that stops a VM for good; it still
    # denies nothing without contact.
    clock, freshness = make_confirmed()
    pause(clock, freshness, 5.0)
    clock.advance(2.9)
    assert decisions(freshness) == (False, False)
    clock.advance(0.1)
    assert decisions(freshness) == (True, False)
    freshness.record_report(7, 7)
    assert decisions(freshness) == (True, True)


def test_denials_end_with_the_contact():
    # Guards against 404 by a VM that is cut off; it goes on to serve.
    clock, freshness = make_confirmed()
    clock.advance(3.0)
    assert decisions(freshness) == (True, True)
    clock.advance(0.1)
    assert decisions(freshness) == (True, False)


def test_reports_of_a_vm_that_is_behind_are_no_contact():
    # Guards against 404 because of a VM that is cut off as well.
    clock, freshness = make_confirmed()
    clock.advance(4.0)
    freshness.record_report(6, 7)
    assert decisions(freshness) == (True, False)


def test_newer_version_at_another_vm_ends_denials_until_it_is_active():
    # Guards against 404 for a route that another VM already serves, and
    # against a version that is invalid here.
    clock, freshness = make_confirmed()
    freshness.record_report(8, 7)
    assert decisions(freshness, 7) == (True, False)
    assert decisions(freshness, 8) == (True, True)
    clock.advance(2.0)
    freshness.record_report(8, 7)
    assert freshness.is_behind(7, TERMS)
    clock.advance(1.0)
    assert decisions(freshness, 7) == (True, True)
