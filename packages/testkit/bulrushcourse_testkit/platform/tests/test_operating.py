"""What operators see of a running edge process."""

import asyncio
import io
import json

import pytest

from bulrushcourse_entry.edge import journal as journals
from bulrushcourse_testkit import ports
from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import upstream as upstream_standin

Fault = upstream_standin.Fault


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))


def test_state_and_metrics_are_served_on_request():
    async def scenario():
        reserved = ports.reserve_ports(1)
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            await cluster.add_upstream('u1')
            cluster.vms[0].start()
            cluster.vms[0].process.metrics_port = reserved.ports[0]
            await cluster.until(cluster.all_ready)
            await cluster.send('/browse/x')
            base = f'http://127.0.0.1:{reserved.ports[0]}'
            async with cluster.session.get(f'{base}/state') as response:
                state = await response.json()
            async with cluster.session.get(f'{base}/metrics') as response:
                metrics = await response.text()
            assert state['configuration'] == 1
            assert state['upstreams']['u1']['set_aside'] is False
            assert state['upstreams_age_s'] < 3.0
            counted = 'requests_total{outcome="answer",service="catalog"} 1.0'
            assert counted in metrics
            assert 'bulrushcourse_latency_seconds_bucket' in metrics
        reserved.close()

    run(scenario())


@pytest.mark.parametrize(
    ('fault', 'path', 'outcome', 'reason'),
    [
        (Fault.SHED, '/order/x', 'refusal', 'no-upstream'),
        (Fault.LOSE_ANSWER, '/order/x', 'lost', 'lost'),
        (Fault.NONE, '/nowhere/x', 'rejected', 'no-route'),
    ],
)
def test_id_of_a_failed_request_leads_to_its_cause(
    fault, path, outcome, reason
):
    # Follows docs/OPERATIONS.md: the line with the id names the cause.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            await cluster.add_upstream('u1', fault=fault)
            await cluster.start()
            return await cluster.send(path, body=b'tabs')

    stream = io.StringIO()
    writer = journals.LineWriter(stream)
    replies = []
    with writer:
        asyncio.run(asyncio.wait_for(collect(scenario(), replies), 30))
    writer.close()
    found = [
        json.loads(line)
        for line in stream.getvalue().splitlines()
        if f'"id": "{replies[0].request_id}"' in line
    ]
    assert [line['outcome'] for line in found] == [outcome]
    assert found[0]['reason'] == reason
    assert found[0]['configuration'] == 1


async def collect(scenario, replies):
    replies.append(await scenario)
