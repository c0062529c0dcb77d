"""Many upstreams that send without end at once take a bounded memory.

The VM runs as a real process whose settings give it a small memory. Each
stream was run before the bounds existed; ``BEFORE`` has the peak memory in MB
that 60 connections took then.
"""

import asyncio

import aiohttp
import pytest

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import flood as floods
from bulrushcourse_testkit.platform import process_watch
from bulrushcourse_testkit.platform import soak_vms
from bulrushcourse_testkit.standins import fault_proxy

pytestmark = pytest.mark.alone

# Settings of the VM, which are the bounds that are checked.
MEMORY_MB = 96
DESCRIPTORS = 400
CALLERS = 60
FAULTY_UPSTREAMS = 4
HEALTH_CHECKS = 40
HEALTH_STREAMS = ('long_fields', 'interim', 'answers', 'no_length')
ROUTE_TIMEOUT_S = 2
UPLOADS = 4
MIB = 1 << 20
RULES = (
    documents.rule('/browse/', timeout='6s', max_attempts=3),
    documents.rule('/order/', kind='non_idempotent', timeout='6s'),
    documents.rule('/art/', service='artwork', timeout='9s'),
)
SHORT_RULES = (
    documents.rule('/browse/', timeout=f'{ROUTE_TIMEOUT_S}s'),
    documents.rule(
        '/order/', kind='non_idempotent', timeout=f'{ROUTE_TIMEOUT_S}s'
    ),
)
BEFORE = {
    'status_line': 56,
    'no_protocol': 86,
    'one_field': 56,
    'field_name': 56,
    'short_fields': 54,
    'long_fields': 93,
    'empty_lines': 48,
    'interim': 377,
    'interim_fields': 315,
    'switched': 48,
    'answers': 424,
    'answers_with_body': 409,
    'no_length': 73,
    'length': 75,
    'large_chunks': 75,
    'small_chunks': 107,
    'one_chunk': 74,
    'chunk_digits': 48,
    'chunk_extension': 48,
    'short_trailers': 55,
    'one_trailer': 56,
}
# One of each kind: in the head, before it, in a body and around it.
TRICKLING = (
    'status_line',
    'short_fields',
    'interim',
    'no_length',
    'small_chunks',
    'short_trailers',
)


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


async def start_vm(cluster, tmp_path):
    vm = cluster.vms[0]
    vm.document['self']['limits'] = {
        'memory_mb': MEMORY_MB,
        'max_fds': DESCRIPTORS,
    }
    link = fault_proxy.Link('unused', 0, cluster.store.address)
    soaked = soak_vms.SoakVm(vm, tmp_path, link)
    await soaked.start()
    return soaked


async def start_flood(cluster, flood, upstreams=FAULTY_UPSTREAMS):
    await flood.start()
    for number in range(upstreams):
        row = {
            **cluster.upstreams['sound'].row,
            'service': 'catalog',
            'address': flood.address,
        }
        cluster.store.put('servers', f'faulty{number}', row)


async def play(tmp_path, stream, path):
    """Send requests to upstreams that send without end; check the VM."""
    async with clusters.EdgeCluster() as cluster:
        cluster.configure(1, *RULES)
        sound = await cluster.add_upstream(
            'sound', service='artwork', work_s=3.0, slots=100
        )
        flood = floods.Flood((stream,), CALLERS)
        await start_flood(cluster, flood)
        soaked = await start_vm(cluster, tmp_path)
        try:
            await cluster.wait_until(cluster.all_ready)
            watch = process_watch.ProcessWatch(soaked.process)
            sampling = asyncio.create_task(watch.sample())
            in_progress = asyncio.create_task(
                cluster.send('/art/slow', deadline_ms=9000)
            )
            replies = await asyncio.gather(
                *(
                    cluster.send(f'{path}{n}', deadline_ms=6000)
                    for n in range(CALLERS)
                )
            )
            slow = await in_progress
            await cluster.wait_until(flood.is_over)
            sampling.cancel()
            watch.read()
            seen = (
                f'{stream.name}: {watch.memory_mb:.0f} MB,'
                f' {BEFORE[stream.name]} MB before the bounds,'
                f' {watch.descriptors} descriptors'
            )
            print('measured', seen)
            assert soaked.process.returncode is None, seen
            assert watch.memory_mb < MEMORY_MB, seen
            assert watch.descriptors <= DESCRIPTORS, seen
            assert not any(reply.is_own_answer for reply in replies)
            assert slow.is_own_answer
            sound.work_s = 0.01
            reply = await cluster.send('/art/x', deadline_ms=9000)
            assert reply.is_own_answer, reply
        finally:
            await soaked.kill()
            flood.server.close()


