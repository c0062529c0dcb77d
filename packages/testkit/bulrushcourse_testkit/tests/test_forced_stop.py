"""Guards against requests that a forced stop ends without an answer."""

import asyncio
import collections
import signal

import attrs

from bulrushcourse_testkit import cluster as clusters

ENTRY = 'entry-ro-nord-1'
SLOTS = 2
WAITING = 4


def small_pools():
    """Return example objects with one catalog instance of few slots."""
    example = clusters.example_objects('filatab')
    first, *others = example.pools
    small = attrs.evolve(first, slots=SLOTS, instances=first.instances[:1])
    return attrs.evolve(example, pools=(small, *others))


async def send(cluster):
    port = cluster.entry_ports[ENTRY].callers
    url = f'http://{clusters.HOST}:{port}/v1/services/catalog/a'
    async with cluster.session.post(
        url, headers={'Bulrushcourse-Deadline-Ms': '5000'}
    ) as response:
        await response.read()
        return response.headers['Bulrushcourse-Outcome']


async def wait_for_requests(cluster):
    async with asyncio.timeout(10):
        while True:
            state = await cluster.call_operators(ENTRY, '/v1/state')
            source = state['slots']['source']
            if source['held'] and source['undecided'] >= WAITING:
                return source['held']
            await asyncio.sleep(0.02)


async def run(directory):
    async with clusters.Cluster(directory, small_pools(), [ENTRY]) as cluster:
        await cluster.set_upstream('all', hang=True)
        callers = [
            asyncio.create_task(send(cluster)) for _ in range(SLOTS + WAITING)
        ]
        passed_on = await wait_for_requests(cluster)
        process = cluster.processes[ENTRY]
        process.signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        process.signal(signal.SIGTERM)
        outcomes = collections.Counter(await asyncio.gather(*callers))
        assert await process.wait() == 0
        assert 'E1005' in process.log.read_text()
    assert outcomes == {
        'unknown': passed_on,
        'not-run': len(callers) - passed_on,
    }


def test_second_signal_ends_each_request_with_its_outcome(tmp_path):
    asyncio.run(run(tmp_path))
