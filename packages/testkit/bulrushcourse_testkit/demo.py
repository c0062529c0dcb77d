"""Runs a deployment with stand-ins, prints a summary and checks promises.

Three entries, one in each region, serve a mixed load while one of them stops
gracefully and another is killed. The exit code is 0 only if every promise
held.
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
        load.Work('catalog', 'catalog', 120.0),
        load.Work('rush proofs', 'catalog', 20.0, 'rush'),
        load.Work(
            'orders',
            'orders',
            30.0,
            method='POST',
            body_bytes=512,
            idempotent=False,
        ),
        load.Work('artwork', 'artwork', 3.0, method='PUT', body_bytes=2 << 20),
    ),
    'thies': (
        load.Work('liste', 'liste', 150.0),
        load.Work(
            'promesse',
            'promesse',
            30.0,
            method='POST',
            body_bytes=512,
            idempotent=False,
        ),
        load.Work('album', 'album', 3.0, method='PUT', body_bytes=2 << 20),
    ),
}


# Kinds of work that must not run twice; callers do not send them again.
ONCE = ('orders', 'promesse')


@attrs.frozen
class Promise:
    """A promise and whether it held.

    Attributes:
        text: What was promised.
        held: Whether it held.
        seen: The figure that decides it.
    """

    text: str
    held: bool
    seen: str


def choose_entries(cluster_objects: clusters.objects.Objects) -> list[str]:
    """Return one entry of each region.

    Args:
        cluster_objects: Objects of the deployment.
    """
    regions = {p.name: p.region for p in cluster_objects.places}
    chosen: dict[str, str] = {}
    for entry in cluster_objects.entries:
        chosen.setdefault(regions[entry.place], entry.name)
    return list(chosen.values())


async def run_demo(deployment: str, directory: pathlib.Path) -> bool:
    """Run the demo and return whether every promise held.

    Args:
        deployment: ``filatab`` or ``thies``.
        directory: Where settings and logs are kept.
    """
    wanted = clusters.example_objects(deployment)
    names = choose_entries(wanted)
    print(f'starting {len(names)} entries of {deployment} with stand-ins')
    cluster = clusters.Cluster(directory, wanted, names, SEED)
    async with cluster:
        samples, exit_code, cut_off = await _drive(
            cluster, names, MIXES[deployment]
        )
        journal = await cluster.observe(cluster.upstreams_port, 'journal')
        peaks = await cluster.observe(cluster.upstreams_port, 'peaks')
    _print_table(samples)
    promises = check_promises(samples, journal, peaks, exit_code, cut_off)
    for promise in promises:
        verdict = 'held  ' if promise.held else 'BROKEN'
        print(f'{verdict}  {promise.text}: {promise.seen}')
    return all(promise.held for promise in promises)


async def _drive(
    cluster: clusters.Cluster, names: list[str], mix: tuple[load.Work, ...]
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
        following = asyncio.create_task(callers.follow_lookups())
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
        following.cancel()
    exit_code = await stopped.wait()
    cut_off = stopped.log.read_text().count('E1005')
    return samples, exit_code, cut_off


def check_promises(
    samples: list[load.Sample],
    journal: list[dict],
    peaks: dict[str, dict],
    exit_code: int,
    cut_off: int,
) -> list[Promise]:
    """Return the promises that the demo can check.

    Args:
        samples: What callers saw.
        journal: What upstreams ran.
        peaks: Most work at a time by instance.
        exit_code: Exit code of the entry that stopped gracefully.
        cut_off: Whether that entry cut off requests in flight.
    """
    wrong = sum(s.outcome == 'wrong' for s in samples)
    failed_before_kill = sum(
        s.outcome == 'failed' and s.due + s.latency_s < KILL_AT_S
        for s in samples
    )
    lost = sum(s.outcome != 'done' and s.work not in ONCE for s in samples)
    runs = collections.Counter(
        run['path'].partition('?')[0] for run in journal
    )
    doubled = sum(runs[f'/r{s.number}'] > 1 for s in samples if s.work in ONCE)
    false_not_run = sum(
        runs[f'/r{s.number}'] > 0 for s in samples if s.outcome == 'not-run'
    )
    overloaded = [
        name for name, seen in peaks.items() if seen['peak'] > seen['slots']
    ]
    return [
        Promise(
            'each caller got the whole answer to its own request',
            not wrong,
            f'{wrong} wrong answers',
        ),
        Promise(
            'the graceful stop cut off no request',
            not failed_before_kill and not cut_off and exit_code == 0,
            f'{failed_before_kill} failed, exit code {exit_code}',
        ),
        Promise(
            'orders and pledges ran at most once',
            not doubled,
            f'{doubled} ran twice',
        ),
        Promise(
            'what callers were told did not run did not run',
            not false_not_run,
            f'{false_not_run} ran',
        ),
        Promise(
            'idempotent requests were all served in the end',
            not lost,
            f'{lost} not served',
        ),
        Promise(
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
    """Run the demo of the deployment given as the first argument."""
    deployment = sys.argv[1] if len(sys.argv) > 1 else 'filatab'
    if deployment not in MIXES:
        print(f'unknown deployment; one of {", ".join(MIXES)}')
        return 2
    with tempfile.TemporaryDirectory(prefix='bulrushcourse-') as directory:
        held = asyncio.run(run_demo(deployment, pathlib.Path(directory)))
    print('all promises held' if held else 'a promise was broken')
    return 0 if held else 1


if __name__ == '__main__':
    sys.exit(main())
