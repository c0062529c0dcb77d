"""Requests are quarantined by caller, and contents for all callers."""

import attrs
import pytest

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.quarantine import counted_losses
from bulrushcourse_domain.quarantine import crashes
from bulrushcourse_domain.quarantine import evidence as evidences
from bulrushcourse_domain.quarantine import outbox
from bulrushcourse_domain.quarantine import probes
from bulrushcourse_domain.quarantine import shared_contents

Kind = evidences.Kind
Verdict = probes.Verdict
CALLERS = [f'c.{n}' for n in range(shared_contents.CALLER_LIMIT)]
OTHER = 'c.other'
VMS = ('vm-1', 'vm-2', 'vm-3')


def new_ledger():
    return crashes.CrashLedger(clocks.ManualClock(5000.0))


def lose(ledger, fingerprint, count=1):
    for number in range(count):
        ledger.record_loss(fingerprint, f'u{number}-{fingerprint}@1')


def answer(ledger, fingerprint):
    ledger.record_answer(fingerprint, 'u9@1', ledger.clock.monotonic())


def pass_on(ledger, receiver):
    for vm in (ledger, receiver):
        vm.clock.advance(outbox.HOLD_S)
    sent = ledger.outbox.take(ledger.clock.monotonic())
    for item in sent:
        receiver.merge(attrs.evolve(item, is_own=False))
    return [(item.kind, item.fingerprint) for item in sent]


def test_answers_to_one_caller_do_not_clear_the_request_of_another():
    # Guards against a request that is dangerous for one caller and never
    # quarantined, since others get answers for the same content (review/12).
    ledger, other = new_ledger(), new_ledger()
    lose(ledger, 'c.a', probes.LOSS_LIMIT)
    answer(ledger, 'c.b')
    pass_on(ledger, other)
    answer(other, 'c.b')
    pass_on(other, ledger)
    for vm in (ledger, other):
        assert vm.is_quarantined('c.a')
        assert not vm.is_quarantined('c.b')


def test_content_that_loses_upstreams_for_several_callers_is_quarantined():
    # Guards against a request that crashes upstreams whoever sends it, and
    # does so three times for each of hundreds of accounts.
    ledger, other = new_ledger(), new_ledger()
    for number, fingerprint in enumerate(CALLERS):
        assert not ledger.is_quarantined(OTHER), number
        lose(ledger, fingerprint)
    assert ledger.is_quarantined(OTHER)
    assert not ledger.is_quarantined('d.other')
    pass_on(ledger, other)
    assert other.is_quarantined(OTHER)


def test_answer_to_any_caller_ends_the_quarantine_of_the_content():
    # Guards against sound callers that stay refused for what others lost.
    ledger, other = new_ledger(), new_ledger()
    for fingerprint in CALLERS:
        lose(ledger, fingerprint)
    lose(ledger, CALLERS[0], probes.LOSS_LIMIT)
    pass_on(ledger, other)
    answer(ledger, OTHER)
    assert pass_on(ledger, other) == [(Kind.CLEARANCE, 'c')]
    for vm in (ledger, other):
        assert not vm.is_quarantined(OTHER)
        assert vm.is_quarantined(CALLERS[0])


def test_answers_are_told_only_while_they_clear_something():
    # Guards against reports that grow with each answer for a content that
    # crashes upstreams for some callers.
    ledger, other = new_ledger(), new_ledger()
    for fingerprint in CALLERS:
        lose(ledger, fingerprint)
    pass_on(ledger, other)
    for _ in range(5):
        answer(ledger, OTHER)
    assert len(pass_on(ledger, other)) == 1


def test_content_is_probed_once_for_all_callers():
    # Guards against one probe for each caller of a content.
    ledger = new_ledger()
    for fingerprint in CALLERS:
        lose(ledger, fingerprint)
    ledger.clock.advance(probes.PROBE_DELAYS_S[0] + 0.1)
    verdicts = [ledger.admit(OTHER, vm, lambda: VMS) for vm in VMS]
    assert sorted(v.value for v in verdicts) == ['probe', 'refuse', 'refuse']
    prober = VMS[verdicts.index(Verdict.PROBE)]
    ledger.begin_probe(OTHER)
    assert ledger.admit(CALLERS[0], prober, lambda: VMS) is Verdict.REFUSE
    ledger.end_probe(OTHER)
    assert ledger.admit(OTHER, prober, lambda: VMS) is Verdict.REFUSE


def test_caller_under_its_own_quarantine_does_not_probe_the_content():
    # Guards against probes by the caller that certainly crashes upstreams.
    ledger = new_ledger()
    for fingerprint in CALLERS:
        lose(ledger, fingerprint)
    ledger.clock.advance(probes.PROBE_DELAYS_S[0] - 1.0)
    lose(ledger, CALLERS[0], probes.LOSS_LIMIT)
    ledger.clock.advance(2.0)
    verdicts = {ledger.admit(CALLERS[0], vm, lambda: VMS) for vm in VMS}
    assert verdicts == {Verdict.REFUSE}


@pytest.mark.parametrize('earlier', ['c', 'other'])
def test_evidence_of_earlier_versions_has_no_effect_on_present_ones(earlier):
    # Guards against VMs that leave the caller out and, during a release,
    # clear or quarantine the requests of all callers.
    ledger, other = new_ledger(), new_ledger()
    lose(ledger, 'c.a', probes.LOSS_LIMIT)
    lose(other, earlier, probes.LOSS_LIMIT)
    pass_on(other, ledger)
    assert not ledger.is_quarantined('c.b')
    answer(other, earlier)
    pass_on(other, ledger)
    assert ledger.is_quarantined('c.a')


def test_evidence_has_the_same_effect_in_any_order():
    # Guards against VMs that decide differently on the same evidence.
    ledger = new_ledger()
    for fingerprint in CALLERS:
        lose(ledger, fingerprint)
    ledger.clock.advance(counted_losses.CLEARANCE_MARGIN_S)
    sent = ledger.outbox.take(ledger.clock.monotonic())
    answer(ledger, OTHER)
    sent += ledger.outbox.take(ledger.clock.monotonic())
    for order in (sent, sent[::-1]):
        restarted = new_ledger()
        restarted.clock.advance(counted_losses.CLEARANCE_MARGIN_S)
        for item in order:
            restarted.merge(item)
        assert not restarted.is_quarantined(OTHER)
