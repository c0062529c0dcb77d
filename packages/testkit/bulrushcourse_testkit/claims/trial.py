"""Trials of at-most-once with real processes.

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
from bulrushcourse_testkit.claims import chaos as claim_chaos
from bulrushcourse_testkit.claims import orders

SERVICES = {'filatab': 'orders', 'thies': 'promesse'}
WORKERS = 24
ASKED_ENTRIES = 2
OUTAGE_WORKERS = 16
OUTAGE_PAUSE_S = 0.3
BEFORE_SHARE = 0.2
ISSUED_SHARES = {'outage': 1.0, 'mixed': 0.5}
COST_SETTLE_S = 6.0


def run_faults(
    directory: pathlib.Path, deployment: str, number: int, seed: int
) -> tuple[orders.Verdict, dict[str, int]]:
    """Run ``try_faults`` in a loop of its own."""
    return asyncio.run(try_faults(directory, deployment, number, seed))


def run_outage(
    directory: pathlib.Path,
    deployment: str,
    outage_s: float,
    seed: int,
    issued_share: float = 1.0,
) -> tuple[orders.Verdict, tuple[int, int], tuple[int, int]]:
    """Run ``try_outage`` in a loop of its own."""
    return asyncio.run(
        try_outage(directory, deployment, outage_s, seed, issued_share)
    )


async def try_faults(
    directory: pathlib.Path, deployment: str, number: int, seed: int
) -> tuple[orders.Verdict, dict[str, int]]:
    """Send orders while faults are injected and compare with the journal.

    Args:
        directory: Where settings and logs are kept.
        deployment: ``filatab`` or ``thies``.
        number: Number of orders.
        seed: Seed of callers and faults.
    """
    cluster = open_cluster(directory, deployment, seed)
    service = SERVICES[deployment]
    async with cluster:
        rng = random.Random(seed)
        callers = orders.OrderCallers(cluster, service, rng)
        chaos = claim_chaos.Chaos(
            cluster, _instances(cluster, service), random.Random(seed + 1)
        )
        faults = asyncio.create_task(chaos.run())
        try:
            await callers.run(number, WORKERS, 0.0)
        finally:
            faults.cancel()
            await asyncio.wait((faults,))
        await chaos.heal()
        await _ask_all(callers)
        journal = await cluster.observe(cluster.upstreams_port, 'journal')
        return orders.judge(callers, journal), chaos.counts


async def try_outage(
    directory: pathlib.Path,
    deployment: str,
    outage_s: float,
    seed: int,
    issued_share: float,
) -> tuple[orders.Verdict, tuple[int, int], tuple[int, int]]:
    """Send orders through a store outage.

    Args:
        directory: Where settings and logs are kept.
        deployment: ``filatab`` or ``thies``.
        outage_s: Seconds of the outage.
        seed: Seed of the callers.
        issued_share: Part of the orders that use issued keys.

    Returns:
        The comparison with the journal, and first attempts with issued keys,
        completed and made, before and during the outage.
    """
    cluster = open_cluster(directory, deployment, seed)
    async with cluster:
        callers = orders.OrderCallers(
            cluster,
            SERVICES[deployment],
            random.Random(seed),
            issued_share=issued_share,
            leaving_share=0.0,
        )
        await _send_for(callers, outage_s * BEFORE_SHARE, 0)
        before = count_first(callers)
        await cluster.set_store_faults(down=True)
        await _send_for(callers, outage_s, 1_000_000)
        after = count_first(callers)
        await cluster.set_store_faults()
        await _ask_all(callers)
        journal = await cluster.observe(cluster.upstreams_port, 'journal')
        during = (after[0] - before[0], after[1] - before[1])
        return orders.judge(callers, journal), before, during


def open_cluster(
    directory: pathlib.Path, deployment: str, seed: int
) -> clusters.Cluster:
    """Return a cluster of all entries of a deployment, not yet started.

    Args:
        directory: Where settings and logs are kept.
        deployment: ``filatab`` or ``thies``.
        seed: Seed of the upstreams' service times.
    """
    objects = clusters.example_objects(deployment)
    names = [entry.name for entry in objects.entries]
    return clusters.Cluster(directory, objects, names, seed)


def count_first(callers: orders.OrderCallers) -> tuple[int, int]:
    """Return how many first attempts with issued keys completed, and of all.

    Args:
        callers: The callers.
    """
    first = [
        note
        for note in callers.notes
        if note.first and keys.is_issued_form(note.key)
    ]
    done = sum(note.outcome == 'done' and note.whole for note in first)
    # An entry that gives no key counts as a first attempt that failed.
    return done, len(first) + callers.no_key


async def try_costs(
    directory: pathlib.Path, deployment: str, number: int, seed: int
) -> dict[str, float]:
    """Return the store's reads and writes for each order without faults.

    Deletions come 25 minutes later and are not included. What the entries
    read and write without orders is measured first and subtracted.

    Args:
        directory: Where settings and logs are kept.
        deployment: ``filatab`` or ``thies``.
        number: Number of orders of each kind.
        seed: Seed of the callers.
    """
    costs = {}
    loop = asyncio.get_running_loop()
    async with open_cluster(directory, deployment, seed) as cluster:
        start, counts = loop.time(), await _counts(cluster)
        await asyncio.sleep(COST_SETTLE_S)
        idle_s = loop.time() - start
        idle = [
            b - a for a, b in zip(counts, await _counts(cluster), strict=True)
        ]
        for kind, share in (('free-form', 0.0), ('issued', 1.0)):
            callers = orders.OrderCallers(
                cluster,
                SERVICES[deployment],
                random.Random(seed),
                issued_share=share,
                leaving_share=0.0,
                again_share=0.0,
            )
            start, counts = loop.time(), await _counts(cluster)
            await callers.run(number, WORKERS, OUTAGE_PAUSE_S)
            await asyncio.sleep(COST_SETTLE_S)
            spent_s = loop.time() - start
            for name, before, after, at_rest in zip(
                ('reads', 'writes'),
                counts,
                await _counts(cluster),
                idle,
                strict=True,
            ):
                used = after - before - at_rest * spent_s / idle_s
                costs[f'{kind} {name}'] = round(used / number, 2)
    return costs


async def _counts(cluster: clusters.Cluster) -> tuple[int, int]:
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
            await callers.order(next(numbers))
            await asyncio.sleep(OUTAGE_PAUSE_S)

    await asyncio.gather(*(work() for _ in range(OUTAGE_WORKERS)))


async def _ask_all(callers: orders.OrderCallers) -> None:
    """Ask for each order's outcome through several entries."""
    room = asyncio.Semaphore(WORKERS)

    async def ask(key: str) -> None:
        names = callers.cluster.entry_names
        for entry in callers.random.sample(names, ASKED_ENTRIES):
            async with room:
                callers.notes.append(await callers.ask(entry, key))

    await asyncio.gather(*(ask(key) for key in list(callers.paths)))


