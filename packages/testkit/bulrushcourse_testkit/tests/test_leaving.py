"""Guards against work that is sent to instances that are leaving."""

import asyncio
import datetime
import json

import attrs
import pytest

from bulrushcourse_domain.configuration import objects
from bulrushcourse_testkit import cluster as clusters
from bulrushcourse_wire import documents

ENTRIES = ['entry-ro-nord-1', 'entry-ro-nord-2', 'entry-ro-nord-3']
# All catalog instances of one failure domain.
PLACE = 'cluj-a'
LIMIT_S = 2.0
LOAD_S = 8.0


async def sign_by_health(cluster, names):
    for name in names:
        await cluster.set_upstream(name, state='draining')


async def sign_by_vm_list(cluster, names):
    for name in names:
        cluster.vms[name] = {
            'vm_id': f'vm-{name}',
            'entry': '',
            'peer_address': '',
            'failure_domain': PLACE,
            'state': 'leaving',
            'instance': name,
        }
    await cluster.list_vms()


async def sign_by_plan(cluster, names):
    now = datetime.datetime.now(datetime.UTC)
    plan = objects.Plan(
        'drain-cluj-a',
        objects.PlanKind.DRAIN,
        PLACE,
        now.isoformat(),
        (now + datetime.timedelta(hours=1)).isoformat(),
    )
    changed = attrs.evolve(cluster.objects, plans=(plan,))
    document = json.loads(documents.render_document(changed))
    answer = await cluster.operate(
        ENTRIES[0],
        '/v1/configuration',
        'POST',
        json={
            'base_version': 1,
            'publish_id': 'drain',
            'operator': 'test',
            'note': '',
            'objects': document,
        },
    )
    assert answer.get('version') == 2, answer


async def arrivals(cluster, names):
    peaks = await cluster.observe(cluster.upstreams_port, 'peaks')
    return sum(peaks[name]['arrived'] for name in names)


async def load(cluster, entry):
    port = cluster.entry_ports[entry].callers
    base = f'http://{clusters.HOST}:{port}/v1/services/catalog'
    end = asyncio.get_running_loop().time() + LOAD_S
    number = 0
    while asyncio.get_running_loop().time() < end:
        number += 1
        async with cluster.session.get(f'{base}/{entry}-{number}') as answer:
            assert answer.status == 200


async def run(directory, sign):
    wanted = clusters.example_objects('filatab')
    names = [
        instance.name
        for instance in wanted.pools[0].instances
        if instance.place == PLACE
    ]
    async with clusters.Cluster(directory, wanted, ENTRIES) as cluster:
        loads = [
            asyncio.create_task(load(cluster, entry)) for entry in ENTRIES * 3
        ]
        await asyncio.sleep(2)
        assert await arrivals(cluster, names) > 0
        await sign(cluster, names)
        await asyncio.sleep(LIMIT_S)
        before = await arrivals(cluster, names)
        await asyncio.gather(*loads)
        assert await arrivals(cluster, names) == before


@pytest.mark.parametrize(
    'sign', [sign_by_health, sign_by_vm_list, sign_by_plan]
)
def test_no_entry_sends_work_two_seconds_after_a_sign(tmp_path, sign):
    asyncio.run(run(tmp_path, sign))
