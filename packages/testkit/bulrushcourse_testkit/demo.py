"""Demonstrates a deployment with stand-ins and checks what it guarantees.

Three entries, one in each region, serve a mixed load while one of them stops
gracefully and another is killed. The exit code is 0 only if every guarantee
was kept.
"""

import asyncio
import collections
import pathlib
import random
import signal
import sys
import tempfile

import aiohttp
import attrs

from bulrushcourse_testkit import cluster as clusters
from bulrushcourse_testkit import load

DURATION_S = 12.0
STOP_AT_S = 3.0
KILL_AT_S = 8.0
SEED = 1
MIXES = {
    'filatab': (
        load.RequestKind('catalog', 'catalog', 120.0),
        load.RequestKind('rush proofs', 'catalog', 20.0, 'rush'),
        load.RequestKind(
            'orders',
            'orders',
            30.0,
            method='POST',
            body_bytes=512,
            idempotent=False,
        ),
        load.RequestKind(
            'artwork', 'artwork', 3.0, method='PUT', body_bytes=2 << 20
        ),
    ),
    'thies': (
        load.RequestKind('liste', 'liste', 150.0),
        load.RequestKind(
            'promesse',
            'promesse',
            30.0,
            method='POST',
            body_bytes=512,
            idempotent=False,
        ),
        load.RequestKind(
            'album', 'album', 3.0, method='PUT', body_bytes=2 << 20
        ),
    ),
}


# Kinds of requests that must run at most once; callers do not retry them.
NON_REPEATABLE = ('orders', 'promesse')


@attrs.frozen
class Guarantee:
    """A guarantee of the system, checked against a run.

    Attributes:
        text: What is guaranteed.
        held: Whether the run kept it.
        observed: The figure that decides it.
    """

    text: str
    held: bool
    observed: str


def choose_entries(cluster_objects: clusters.objects.Objects) -> list[str]:
    """Return the first configured entry of each region.

    Args:
        cluster_objects: Objects of the deployment.
    """
    regions = {p.name: p.region for p in cluster_objects.places}
    chosen: dict[str, str] = {}
    for entry in cluster_objects.entries:
        chosen.setdefault(regions[entry.place], entry.name)
    return list(chosen.values())


async def run_demo(deployment: str, directory: pathlib.Path) -> bool:
    """Run the demo and return whether every guarantee was kept.

    Args:
        deployment: ``filatab`` or ``thies``.
        directory: Directory for settings, secrets and logs.
    """
    example = clusters.example_objects(deployment)
    names = choose_entries(example)
    print(f'starting {len(names)} entries of {deployment} with stand-ins')
    cluster = clusters.Cluster(directory, example, names, SEED)
    async with cluster:
        samples, exit_code, cut_off = await _run_load_with_faults(
            cluster, names, MIXES[deployment]
        )
        journal = await cluster.observe(cluster.upstreams_port, 'journal')
        peaks = await cluster.observe(cluster.upstreams_port, 'peaks')
    _print_table(samples)
    guarantees = check_guarantees(samples, journal, peaks, exit_code, cut_off)
    for guarantee in guarantees:
        verdict = 'held  ' if guarantee.held else 'BROKEN'
        print(f'{verdict}  {guarantee.text}: {guarantee.observed}')
    return all(guarantee.held for guarantee in guarantees)


async def _run_load_with_faults(
    cluster: clusters.Cluster,
    names: list[str],
    mix: tuple[load.RequestKind, ...],
) -> tuple[list[load.Sample], int, int]:
    stopped, killed = cluster.processes[names[1]], cluster.processes[names[2]]
    addresses = [
        f'{clusters.HOST}:{cluster.entry_ports[name].callers}'
        for name in names
    ]
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        callers = load.Callers(addresses, session, random.Random(SEED))
        await callers.look_up()
        polling = asyncio.create_task(callers.poll_entries())
        run = asyncio.create_task(
            load.run_load(callers, mix, DURATION_S, SEED)
        )
        await asyncio.sleep(STOP_AT_S)
        print(f'stopping {names[1]} gracefully')
        stopped.signal(signal.SIGTERM)
        await asyncio.sleep(KILL_AT_S - STOP_AT_S)
        print(f'killing {names[2]}')
        killed.signal(signal.SIGKILL)
        samples = await run
        polling.cancel()
    exit_code = await stopped.wait()
    cut_off = stopped.log.read_text().count('E1005')
    return samples, exit_code, cut_off


