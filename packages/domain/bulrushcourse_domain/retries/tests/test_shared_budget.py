"""Retries of all VMs stay within the budget without messages."""

from hypothesis import given
from hypothesis import strategies

from bulrushcourse_domain.retries import shared_budget

RATIO, EXTRA_RETRIES, WINDOW_S = 0.2, 60.0, 10.0


@given(
    strategies.integers(1, 16),
    strategies.lists(strategies.integers(0, 40), min_size=10, max_size=60),
)
def test_sum_stays_within_the_budget_in_every_window(members, per_half_s):
    # Every request fails and needs retries, in bursts.
    budgets = [
        shared_budget.SharedRetryBudget(RATIO, EXTRA_RETRIES, WINDOW_S)
        for _ in range(members)
    ]
    retries, requests = [], []
    for step, number in enumerate(per_half_s):
        now = step * 0.5
        requests.append(number * members)
        retry_count = 0
        for budget in budgets:
            for _ in range(number):
                budget.record_request()
                retry_count += budget.try_spend(now, members)
                retry_count += budget.try_spend(now, members)
        retries.append(retry_count)
    window = int(WINDOW_S / 0.5)
    for start in range(len(retries)):
        request_count = max(
            sum(requests[max(0, start - back) : max(0, start - back) + window])
            for back in (0, window // 2, window)
        )
        allowed = RATIO * request_count + EXTRA_RETRIES
        assert sum(retries[start : start + window]) <= allowed
