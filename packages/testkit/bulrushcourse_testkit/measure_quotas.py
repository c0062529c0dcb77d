"""Measures how quotas are enforced at several fleet sizes.

Run it with ``python -m bulrushcourse_testkit.measure_quotas``. Messages and
bytes are exact counts of the quota model. Times are processor time of this
machine for both sides, encoding included, without sockets.
"""

import bisect
import itertools
import random
import time
import typing

import attrs

from bulrushcourse_domain.accounts import account as accounts
from bulrushcourse_testkit import quota_fleet
from bulrushcourse_testkit import quota_model

# VMs and accounts of each row.
SIZES = ((11, 72), (60, 72), (60, 1000), (200, 1000), (640, 10_000))
REGION_COUNT = 3
REQUESTS_PER_VM_S = 30.0
# Exponent of the sizes of the accounts, and quota in relation to usual use.
SKEW = 1.2
QUOTA_RATIO = 1.6
BURST_S = 1.0
# An account sends so many times its usual for the second half.
HOT_RATIO = 7.0
SETTLING_S = 6.0
MEASURED_S = 6.0


@attrs.frozen
class Row:
    """Figures of one fleet.

    Attributes:
        vms: Number of VMs.
        accounts: Number of accounts.
        refused_below: Share refused of requests of accounts below their quota.
        worst_window: Largest part of the tolerated requests that ran in a
            window, over the accounts.
        messages_per_request: Messages for each request, answers included.
        messages_per_s: Messages that a VM sends a second.
        bytes_per_s: Bytes that a VM sends a second.
        remote_bytes_per_s: Of these, to other regions.
        processor_ms: Processor time for each request, in milliseconds.
    """

    vms: int
    accounts: int
    refused_below: float
    worst_window: float
    messages_per_request: float
    messages_per_s: float
    bytes_per_s: float
    remote_bytes_per_s: float
    processor_ms: float


@attrs.define(eq=False)
class Callers:
    """Callers of all accounts.

    Attributes:
        model: The fleet.
        listed: The accounts, the largest first.
        usual_per_s: Their usual requests a second.
        vms: VMs that the callers of each account are connected to.
        hot: Whether the largest account sends many times its usual.
    """

    model: quota_model.QuotaModel
    listed: list[accounts.ClientAccount]
    usual_per_s: list[float]
    vms: list[list[quota_fleet.ModelVm]]
    hot: bool = False

    def start(self) -> None:
        """Send requests from now on."""
        self._next(list(itertools.accumulate(self.usual_per_s)))

    def _next(self, sums: list[float]) -> None:
        rng = self.model.rng
        number = bisect.bisect(sums, rng.random() * sums[-1])
        count = int(HOT_RATIO) if self.hot and number == 0 else 1
        for _ in range(count):
            vm = rng.choice(self.vms[number])
            self.model.request(vm, self.listed[number])
        self.model.schedule(rng.expovariate(sums[-1]), self._next, sums)


def usual_rates(vm_count: int, account_count: int) -> list[float]:
    """Return the usual requests a second of the accounts, largest first.

    Args:
        vm_count: Number of VMs.
        account_count: Number of accounts.
    """
    weights = [(n + 1) ** -SKEW for n in range(account_count)]
    scale = vm_count * REQUESTS_PER_VM_S / sum(weights)
    return [weight * scale for weight in weights]


def quota_of(usual_per_s: float) -> accounts.Quota:
    """Return the quota of an account.

    Args:
        usual_per_s: Its usual requests a second.
    """
    rate = usual_per_s * QUOTA_RATIO
    return accounts.Quota(rate, rate * BURST_S)


def build_callers(vm_count: int, account_count: int) -> Callers:
    """Return a fleet and the callers of its accounts.

    Args:
        vm_count: Number of VMs.
        account_count: Number of accounts.
    """
    regions = {f'r{n}-0': f'r{n}' for n in range(REGION_COUNT)}
    domains = list(regions)
    model = quota_model.QuotaModel(
        random.Random(1), regions, heartbeat_interval_s=1.0
    )
    for number in range(vm_count):
        model.start_vm(f'vm-{number}', domains[number % len(domains)])
    usual = usual_rates(vm_count, account_count)
    listed = [
        accounts.ClientAccount(f'account-{number}', quota=quota_of(rate))
        for number, rate in enumerate(usual)
    ]
    model.configure(*listed)
    vms = list(model.vms.values())
    connected = [
        model.rng.sample(vms, min(len(vms), 2 + int(rate))) for rate in usual
    ]
    return Callers(model, listed, usual, connected)


def measure(vm_count: int, account_count: int) -> Row:
    """Measure one fleet.

    Args:
        vm_count: Number of VMs.
        account_count: Number of accounts.
    """
    callers = build_callers(vm_count, account_count)
    model = callers.model
    model.run(SETTLING_S)
    callers.start()
    model.run(1.0)
    before = model.messages, model.message_bytes, model.remote_bytes
    asked = sum(model.asked.values())
    started = time.process_time()
    model.run(MEASURED_S)
    used_s = time.process_time() - started
    requests = sum(model.asked.values()) - asked
    after = model.messages, model.message_bytes, model.remote_bytes
    messages, size, remote = (
        (b - a) for a, b in zip(before, after, strict=True)
    )
    refused = sum(model.refused.values())
    below = refused / sum(model.asked.values())
    callers.hot = True
    model.run(MEASURED_S)
    return Row(
        vm_count,
        account_count,
        below,
        max(_worst_windows(callers)),
        messages / requests,
        messages / MEASURED_S / vm_count,
        size / MEASURED_S / vm_count,
        remote / MEASURED_S / vm_count,
        used_s * 1000 / requests,
    )


def _worst_windows(callers: Callers) -> typing.Iterator[float]:
    terms = quota_fleet.BOUNDS.quota_terms
    for account in callers.listed:
        times = callers.model.ran.get(account.name, [])
        most = quota_model.most_in_window(times, terms.window_s)
        yield most / terms.tolerated(account.quota)


def main() -> None:
    """Print a row for each fleet."""
    print(
        '| VMs | accounts | refused below the quota | worst window'
        ' | messages a request | messages/s a VM | bytes/s a VM'
        ' | between regions | ms a request |'
    )
    print('|---' * 9 + '|')
    for vms, account_count in SIZES:
        row = measure(vms, account_count)
        print(
            f'| {row.vms} | {row.accounts} | {row.refused_below:.2%}'
            f' | {row.worst_window:.2f} | {row.messages_per_request:.2f}'
            f' | {row.messages_per_s:.0f} | {row.bytes_per_s:.0f}'
            f' | {row.remote_bytes_per_s:.0f} | {row.processor_ms:.3f} |',
            flush=True,
        )


if __name__ == '__main__':
    main()