def check_guarantees(
    samples: list[load.Sample],
    journal: list[dict],
    peaks: dict[str, dict],
    exit_code: int,
    cut_off: int,
) -> list[Guarantee]:
    """Check the guarantees that a run of the demo can show.

    Args:
        samples: Outcomes that the callers received.
        journal: Requests that the upstreams ran.
        peaks: Highest number of concurrent requests and number of slots, by
            instance.
        exit_code: Exit code of the entry that stopped gracefully.
        cut_off: How often that entry logged that it cut off requests.
    """
    wrong = sum(s.outcome == 'wrong' for s in samples)
    failed_before_kill = sum(
        s.outcome == 'failed' and s.due_s + s.latency_s < KILL_AT_S
        for s in samples
    )
    lost = sum(
        s.outcome != 'done' and s.kind not in NON_REPEATABLE for s in samples
    )
    runs = collections.Counter(
        run['path'].partition('?')[0] for run in journal
    )
    run_twice = sum(
        runs[f'/r{s.number}'] > 1 for s in samples if s.kind in NON_REPEATABLE
    )
    false_not_run = sum(
        runs[f'/r{s.number}'] > 0 for s in samples if s.outcome == 'not-run'
    )
    overloaded = [
        name
        for name, counts in peaks.items()
        if counts['peak'] > counts['slots']
    ]
    return [
        Guarantee(
            'each caller got the whole answer to its own request',
            not wrong,
            f'{wrong} wrong answers',
        ),
        Guarantee(
            'the graceful stop cut off no request',
            not failed_before_kill and not cut_off and exit_code == 0,
            f'{failed_before_kill} failed, exit code {exit_code}',
        ),
        Guarantee(
            'orders and pledges ran at most once',
            not run_twice,
            f'{run_twice} ran twice',
        ),
        Guarantee(
            'no request reported as not run had run',
            not false_not_run,
            f'{false_not_run} ran',
        ),
        Guarantee(
            'idempotent requests were all served in the end',
            not lost,
            f'{lost} not served',
        ),
        Guarantee(
            'no instance had more work than slots',
            not overloaded,
            ', '.join(overloaded) or 'none',
        ),
    ]


def _print_table(samples: list[load.Sample]) -> None:
    columns = ('done', 'not-run', 'unknown', 'failed', 'wrong', 'resent')
    latencies = ('p50_ms', 'p99_ms', 'p99.9_ms')
    titles = ('work', *columns, *latencies)
    print('  '.join(f'{title:>11}' for title in titles))
    for name, row in load.summarize(samples).items():
        cells = [name, *(row.get(column, 0) for column in columns)]
        cells += [row[column] for column in latencies]
        print('  '.join(f'{cell!s:>11}' for cell in cells))


def main() -> int:
    """Run the demo for the deployment given as the first argument."""
    deployment = sys.argv[1] if len(sys.argv) > 1 else 'filatab'
    if deployment not in MIXES:
        print(f'unknown deployment, expected one of {", ".join(MIXES)}')
        return 2
    with tempfile.TemporaryDirectory(prefix='bulrushcourse-') as directory:
        held = asyncio.run(run_demo(deployment, pathlib.Path(directory)))
    print('all promises held' if held else 'a promise was broken')
    return 0 if held else 1


if __name__ == '__main__':
    sys.exit(main())
