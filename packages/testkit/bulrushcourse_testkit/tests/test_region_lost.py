"""Guards against failed requests when all upstreams of a region are lost."""

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
MIX = (load.RequestKind('catalog', 'catalog', 120.0),)
BEFORE_S, AFTER_S = 4.0, 12.0
# Entries and pool owners detect the loss within this time.
DETECTION_LIMIT_S = 3.0
MAX_EXTRA_WORK_RATIO = 0.05


def without_region(
    published: objects.Objects, unreachable: str
) -> objects.Objects:
    """Return objects in which all instances of the region are unreachable."""
    lost = {p.name for p in published.places if p.region == LOST_REGION}
    numbers = iter(range(1, 1000))
    host = unreachable.rpartition(':')[0]

    def relocate(instance):
        if instance.place not in lost:
            return instance
        return attrs.evolve(instance, address=f'{host}:{next(numbers)}')

    return attrs.evolve(
        published,
        pools=tuple(
            attrs.evolve(p, instances=tuple(map(relocate, p.instances)))
            for p in published.pools
        ),
    )


async def lose_region(cluster):
    changed = without_region(cluster.objects, '127.0.0.1:1')
    response = await cluster.call_operators(
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
    assert response.get('version') == 2, response


async def run(directory):
    example = clusters.example_objects('filatab')
    cluster = clusters.Cluster(directory, example, ENTRIES, SEED)
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
    late = [s for s in samples if s.due_s > BEFORE_S + DETECTION_LIMIT_S]
    outcomes = collections.Counter(s.outcome for s in late)
    print(load.summarize(late), outcomes, len(journal), len(samples))
    assert outcomes == {'done': len(late)}
    assert len(journal) <= len(samples) * (1 + MAX_EXTRA_WORK_RATIO)
    assert all(p['peak'] <= p['slots'] for p in peaks.values())


def test_other_regions_serve_callers_when_a_region_loses_its_upstreams(
    tmp_path,
):
    asyncio.run(run(tmp_path))
