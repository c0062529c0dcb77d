"""Guards against lost requests during a rolling replacement of all entries."""

import asyncio
import collections
import random
import signal

import aiohttp

from bulrushcourse_testkit import cluster as clusters
from bulrushcourse_testkit import load

SEED = 3
DURATION_S = 22.0
MIX = (
    load.RequestKind('catalog', 'catalog', 40.0),
    load.RequestKind(
        'orders',
        'orders',
        10.0,
        method='POST',
        body_bytes=64,
        idempotent=False,
    ),
    load.RequestKind(
        'artwork', 'artwork', 1.0, method='PUT', body_bytes=1 << 19
    ),
)


def choose_entries(
    example: clusters.objects.Objects, per_region: int
) -> list[str]:
    """Return the first entries of each region."""
    regions = {place.name: place.region for place in example.places}
    chosen = collections.defaultdict(list)
    for entry in example.entries:
        chosen[regions[entry.place]].append(entry.name)
    return [name for names in chosen.values() for name in names[:per_region]]


async def replace_all(cluster: clusters.Cluster, names: list[str]) -> None:
    for name in names:
        process = cluster.processes[name]
        process.signal(signal.SIGTERM)
        assert await process.wait() == 0
        assert 'E1005' not in process.log.read_text()
        await cluster.start_entry(name)
        await cluster.wait_ready(name)


async def run(directory) -> None:
    example = clusters.example_objects('filatab')
    names = choose_entries(example, 2)
    cluster = clusters.Cluster(directory, example, names, SEED)
    async with cluster, aiohttp.ClientSession() as session:
        seeds = [
            f'{clusters.HOST}:{cluster.entry_ports[name].callers}'
            for name in names
        ]
        callers = load.Callers(seeds, session, random.Random(SEED))
        await callers.look_up()
        polling = asyncio.create_task(callers.poll_entries())
        replacement = asyncio.create_task(replace_all(cluster, names))
        samples = await load.run_load(callers, MIX, DURATION_S, SEED)
        await replacement
        polling.cancel()
        states = [
            await cluster.call_operators(name, '/v1/state') for name in names
        ]
        journal = await cluster.observe(cluster.upstreams_port, 'journal')
    outcomes = collections.Counter(s.outcome for s in samples)
    assert outcomes == {'done': len(samples)}
    runs = collections.Counter(run['path'] for run in journal)
    orders = [s for s in samples if s.kind == 'orders']
    assert all(runs[f'/r{s.number}'] == 1 for s in orders)
    assert {s['configuration']['version'] for s in states} == {1}


def test_replacing_all_entries_one_by_one_loses_no_request(tmp_path):
    asyncio.run(run(tmp_path))
