"""A response that ends early counts as a crash once the crash is seen."""

import attrs
import pytest

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.quarantine import counted_losses
from bulrushcourse_domain.quarantine import crashes
from bulrushcourse_domain.quarantine import outbox
from bulrushcourse_domain.quarantine import probes
from bulrushcourse_domain.quarantine import unconfirmed_losses

UPSTREAMS = [f'u{n}@1' for n in range(probes.LOSS_LIMIT)]


@pytest.fixture
def ledger():
    return crashes.CrashLedger(clocks.ManualClock(5000.0))


def lose_possibly(ledger, fingerprint='f'):
    for upstream in UPSTREAMS:
        ledger.record_possible_loss(fingerprint, upstream)


def refuse_connection(ledger, upstream):
    ledger.record_end(upstream)


def restart(ledger, upstream):
    ledger.record_restart(upstream.partition('@')[0], f'{upstream}2')


def break_another_connection(ledger, upstream):
    ledger.record_loss('other', upstream)


SIGNS = [refuse_connection, restart, break_another_connection]


def test_possible_losses_alone_quarantine_nothing(ledger):
    # Guards against sound requests that are refused since faulty upstreams
    # truncate their responses.
    lose_possibly(ledger)
    ledger.clock.advance(unconfirmed_losses.CONFIRMABLE_FOR_S)
    assert not ledger.is_quarantined('f')
    assert ledger.outbox.take(ledger.clock.monotonic()) == []


@pytest.mark.parametrize('sign', SIGNS)
def test_each_sign_of_a_crash_lets_the_losses_count(ledger, sign):
    # Guards against a request that crashes upstreams while they respond and
    # is never quarantined (review/15).
    lose_possibly(ledger)
    for upstream in UPSTREAMS:
        sign(ledger, upstream)
    assert ledger.is_quarantined('f')


def test_response_cut_with_other_requests_counts(ledger):
    # Guards against a crash whose other losses were seen before.
    for upstream in UPSTREAMS:
        ledger.record_loss('other', upstream)
    lose_possibly(ledger)
    assert ledger.is_quarantined('f')


def test_confirmed_losses_are_told_to_the_other_vms(ledger):
    # Guards against losses that count only at the VM that saw the crash.
    other = crashes.CrashLedger(ledger.clock)
    lose_possibly(ledger)
    for upstream in UPSTREAMS:
        ledger.record_end(upstream)
    ledger.clock.advance(outbox.HOLD_S)
    for evidence in ledger.outbox.take(ledger.clock.monotonic()):
        other.merge(attrs.evolve(evidence, is_own=False))
    assert other.is_quarantined('f')


def test_upstream_that_answers_at_once_has_truncated_its_response(ledger):
    # Guards against a later, planned end of a faulty upstream that counts as
    # a crash.
    lose_possibly(ledger)
    ledger.clock.advance(counted_losses.MIN_DOWNTIME_S / 2)
    for upstream in UPSTREAMS:
        ledger.record_alive(upstream, ledger.clock.monotonic())
        ledger.record_end(upstream)
    assert not ledger.is_quarantined('f')


def test_answer_of_the_next_process_refutes_nothing(ledger):
    # Guards against a restarted upstream that passes for one that lived, as
    # its new row has not been read yet.
    lose_possibly(ledger)
    ledger.clock.advance(counted_losses.MIN_DOWNTIME_S * 2.5)
    for upstream in UPSTREAMS:
        ledger.record_alive(upstream, ledger.clock.monotonic())
        restart(ledger, upstream)
    assert ledger.is_quarantined('f')


def test_complete_response_clears_possible_losses(ledger):
    # Guards against losses that count although the request has been served.
    lose_possibly(ledger)
    ledger.record_answer('f', 'u9@1', ledger.clock.monotonic())
    for upstream in UPSTREAMS:
        ledger.record_end(upstream)
    assert not ledger.is_quarantined('f')


def test_end_long_after_the_loss_has_another_cause(ledger):
    # Guards against sound requests that are blamed for a release.
    lose_possibly(ledger)
    ledger.clock.advance(unconfirmed_losses.CONFIRMABLE_FOR_S + 0.1)
    for upstream in UPSTREAMS:
        ledger.record_end(upstream)
    assert not ledger.is_quarantined('f')


def test_upstreams_are_checked_from_the_second_loss_of_a_request_on(ledger):
    # Guards against a connection for each truncated response.
    wanted = [
        ledger.record_possible_loss('f', upstream) for upstream in UPSTREAMS
    ]
    assert wanted == [False, True, True]
    assert not ledger.record_possible_loss('g', UPSTREAMS[0])


def test_attempts_that_an_answer_has_ended_are_no_possible_losses(ledger):
    # Guards against a check of the upstream for each hedged request.
    for upstream in UPSTREAMS:
        ledger.record_answer('f', 'u9@1', ledger.clock.monotonic())
        assert not ledger.record_possible_loss('f', upstream)
    assert not ledger.unconfirmed.table.by_fingerprint


def test_possible_losses_are_forgotten(ledger):
    # Guards against memory that grows with each truncated response.
    for number in range(50):
        ledger.record_possible_loss(f'f{number}', UPSTREAMS[0])
        ledger.clock.advance(1.0)
    remembered = ledger.unconfirmed.table.by_fingerprint
    assert len(remembered) <= unconfirmed_losses.CONFIRMABLE_FOR_S + 1
