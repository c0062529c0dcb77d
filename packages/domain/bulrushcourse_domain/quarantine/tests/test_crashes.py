"""A request that ends upstreams is refused; a harmless one is not."""

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.quarantine import crashes


def ledger():
    return crashes.CrashLedger(clocks.ManualClock(100.0))


def test_losses_of_different_upstreams_count_over_all_vms():
    known = ledger()
    known.record_loss('f', 'u1@1')
    known.record_loss('f', 'u1@1')
    assert not known.is_quarantined('f')
    known.record_loss('f', 'u2@1')
    assert known.is_quarantined('f')
    assert not known.is_quarantined('other')


def test_whole_answer_clears_a_request():
    # Guards against refusing a request that was at work when upstreams
    # ended for other reasons.
    known = ledger()
    known.record_loss('f', 'u1@1')
    known.record_loss('f', 'u2@1')
    known.clear('f')
    assert not known.is_quarantined('f')


def test_losses_are_forgotten():
    known = ledger()
    known.record_loss('f', 'u1@1')
    known.record_loss('f', 'u2@1')
    known.clock.advance(crashes.REMEMBERED_S + 1)
    assert not known.is_quarantined('f')


def test_request_that_had_an_answer_is_not_refused_after_an_outage():
    # Guards against refusing a popular request for a minute because two
    # upstreams lost it in an outage (soak, seeds 231 and 243).
    known = ledger()
    known.clear('f')
    known.record_loss('f', 'u1@1')
    known.record_loss('f', 'u2@1')
    assert not known.is_quarantined('f')
