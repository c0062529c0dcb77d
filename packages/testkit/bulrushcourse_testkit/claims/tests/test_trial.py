"""At-most-once execution with real processes and faults."""

import pytest

from bulrushcourse_testkit.claims import trial

ORDERS = 550
MIN_ORDERS = 500
SEEDS = {'filatab': 11, 'thies': 12}
OUTAGE_S = 10
MIN_COMPLETED_SHARE = 0.99


@pytest.mark.parametrize('deployment', trial.SERVICES)
def test_orders_run_at_most_once_and_get_true_outcomes(tmp_path, deployment):
    """Guards against second runs, untrue outcomes and altered answers.

    Processes and the store fail while callers send and resend requests.
    """
    result, faults = trial.run_fault_trial(
        tmp_path, deployment, ORDERS, SEEDS[deployment]
    )
    print(faults)
    trial.print_result(result)
    assert result.ran_twice == ()
    assert result.false_not_run == ()
    assert result.wrong_answers == ()
    assert result.orders >= MIN_ORDERS
    assert result.runs >= result.orders * 0.5
    assert sum(faults.values()) >= 10


def test_issued_keys_complete_without_the_store(tmp_path):
    """Guards against first attempts that fail in an outage of the store."""
    result, before, during = trial.run_outage_trial(
        tmp_path, 'filatab', OUTAGE_S, 13
    )
    print(before, during)
    assert result.passed
    assert during[1] >= 100
    assert during[0] >= MIN_COMPLETED_SHARE * during[1]
