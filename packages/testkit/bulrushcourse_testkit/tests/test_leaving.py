"""Guards against new work for instances that are leaving.

That an instance leaves is announced by its health response, by the VM list or
by a drain plan.
"""

import asyncio
import datetime
import json

import attrs
import pytest

from bulrushcourse_domain.configuration import objects
from bulrushcourse_testkit import cluster as clusters
from bulrushcourse_wire import documents

ENTRIES = ['entry-ro-nord-1', 'entry-ro-nord-2', 'entry-ro-nord-3']
# The catalog instances of this failure domain leave.
PLACE = 'cluj-a'
# Time from an announcement until no entry sends new work.
STOP_LIMIT_S = 2.0
LOAD_DURATION_S = 8.0


async def announce_by_health(cluster, names):
    for name in names:
        await cluster.set_upstream(name, state='draining')


async def announce_by_vm_list(cluster, names):
    for name in names:
        cluster.vms[name] = {
            'vm_id': f'vm-{name}',
            'entry': '',
            'peer_address': '',
            'failure_domain': PLACE,
            'state': 'leaving',
            'instance': name,
        }
    await cluster.update_vm_list()


async def announce_by_plan(cluster, names):
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
    response = await cluster.call_operators(
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
    assert response.get('version') == 2, response


async def count_arrivals(cluster, names):
    peaks = await cluster.observe(cluster.upstreams_port, 'peaks')
    return sum(peaks[name]['arrived'] for name in names)


async def send_load(cluster, entry):
    port = cluster.entry_ports[entry].callers
    base = f'http://{clusters.HOST}:{port}/v1/services/catalog'
    deadline = asyncio.get_running_loop().time() + LOAD_DURATION_S
    number = 0
    while asyncio.get_running_loop().time() < deadline:
        number += 1
        async with cluster.session.get(f'{base}/{entry}-{number}') as response:
            assert response.status == 200


async def run(directory, announce):
    example = clusters.example_objects('filatab')
    names = [
        instance.name
        for instance in example.pools[0].instances
        if instance.place == PLACE
    ]
    async with clusters.Cluster(directory, example, ENTRIES) as cluster:
        loads = [
            asyncio.create_task(send_load(cluster, entry))
            for entry in ENTRIES * 3
        ]
        await asyncio.sleep(2)
        assert await count_arrivals(cluster, names) > 0
        await announce(cluster, names)
        await asyncio.sleep(STOP_LIMIT_S)
        before = await count_arrivals(cluster, names)
        await asyncio.gather(*loads)
        assert await count_arrivals(cluster, names) == before


@pytest.mark.parametrize(
    'announce', [announce_by_health, announce_by_vm_list, announce_by_plan]
)
def test_no_entry_sends_work_two_seconds_after_announcement(
    tmp_path, announce
):
    asyncio.run(run(tmp_path, announce))
