"""At most once, with real processes and faults."""

import pytest

from bulrushcourse_testkit.claims import trial

ORDERS = 550
MIN_ORDERS = 500
SEEDS = {'filatab': 11, 'thies': 12}
OUTAGE_S = 10
MIN_COMPLETED = 0.99


@pytest.mark.parametrize('deployment', trial.SERVICES)
def test_orders_run_at_most_once_and_are_told_the_truth(tmp_path, deployment):
    """Guards P3, P4 and P5 while processes and the store fail."""
    verdict, faults = trial.run_faults(
        tmp_path, deployment, ORDERS, SEEDS[deployment]
    )
    print(faults)
    trial.print_verdict(verdict)
    assert verdict.ran_twice == ()
    assert verdict.false_not_run == ()
    assert verdict.wrong_answers == ()
    assert verdict.orders >= MIN_ORDERS
    assert verdict.runs >= verdict.orders * 0.5
    assert sum(faults.values()) >= 10


def test_issued_keys_complete_without_the_store(tmp_path):
    """Guards the share of first attempts that complete in an outage."""
    verdict, before, during = trial.run_outage(
        tmp_path, 'filatab', OUTAGE_S, 13
    )
    print(before, during)
    assert verdict.holds
    assert during[1] >= 100
    assert during[0] >= MIN_COMPLETED * during[1]