def _instances(cluster: clusters.Cluster, service: str) -> list[str]:
    pools = {s.name: s.pool for s in cluster.objects.services}
    return [
        instance.name
        for pool in cluster.objects.pools
        if pool.name == pools[service]
        for instance in pool.instances
    ]


def print_verdict(verdict: orders.Verdict) -> None:
    """Print the counts of a trial.

    Args:
        verdict: Its comparison with the journal.
    """
    print(f'{verdict.orders} orders, {verdict.runs} runs')
    print(f'keys that ran twice: {len(verdict.ran_twice)}')
    print(f'keys that ran and were told not-run: {verdict.false_not_run}')
    print(f'wrong answers: {verdict.wrong_answers}')
    print(f'orders by outcome: {verdict.final}')
    print(f'sends by what was told: {verdict.reply}')


def main() -> int:
    """Run the trial that the command line names, for both deployments."""
    kind, size, seed = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    holds = True
    for deployment in SERVICES:
        print(f'--- {deployment}, seed {seed}')
        with tempfile.TemporaryDirectory() as name:
            directory = pathlib.Path(name)
            if kind == 'faults':
                verdict, faults = run_faults(directory, deployment, size, seed)
                print(f'faults: {faults}')
            elif kind == 'costs':
                print(
                    asyncio.run(try_costs(directory, deployment, size, seed))
                )
                continue
            else:
                share = ISSUED_SHARES[kind]
                verdict, before, during = run_outage(
                    directory, deployment, size, seed, share
                )
                print(f'first attempts completed before: {before}')
                print(f'during {size} s without the store: {during}')
        print_verdict(verdict)
        holds &= verdict.holds
    return 0 if holds else 1


if __name__ == '__main__':
    sys.exit(main())
