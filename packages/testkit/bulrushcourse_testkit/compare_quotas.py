"""Compares ways to enforce quotas over all VMs, without a network.

Run it with ``python -m bulrushcourse_testkit.compare_quotas``. The same
arrivals are admitted by fixed equal shares of the VMs, by shares that follow
the demand that VMs reported, and by tokens from owners. Accounts send their
usual rate, for which nothing should be refused.
"""

import bisect
import collections
import itertools
import random

import attrs

from bulrushcourse_domain.accounts import account as accounts
from bulrushcourse_testkit import measure_quotas
from bulrushcourse_testkit import quota_fleet

SIZES = ((11, 72), (60, 72), (200, 1000))
# Time until the demand that a VM reports changes the shares of all others.
# The former share ends before the new one begins.
REPORT_S = 1.0
# Reports over which the demand is averaged.
AVERAGED_REPORTS = 5
# Part of a quota that is shared equally, for VMs without reported demand.
EQUAL_PART = 0.2
WORST_PART = 0.1
# Time until the shares follow the demand; not counted.
SETTLED_S = 8.0


@attrs.define
class LocalBucket:
    """Share of one VM that it uses without asking anybody.

    Attributes:
        level: Tokens left.
        at: Time of the last request.
    """

    level: float
    at: float

    def admit(self, now: float, rate_per_s: float, depth: float) -> bool:
        """Return whether a request is admitted.

        Args:
            now: Time of the request.
            rate_per_s: Rate of the share.
            depth: Depth of the share.
        """
        filled = self.level + (now - self.at) * rate_per_s
        self.level, self.at = min(depth, filled), now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


@attrs.frozen
class Arrivals:
    """Requests of all accounts.

    Attributes:
        quotas: Quotas of the accounts.
        requests: Time, account and VM of each request.
    """

    quotas: list[accounts.Quota]
    requests: list[tuple[float, int, int]]


def draw_arrivals(vm_count: int, account_count: int) -> Arrivals:
    """Return the requests of some seconds.

    Args:
        vm_count: Number of VMs.
        account_count: Number of accounts.
    """
    rng = random.Random(3)
    usual = measure_quotas.usual_rates(vm_count, account_count)
    sums = list(itertools.accumulate(usual))
    connected = [
        rng.sample(range(vm_count), min(vm_count, 2 + int(rate)))
        for rate in usual
    ]
    requests, now = [], 0.0
    while now < SETTLED_S + measure_quotas.MEASURED_S:
        now += rng.expovariate(sums[-1])
        number = bisect.bisect(sums, rng.random() * sums[-1])
        requests.append((now, number, rng.choice(connected[number])))
    quotas = [measure_quotas.quota_of(rate) for rate in usual]
    return Arrivals(quotas, requests)


def refused_shares(
    arrivals: Arrivals, vm_count: int, follows_demand: bool
) -> tuple[float, float]:
    """Return the refused part of all requests and that of the worst tenth.

    Args:
        arrivals: The requests.
        vm_count: Number of VMs.
        follows_demand: Whether the shares follow the reported demand.
    """
    terms = quota_fleet.BOUNDS.quota_terms
    buckets: dict[tuple[int, int], LocalBucket] = {}
    asked: collections.Counter[int] = collections.Counter()
    refused: collections.Counter[int] = collections.Counter()
    reports: dict[tuple[int, int], collections.Counter[int]] = (
        collections.defaultdict(collections.Counter)
    )
    for now, number, vm in arrivals.requests:
        quota = arrivals.quotas[number]
        period = int(now / REPORT_S)
        part = 1.0 / vm_count
        if follows_demand and period > AVERAGED_REPORTS:
            # A share grows only when the former holder's has ended: the
            # smaller one of two reports counts.
            parts = [
                _demand_part(reports, number, vm, period - past)
                for past in (1, 2)
            ]
            part = part * EQUAL_PART + min(parts) * (1.0 - EQUAL_PART)
        depth = terms.tolerated(quota) - quota.rate_per_s * terms.window_s
        bucket = buckets.setdefault(
            (number, vm), LocalBucket(depth * part, now)
        )
        reports[number, period][vm] += 1
        admitted = bucket.admit(now, quota.rate_per_s * part, depth * part)
        if now >= SETTLED_S:
            asked[number] += 1
            refused[number] += not admitted
    return _summary(asked, refused)


def _demand_part(
    reports: dict[tuple[int, int], collections.Counter[int]],
    number: int,
    vm: int,
    period: int,
) -> float:
    """Return a VM's part of an account's requests in the last periods."""
    seen: collections.Counter[int] = collections.Counter()
    for past in range(AVERAGED_REPORTS):
        seen.update(reports[number, period - past])
    return seen[vm] / max(1, seen.total())


def refused_by_owners(
    vm_count: int, account_count: int
) -> tuple[float, float]:
    """Return the same for tokens from owners.

    Args:
        vm_count: Number of VMs.
        account_count: Number of accounts.
    """
    callers = measure_quotas.build_callers(vm_count, account_count)
    callers.model.run(measure_quotas.SETTLING_S)
    callers.start()
    callers.model.run(measure_quotas.MEASURED_S)
    refused: collections.Counter[str] = collections.Counter()
    for (account, _), count in callers.model.refused.items():
        refused[account] += count
    return _summary(callers.model.asked, refused)


def _summary(
    asked: collections.Counter, refused: collections.Counter
) -> tuple[float, float]:
    parts = sorted((refused[key] / asked[key] for key in asked), reverse=True)
    worst = parts[: max(1, int(len(parts) * WORST_PART))]
    return refused.total() / asked.total(), sum(worst) / len(worst)


def main() -> None:
    """Print a row for each fleet."""
    ways = ('equal shares', 'shares by demand', 'owners')
    print('| VMs | accounts |' + ''.join(f' {way} |' for way in ways))
    print('|---' * 5 + '|')
    for vm_count, account_count in SIZES:
        arrivals = draw_arrivals(vm_count, account_count)
        figures = (
            refused_shares(arrivals, vm_count, False),
            refused_shares(arrivals, vm_count, True),
            refused_by_owners(vm_count, account_count),
        )
        cells = ''.join(f' {a:.1%}, {w:.1%} |' for a, w in figures)
        print(f'| {vm_count} | {account_count} |{cells}', flush=True)


if __name__ == '__main__':
    main()
