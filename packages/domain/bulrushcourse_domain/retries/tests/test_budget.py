"""Guards against retries and hedges that multiply work in an outage."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bulrushcourse_domain.retries import budget as budgets


@settings(derandomize=True, database=None, deadline=None)
@given(strategies.lists(strategies.booleans(), max_size=2000))
def test_extra_work_stays_within_share(attempts):
    """Extra runs never exceed the share, in any order of attempts."""
    budget = budgets.RetryBudget()
    for is_primary in attempts:
        if is_primary:
            budget.record_primary()
        else:
            budget.try_spend()
        assert (
            budget.extra_runs
            <= budgets.EXTRA_RUN_SHARE * budget.primary_runs + 1e-6
        )


def test_region_outage_retries_at_most_the_share():
    """Every request in an outage needs a retry and a hedge."""
    budget = budgets.RetryBudget()
    for _ in range(10_000):
        budget.record_primary()
        budget.try_spend()
        budget.try_spend()
    assert 480 <= budget.extra_runs <= 500


def test_quiet_period_does_not_allow_an_unbounded_burst():
    budget = budgets.RetryBudget()
    for _ in range(10_000):
        budget.record_primary()
    spent = sum(budget.try_spend() for _ in range(10_000))
    assert spent == budgets.MAX_TOKENS
