"""A request that crashes upstreams is quarantined; a harmless one is not."""

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.quarantine import crashes


def new_ledger():
    return crashes.CrashLedger(clocks.ManualClock(100.0))


def test_losses_of_different_upstreams_count_over_all_vms():
    ledger = new_ledger()
    ledger.record_loss('f', 'u1@1')
    ledger.record_loss('f', 'u1@1')
    assert not ledger.is_quarantined('f')
    ledger.record_loss('f', 'u2@1')
    assert ledger.is_quarantined('f')
    assert not ledger.is_quarantined('other')


def test_complete_response_clears_a_request():
    # Guards against refusing a request that was running when upstreams crashed
    # for other reasons.
    ledger = new_ledger()
    ledger.record_loss('f', 'u1@1')
    ledger.record_loss('f', 'u2@1')
    ledger.clear('f')
    assert not ledger.is_quarantined('f')


def test_losses_expire():
    ledger = new_ledger()
    ledger.record_loss('f', 'u1@1')
    ledger.record_loss('f', 'u2@1')
    ledger.clock.advance(crashes.LOSS_MAX_AGE_S + 1)
    assert not ledger.is_quarantined('f')


def test_request_that_got_a_response_is_not_refused_after_an_outage():
    # Guards against refusing a popular request for a minute because two
    # upstreams crashed while running it in an outage (soak, seeds 231 and
    # 243).
    ledger = new_ledger()
    ledger.clear('f')
    ledger.record_loss('f', 'u1@1')
    ledger.record_loss('f', 'u2@1')
    assert not ledger.is_quarantined('f')
