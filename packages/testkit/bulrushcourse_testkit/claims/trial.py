"""Trials of at-most-once execution with real processes.

Run it with ``python -m bulrushcourse_testkit.claims.trial faults ORDERS SEED``
or ``... outage SECONDS SEED`` (issued keys only), ``... mixed SECONDS SEED``
(half of the keys are free-form) or ``... costs ORDERS SEED``.
"""

import asyncio
import pathlib
import random
import sys
import tempfile

from bulrushcourse_domain.claims import keys
from bulrushcourse_testkit import cluster as clusters
from bulrushcourse_testkit.claims import fault_injector
from bulrushcourse_testkit.claims import orders

SERVICES = {'filatab': 'orders', 'thies': 'promesse'}
WORKERS = 24
QUERIED_ENTRIES = 2
OUTAGE_WORKERS = 16
OUTAGE_PAUSE_S = 0.3
BASELINE_SHARE = 0.2
ISSUED_SHARES = {'outage': 1.0, 'mixed': 0.5}
COST_SETTLE_S = 6.0


def run_fault_trial(
    directory: pathlib.Path, deployment: str, number: int, seed: int
) -> tuple[orders.TrialResult, dict[str, int]]:
    """Run ``fault_trial`` in a new event loop."""
    return asyncio.run(fault_trial(directory, deployment, number, seed))


def run_outage_trial(
    directory: pathlib.Path,
    deployment: str,
    outage_s: float,
    seed: int,
    issued_share: float = 1.0,
) -> tuple[orders.TrialResult, tuple[int, int], tuple[int, int]]:
    """Run ``outage_trial`` in a new event loop."""
    return asyncio.run(
        outage_trial(directory, deployment, outage_s, seed, issued_share)
    )


async def fault_trial(
    directory: pathlib.Path, deployment: str, number: int, seed: int
) -> tuple[orders.TrialResult, dict[str, int]]:
    """Send orders while faults are injected and check the results.

    Args:
        directory: Directory of the settings and log files.
        deployment: ``filatab`` or ``thies``.
        number: Number of orders.
        seed: Seed of the callers and faults.

    Returns:
        The comparison with the runs, and the number of faults by kind.
    """
    cluster = make_cluster(directory, deployment, seed)
    service = SERVICES[deployment]
    async with cluster:
        rng = random.Random(seed)
        callers = orders.OrderCallers(cluster, service, rng)
        injector = fault_injector.FaultInjector(
            cluster, _instances(cluster, service), random.Random(seed + 1)
        )
        faults = asyncio.create_task(injector.run())
        try:
            await callers.run(number, WORKERS, 0.0)
        finally:
            faults.cancel()
            await asyncio.wait((faults,))
        await injector.end_faults()
        await _query_outcomes(callers)
        journal = await cluster.observe(cluster.upstreams_port, 'journal')
        return orders.evaluate(callers, journal), injector.counts


async def outage_trial(
    directory: pathlib.Path,
    deployment: str,
    outage_s: float,
    seed: int,
    issued_share: float,
) -> tuple[orders.TrialResult, tuple[int, int], tuple[int, int]]:
    """Send orders through a store outage.

    Args:
        directory: Directory of the settings and log files.
        deployment: ``filatab`` or ``thies``.
        outage_s: Duration of the outage in seconds.
        seed: Seed of the callers.
        issued_share: Share of the orders that use issued keys.

    Returns:
        The comparison with the runs, and the numbers of completed and of all
        first attempts with issued keys, before and during the outage.
    """
    cluster = make_cluster(directory, deployment, seed)
    async with cluster:
        callers = orders.OrderCallers(
            cluster,
            SERVICES[deployment],
            random.Random(seed),
            issued_share=issued_share,
            disconnect_share=0.0,
        )
        await _send_for(callers, outage_s * BASELINE_SHARE, 0)
        before = count_first_attempts(callers)
        await cluster.set_store_faults(down=True)
        await _send_for(callers, outage_s, 1_000_000)
        after = count_first_attempts(callers)
        await cluster.set_store_faults()
        await _query_outcomes(callers)
        journal = await cluster.observe(cluster.upstreams_port, 'journal')
        during = (after[0] - before[0], after[1] - before[1])
        return orders.evaluate(callers, journal), before, during


def make_cluster(
    directory: pathlib.Path, deployment: str, seed: int
) -> clusters.Cluster:
    """Return a cluster of all entries of a deployment without starting it.

    Args:
        directory: Directory of the settings and log files.
        deployment: ``filatab`` or ``thies``.
        seed: Seed of the upstreams' service times.
    """
    objects = clusters.example_objects(deployment)
    names = [entry.name for entry in objects.entries]
    return clusters.Cluster(directory, objects, names, seed)