@pytest.mark.parametrize('stream', floods.STREAMS, ids=lambda s: s.name)
def test_answers_without_end_on_many_connections(tmp_path, stream):
    # Guards against memory that answers take before the budget counts it.
    run(play(tmp_path, stream, '/order/'))


@pytest.mark.parametrize('name', ('answers', 'interim', 'no_length'))
def test_repeated_attempts_at_upstreams_without_end(tmp_path, name):
    # Guards against memory that each further attempt at another upstream
    # adds to that of the one before.
    run(play(tmp_path, floods.BY_NAME[name], '/browse/'))


@pytest.mark.parametrize('name', HEALTH_STREAMS)
def test_health_responses_without_end(tmp_path, name):
    # Guards against health responses, which decide where requests with home
    # regions may go, that are kept as far as they come.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure(
                1,
                documents.rule('/home/', home_regions=['a'], timeout='6s'),
                documents.rule('/art/', service='artwork', timeout='9s'),
            )
            await cluster.add_upstream('sound', service='artwork')
            flood = floods.Flood((floods.BY_NAME[name],), HEALTH_CHECKS)
            await start_flood(cluster, flood, HEALTH_CHECKS)
            soaked = await start_vm(cluster, tmp_path)
            try:
                await cluster.wait_until(cluster.all_ready)
                watch = process_watch.ProcessWatch(soaked.process)
                replies = await asyncio.gather(
                    *(
                        cluster.send(f'/home/{n}', deadline_ms=4000)
                        for n in range(CALLERS)
                    )
                )
                await cluster.wait_until(flood.is_over)
                watch.read()
                seen = f'{watch.memory_mb:.0f} MB, {flood.arrived} arrivals'
                print('measured', name, seen, {r.status for r in replies})
                assert flood.health_checks >= HEALTH_CHECKS / 2, seen
                assert soaked.process.returncode is None, seen
                assert watch.memory_mb < MEMORY_MB, seen
                reply = await cluster.send('/art/x', deadline_ms=9000)
                assert reply.is_own_answer, reply
            finally:
                await soaked.kill()
                flood.server.close()

    run(scenario())


@pytest.mark.parametrize('caller_leaves', (False, True))
@pytest.mark.parametrize('path', ('/browse/', '/order/'))
def test_answers_that_trickle_end_with_the_routes_time(caller_leaves, path):
    # Guards against an answer of a few bytes at a time that keeps its
    # connection for ever, also after its caller has left.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure(1, *SHORT_RULES)
            await cluster.add_upstream('sound', service='artwork')
            streams = tuple(floods.BY_NAME[name] for name in TRICKLING)
            flood = floods.Flood(streams, len(streams), True)
            await start_flood(cluster, flood)
            await cluster.start()
            sending = [
                asyncio.create_task(
                    cluster.send(f'{path}{n}', deadline_ms=60_000)
                )
                for n in range(len(streams))
            ]
            await flood.all_arrived.wait()
            if caller_leaves:
                for task in sending:
                    task.cancel()
            else:
                replies = await asyncio.gather(*sending)
                assert {reply.status for reply in replies} == {504}
            await cluster.wait_until(flood.is_over)
            flood.server.close()

    run(scenario())


@pytest.mark.parametrize('answer', ('early', 'interim', 'no_length'))
def test_answer_before_the_end_of_an_upload_keeps_no_connection(
    tmp_path, answer
):
    # Guards against a request that is still being written, to an upstream
    # that reads no more of it, after its answer has been passed on.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            rule = documents.rule(
                '/upload/', kind='upload', timeout=f'{ROUTE_TIMEOUT_S}s'
            )
            document = documents.configuration(1, rule)
            document['limits']['max_body_bytes'] = 8 * MIB
            cluster.store.put('op', 'config', document)
            await cluster.add_upstream('sound', service='artwork')
            flood = floods.Flood((floods.BY_NAME[answer],), 1, True)
            await start_flood(cluster, flood)
            soaked = await start_vm(cluster, tmp_path)
            try:
                await cluster.wait_until(cluster.all_ready)
                watch = process_watch.ProcessWatch(soaked.process)
                watch.read()
                body = bytes(6 * MIB)
                replies = await asyncio.gather(
                    *(
                        cluster.send(f'/upload/{n}', body=body)
                        for n in range(UPLOADS)
                    )
                )
                print('measured', answer, [r.status for r in replies])
                assert flood.arrived
                await cluster.session.close()
                cluster.session = aiohttp.ClientSession()

                async def has_closed_connections():
                    return watch.open_descriptors() <= watch.descriptors

                await cluster.wait_until(has_closed_connections)
            finally:
                await soaked.kill()
                flood.server.close()

    run(scenario())
