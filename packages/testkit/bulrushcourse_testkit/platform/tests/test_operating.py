"""Logs, state and metrics of a running edge process, as operators use them."""

import asyncio
import io
import json
import pathlib
import subprocess

import pytest

from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_testkit import ports
from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import raw_client
from bulrushcourse_testkit.platform import upstream as upstream_standin

Fault = upstream_standin.Fault


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))


def test_state_and_metrics_are_served_on_request():
    # Guards against a state or metrics page without the values that operators
    # need to find a cause.
    async def scenario():
        reserved = ports.reserve_ports(1)
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            await cluster.add_upstream('u1')
            cluster.vms[0].start()
            cluster.vms[0].process.metrics_port = reserved.ports[0]
            await cluster.wait_until(cluster.all_ready)
            await cluster.send('/browse/x')
            base = f'http://127.0.0.1:{reserved.ports[0]}'
            async with cluster.session.get(f'{base}/state') as response:
                state = await response.json()
            async with cluster.session.get(f'{base}/metrics') as response:
                metrics = await response.text()
            assert state['configuration'] == 1
            assert state['upstreams']['u1']['set_aside'] is False
            assert state['upstreams_age_s'] < 3.0
            request_count = (
                'requests_total{outcome="answer",service="catalog"} 1.0'
            )
            assert request_count in metrics
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
def test_log_line_of_a_failed_request_states_its_cause(
    fault, path, outcome, reason
):
    # Checks docs/OPERATIONS.md: the log line with the request id states the
    # cause.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            await cluster.add_upstream('u1', fault=fault)
            await cluster.start()
            return await cluster.send(path, body=b'tabs')

    reply, lines = run_with_log(scenario())
    found = [line for line in lines if line.get('id') == reply.request_id]
    assert [line['outcome'] for line in found] == [outcome]
    assert found[0]['reason'] == reason
    assert found[0]['configuration'] == 1


def test_log_line_names_the_row_and_the_upstream_that_answered():
    # Guards against requests at the wrong upstream that the log can't
    # explain: by which row and connection they got there, and who answered.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            holder = await cluster.add_upstream('holder', service='orders')
            gone = upstream_standin.UpstreamStandIn(
                'gone', address=holder.address, incarnation=7
            )
            cluster.write_upstream(gone)
            await cluster.start()
            return await cluster.send('/browse/x')

    reply, lines = run_with_log(scenario())
    (line,) = [x for x in lines if x.get('id') == reply.request_id]
    attempt = line['attempts'][0]
    assert attempt['upstream'] == 'gone'
    assert attempt['born'] == 7
    assert attempt['row'] == 3
    assert attempt['rows_version'] >= 3
    assert attempt['rows_age_ms'] >= 0
    assert attempt['kept_connection'] is False
    assert attempt['answered_by'] == 'holder'
    assert attempt['outcome'] == 'misdirected'
    assert line['configuration_age_ms'] >= 0
    (event,) = [x for x in lines if x['event'] == 6009]
    assert event['answered_by'] == 'holder'


def test_refused_head_is_logged_with_its_request_id():
    # Guards against requests that are refused unread and that no line of the
    # log belongs to.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            await cluster.add_upstream('u1')
            await cluster.start()
            return await raw_client.exchange(
                cluster.vms[0].listen['front'],
                b'GET /browse/ HTTP/1.1\r\n',
                b'X-Request-Id: r-9\r\nbad line\r\n\r\n',
            )

    response, lines = run_with_log(scenario())
    assert response.status == 400
    (line,) = [x for x in lines if x.get('id') == 'r-9']
    assert line['reason'] == 'malformed'
    assert line['line'] == 'GET /browse/ HTTP/1.1'


def run_with_log(scenario):
    """Return the result of a scenario and the log lines written meanwhile."""
    stream = io.StringIO()
    writer = event_logs.LineWriter(stream)
    results = []
    with writer:
        asyncio.run(asyncio.wait_for(append_result(scenario, results), 30))
    writer.close()
    return results[0], [json.loads(x) for x in stream.getvalue().splitlines()]


def test_logs_state_the_cause_of_a_late_request_in_a_store_outage(tmp_path):
    # Checks the third case of docs/OPERATIONS.md with the page's commands: an
    # upstream hangs during a store outage, so that the VM does not see that
    # it is leaving.
    async def scenario():
        async with clusters.EdgeCluster(('a1',)) as cluster:
            cluster.configure()
            hanging = await cluster.add_upstream('u1')
            await cluster.start()
            cluster.store.down = True
            await asyncio.sleep(1.5)
            hanging.work_s = 0.8
            return await cluster.send('/browse/x')

    replies = []
    with (tmp_path / 'vm.log').open('w') as stream:
        writer = event_logs.LineWriter(stream)
        with writer:
            asyncio.run(
                asyncio.wait_for(append_result(scenario(), replies), 30)
            )
        writer.close()
    by_request = run_documented_grep(
        '"id": "REQUEST_ID"', tmp_path, replies[0].request_id
    )
    assert by_request[0]['outcome'] == 'answer'
    assert by_request[0]['took_ms'] >= 800
    assert by_request[0]['upstreams_age_ms'] >= 1000
    outages = run_documented_grep('"event": 400[12]', tmp_path)
    assert [line['event'] for line in outages][:1] == [4001]
    assert outages[0]['t'] < by_request[0]['t']


def run_documented_grep(pattern, folder, request_id=''):
    """Run the page's grep command for a pattern; return the log lines."""
    page = pathlib.Path('docs/OPERATIONS.md').read_text()
    (command,) = {
        line.strip()
        for line in page.splitlines()
        if line.startswith('    grep -h ') and pattern in line
    }
    command = command.replace('LOGS', str(folder))
    command = command.replace('REQUEST_ID', request_id)
    found = subprocess.run(
        ['sh', '-c', command], capture_output=True, text=True, check=True
    )
    return [json.loads(line) for line in found.stdout.splitlines()]


async def append_result(scenario, replies):
    replies.append(await scenario)
