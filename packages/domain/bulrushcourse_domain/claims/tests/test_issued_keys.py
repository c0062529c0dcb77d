"""Rules of the keys of one incarnation."""

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


def done(size=1):
    answer = outcomes.Answer(200, (), b'x' * size)
    return outcomes.Reply(outcomes.Outcome.DONE, answer=answer)


def test_key_starts_one_run():
    """Guards P5: a second send must not start a second run."""
    held = make_keys()
    (key,) = held.issue('orders', 1)
    assert held.check_request(key, 'orders', 'd') is CHECK.FIRST
    assert held.check_request(key, 'orders', 'd') is CHECK.RUNNING
    held.finish(key, done())
    assert held.check_request(key, 'orders', 'd') is CHECK.FINAL
    assert held.check_request(key, 'orders', 'other') is CHECK.OTHER_REQUEST
    assert held.check_request(key, 'catalog', 'd') is CHECK.OTHER_SERVICE


def test_expired_or_forgotten_key_is_unknown():
    """Guards P4: a key that may have run is never said not to have."""
    held = make_keys()
    unused, used = held.issue('orders', 2)
    held.check_request(used, 'orders', 'd')
    held.finish(used, done())
    held.clock.advance(issued_keys.KEY_LIFETIME_S + claims.RETENTION_S + 1)
    for key in (unused, used):
        assert held.check_request(key, 'orders', 'd') is CHECK.FORGOTTEN
        assert held.reply(key).outcome is outcomes.Outcome.UNKNOWN


def test_running_key_is_not_forgotten():
    """Guards against a long run whose key could be started again."""
    held = make_keys()
    (key,) = held.issue('orders', 1)
    held.check_request(key, 'orders', 'd')
    held.clock.advance(10 * issued_keys.KEY_LIFETIME_S)
    assert held.check_request(key, 'orders', 'd') is CHECK.RUNNING


def test_other_incarnations_and_forgeries_do_not_run():
    """Guards P5: a restarted entry must not run its predecessor's keys."""
    (key,) = make_keys('i1').issue('orders', 1)
    later = make_keys('i2')
    assert later.check_request(key, 'orders', 'd') is CHECK.FOREIGN
    assert later.check_request(key[:-1] + '?', 'orders', 'd') is CHECK.INVALID


def test_memory_is_bounded_without_losing_a_key():
    """Guards against growth, and against forgetting keys early."""
    held = make_keys(max_keys=10)
    made = held.issue('orders', 20)
    assert len(made) == 10
    for key in made[:5]:
        held.check_request(key, 'orders', 'd')
    assert held.issue('orders', 1) == ()
    held.clock.advance(issued_keys.KEY_LIFETIME_S + 1)
    assert len(held.issue('orders', 20)) == 5
    assert held.check_request(made[0], 'orders', 'd') is CHECK.RUNNING


def test_dropped_answer_turns_unknown_and_does_not_run_again():
    """Guards against an empty answer, and a second run, under load."""
    held = make_keys(max_answer_bytes=100)
    made = held.issue('orders', 3)
    for key in made:
        held.check_request(key, 'orders', 'd')
        held.finish(key, done(60))
    reply = [held.reply(key).outcome.value for key in made]
    assert reply == ['unknown', 'unknown', 'done']
    assert held.check_request(made[0], 'orders', 'd') is CHECK.FINAL
    assert held.answer_bytes == 60
    with pytest.raises(claims.ClaimError):
        held.finish(made[0], done())
