"""Guards against callers of a region that fail when its upstreams are lost."""

import asyncio
import collections
import json
import random

import aiohttp
import attrs

from bulrushcourse_domain.configuration import objects
from bulrushcourse_testkit import cluster as clusters
from bulrushcourse_testkit import load
from bulrushcourse_wire import documents

ENTRIES = ['entry-ro-nord-1', 'entry-ro-centru-1', 'entry-ro-sud-1']
SEED = 5
LOST_REGION = 'ro-nord'
MIX = (load.Work('catalog', 'catalog', 120.0),)
BEFORE_S, AFTER_S = 4.0, 12.0
# Signs of the loss reach the entries and owners within this time.
SETTLE_S = 3.0
EXTRA_WORK_LIMIT = 0.05


def without_region(found: objects.Objects, dead: str) -> objects.Objects:
    """Return objects whose lost region has only unreachable instances."""
    lost = {p.name for p in found.places if p.region == LOST_REGION}
    numbers = iter(range(1, 1000))
    host = dead.rpartition(':')[0]

    def move(instance):
        if instance.place not in lost:
            return instance
        return attrs.evolve(instance, address=f'{host}:{next(numbers)}')

    return attrs.evolve(
        found,
        pools=tuple(
            attrs.evolve(p, instances=tuple(map(move, p.instances)))
            for p in found.pools
        ),
    )


async def lose_region(cluster):
    changed = without_region(cluster.objects, '127.0.0.1:1')
    answer = await cluster.operate(
        ENTRIES[1],
        '/v1/configuration',
        'POST',
        json={
            'base_version': 1,
            'publish_id': 'lose',
            'operator': 'test',
            'note': '',
            'objects': json.loads(documents.render_document(changed)),
        },
    )
    assert answer.get('version') == 2, answer


async def run(directory):
    wanted = clusters.example_objects('filatab')
    cluster = clusters.Cluster(directory, wanted, ENTRIES, SEED)
    async with cluster, aiohttp.ClientSession() as session:
        seeds = [f'{clusters.HOST}:{cluster.entry_ports[ENTRIES[0]].callers}']
        callers = load.Callers(seeds, session, random.Random(SEED))
        callers.entries, callers.valid_until = seeds, float('inf')
        loading = asyncio.create_task(
            load.run_load(callers, MIX, BEFORE_S + AFTER_S, SEED)
        )
        await asyncio.sleep(BEFORE_S)
        await lose_region(cluster)
        samples = await loading
        peaks = await cluster.observe(cluster.upstreams_port, 'peaks')
        journal = await cluster.observe(cluster.upstreams_port, 'journal')
    late = [s for s in samples if s.due > BEFORE_S + SETTLE_S]
    outcomes = collections.Counter(s.outcome for s in late)
    print(load.summarize(late), outcomes, len(journal), len(samples))
    assert outcomes == {'done': len(late)}
    assert len(journal) <= len(samples) * (1 + EXTRA_WORK_LIMIT)
    assert all(p['peak'] <= p['slots'] for p in peaks.values())


def test_upstreams_of_a_region_that_are_lost_are_replaced_by_others(tmp_path):
    asyncio.run(run(tmp_path))
