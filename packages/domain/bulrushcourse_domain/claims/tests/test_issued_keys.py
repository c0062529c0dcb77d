"""Tests of the keys issued by one incarnation."""

import pytest

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.claims import claim as claims
from bulrushcourse_domain.claims import issued_keys
from bulrushcourse_domain.claims import outcomes

CHECK = issued_keys.KeyCheck


def make_keys(incarnation='i1', **options):
    return issued_keys.IssuedKeys(
        'e1', incarnation, b'secret', clocks.ManualClock(), **options
    )


def done_reply(size=1):
    answer = outcomes.Answer(200, (), b'x' * size)
    return outcomes.Reply(outcomes.Outcome.DONE, answer=answer)


def test_key_starts_one_run():
    """Guards against a second run when a request is sent again."""
    keys = make_keys()
    (key,) = keys.issue('orders', 1)
    assert keys.check_request(key, 'orders', 'd') is CHECK.FIRST
    assert keys.check_request(key, 'orders', 'd') is CHECK.RUNNING
    keys.finish(key, done_reply())
    assert keys.check_request(key, 'orders', 'd') is CHECK.FINAL
    assert keys.check_request(key, 'orders', 'other') is CHECK.OTHER_REQUEST
    assert keys.check_request(key, 'catalog', 'd') is CHECK.OTHER_SERVICE


def test_expired_key_is_unknown():
    """Guards against ``not-run`` for an expired key that may have run."""
    keys = make_keys()
    unused, used = keys.issue('orders', 2)
    keys.check_request(used, 'orders', 'd')
    keys.finish(used, done_reply())
    keys.clock.advance(issued_keys.KEY_LIFETIME_S + claims.RETENTION_S + 1)
    for key in (unused, used):
        assert keys.check_request(key, 'orders', 'd') is CHECK.FORGOTTEN
        assert keys.reply(key).outcome is outcomes.Outcome.UNKNOWN


def test_running_key_does_not_expire():
    """Guards against a second run of a key whose first run takes long."""
    keys = make_keys()
    (key,) = keys.issue('orders', 1)
    keys.check_request(key, 'orders', 'd')
    keys.clock.advance(10 * issued_keys.KEY_LIFETIME_S)
    assert keys.check_request(key, 'orders', 'd') is CHECK.RUNNING


def test_other_incarnations_and_forgeries_do_not_run():
    """Guards against a run of keys issued before a restart."""
    (key,) = make_keys('i1').issue('orders', 1)
    restarted = make_keys('i2')
    assert restarted.check_request(key, 'orders', 'd') is CHECK.FOREIGN
    assert (
        restarted.check_request(key[:-1] + '?', 'orders', 'd') is CHECK.INVALID
    )


def test_key_count_is_bounded_without_losing_a_key():
    """Guards against unbounded growth and keys removed too early."""
    keys = make_keys(max_keys=10)
    issued = keys.issue('orders', 20)
    assert len(issued) == 10
    for key in issued[:5]:
        keys.check_request(key, 'orders', 'd')
    assert keys.issue('orders', 1) == ()
    keys.clock.advance(issued_keys.KEY_LIFETIME_S + 1)
    assert len(keys.issue('orders', 20)) == 5
    assert keys.check_request(issued[0], 'orders', 'd') is CHECK.RUNNING


def test_evicted_answer_is_unknown_and_does_not_run_again():
    """Guards against an empty answer or a second run after an eviction."""
    keys = make_keys(max_answer_bytes=100)
    issued = keys.issue('orders', 3)
    for key in issued:
        keys.check_request(key, 'orders', 'd')
        keys.finish(key, done_reply(60))
    outcome_values = [keys.reply(key).outcome.value for key in issued]
    assert outcome_values == ['unknown', 'unknown', 'done']
    assert keys.check_request(issued[0], 'orders', 'd') is CHECK.FINAL
    assert keys.answer_bytes == 60
    with pytest.raises(claims.ClaimError):
        keys.finish(issued[0], done_reply())