def count_first_attempts(callers: orders.OrderCallers) -> tuple[int, int]:
    """Return the numbers of completed and of all first attempts.

    Only attempts with issued keys count.

    Args:
        callers: Callers whose attempts are counted.
    """
    first = [
        result
        for result in callers.results
        if result.is_first and keys.has_issued_format(result.key)
    ]
    done = sum(
        attempt.outcome == 'done' and attempt.is_expected for attempt in first
    )
    # A failed request for a key counts as a failed first attempt.
    return done, len(first) + callers.failed_key_requests


async def cost_trial(
    directory: pathlib.Path, deployment: str, number: int, seed: int
) -> dict[str, float]:
    """Return the store's reads and writes per order without faults.

    Deletions are not included, since they follow 25 minutes later. The reads
    and writes of idle entries are measured first and subtracted.

    Args:
        directory: Directory of the settings and log files.
        deployment: ``filatab`` or ``thies``.
        number: Number of orders of each kind.
        seed: Seed of the callers.
    """
    costs = {}
    loop = asyncio.get_running_loop()
    async with make_cluster(directory, deployment, seed) as cluster:
        start, counts = loop.time(), await _store_calls(cluster)
        await asyncio.sleep(COST_SETTLE_S)
        idle_s = loop.time() - start
        idle = [
            b - a
            for a, b in zip(counts, await _store_calls(cluster), strict=True)
        ]
        for kind, share in (('free-form', 0.0), ('issued', 1.0)):
            callers = orders.OrderCallers(
                cluster,
                SERVICES[deployment],
                random.Random(seed),
                issued_share=share,
                disconnect_share=0.0,
                resend_share=0.0,
            )
            start, counts = loop.time(), await _store_calls(cluster)
            await callers.run(number, WORKERS, OUTAGE_PAUSE_S)
            await asyncio.sleep(COST_SETTLE_S)
            elapsed_s = loop.time() - start
            for name, before, after, idle_calls in zip(
                ('reads', 'writes'),
                counts,
                await _store_calls(cluster),
                idle,
                strict=True,
            ):
                used = after - before - idle_calls * elapsed_s / idle_s
                costs[f'{kind} {name}'] = round(used / number, 2)
    return costs


async def _store_calls(cluster: clusters.Cluster) -> tuple[int, int]:
    counts = await cluster.observe(cluster.platform_port, 'counts')
    return counts['reads'], counts['writes']


async def _send_for(
    callers: orders.OrderCallers, seconds: float, start: int
) -> None:
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    numbers = iter(range(start, start + 1_000_000))

    async def work() -> None:
        while loop.time() < end:
            await callers.send_order(next(numbers))
            await asyncio.sleep(OUTAGE_PAUSE_S)

    await asyncio.gather(*(work() for _ in range(OUTAGE_WORKERS)))


async def _query_outcomes(callers: orders.OrderCallers) -> None:
    """Query the outcome of each order through several entries."""
    limit = asyncio.Semaphore(WORKERS)

    async def query(key: str) -> None:
        names = callers.cluster.entry_names
        for entry in callers.rng.sample(names, QUERIED_ENTRIES):
            async with limit:
                callers.results.append(await callers.query_outcome(entry, key))

    await asyncio.gather(*(query(key) for key in list(callers.paths)))


def _instances(cluster: clusters.Cluster, service: str) -> list[str]:
    pools = {s.name: s.pool for s in cluster.objects.services}
    return [
        instance.name
        for pool in cluster.objects.pools
        if pool.name == pools[service]
        for instance in pool.instances
    ]


def print_result(result: orders.TrialResult) -> None:
    """Print the result of a trial.

    Args:
        result: Result of the trial.
    """
    print(f'{result.orders} orders, {result.runs} runs')
    print(f'keys that ran twice: {len(result.ran_twice)}')
    print(f'keys that ran but got not-run: {result.false_not_run}')
    print(f'wrong answers: {result.wrong_answers}')
    print(f'orders by outcome: {result.orders_by_outcome}')
    print(f'results by reason: {result.results_by_reason}')


def main() -> int:
    """Run the trial given on the command line for both deployments."""
    kind, size, seed = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    passed = True
    for deployment in SERVICES:
        print(f'--- {deployment}, seed {seed}')
        with tempfile.TemporaryDirectory() as name:
            directory = pathlib.Path(name)
            if kind == 'faults':
                result, faults = run_fault_trial(
                    directory, deployment, size, seed
                )
                print(f'faults: {faults}')
            elif kind == 'costs':
                print(
                    asyncio.run(cost_trial(directory, deployment, size, seed))
                )
                continue
            else:
                share = ISSUED_SHARES[kind]
                result, before, during = run_outage_trial(
                    directory, deployment, size, seed, share
                )
                print(f'first attempts, completed and all, before: {before}')
                print(f'during {size} s without the store: {during}')
        print_result(result)
        passed &= result.passed
    return 0 if passed else 1


if __name__ == '__main__':
    sys.exit(main())
