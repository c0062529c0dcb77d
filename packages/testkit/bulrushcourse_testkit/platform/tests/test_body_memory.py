"""The memory of bodies counts until nothing refers to them, and no longer.

The collector of cyclic references is off: a body in a cycle would stay, and
its memory with it, until the collector of the oldest generation runs.
"""

import asyncio
import contextlib
import functools
import gc

import pytest

from bulrushcourse_domain.resources import memory as memories
from bulrushcourse_entry.edge.callers import body_content
from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import upstream_faults

Fault = upstream_faults.Fault

BODY = b'x' * (1 << 20)
# Smaller contents are responses that name their request.
SMALL_BYTES = 1000
WORK_S = 0.6
RULES = (
    documents.rule('/browse/', max_attempts=3),
    documents.rule('/order/', kind='non_idempotent'),
    documents.rule('/upload/', kind='upload'),
)
PATHS = ('/browse/1', '/order/1', '/upload/1')
FAULTS = (
    Fault.NONE,
    Fault.UNFRAMED,
    Fault.UNFRAMED_RESET,
    Fault.CUT,
    Fault.HEAD_CUT,
    Fault.LOSE_ANSWER,
    Fault.SHED,
    Fault.ERROR,
    Fault.SILENT,
    Fault.ENDLESS_BODY,
    Fault.ENDLESS_HEAD,
    Fault.ENDLESS_CHUNKS,
)


@contextlib.contextmanager
def without_collector():
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


@contextlib.asynccontextmanager
async def running_cluster():
    async with clusters.EdgeCluster() as cluster:
        cluster.configure(1, *RULES)
        for name in ('u1', 'u2'):
            await cluster.add_upstream(name, slots=20)
        await cluster.start()
        with without_collector():
            yield cluster


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 60))


def living_bytes():
    """Return the sizes of the large bodies that are still in memory."""
    return sum(
        thing.size
        for thing in gc.get_objects()
        if isinstance(thing, body_content.Content) and thing.size > SMALL_BYTES
    )


def counted(cluster):
    used = cluster.vms[0].process.state.memory.used_bytes
    return used[memories.Use.REQUESTS], used[memories.Use.RESPONSES]


async def check_nothing_left(cluster):
    async def is_free():
        return counted(cluster) == (0, 0)

    with contextlib.suppress(TimeoutError):
        await cluster.wait_until(is_free, 3.0)
    assert (living_bytes(), counted(cluster)) == (0, (0, 0))


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('fault', FAULTS)
def test_body_is_free_at_the_end_of_its_request(path, fault):
    # Guards against finished uploads that stay in memory, while others are
    # admitted into what they were thought to have returned.
    async def scenario():
        async with running_cluster() as cluster:
            for upstream in cluster.upstreams.values():
                upstream.fault = fault
            reply = await cluster.send(path, body=BODY, deadline_ms=500)
            assert reply.status
            await check_nothing_left(cluster)

    run(scenario)


@pytest.mark.parametrize('path', PATHS)
def test_body_counts_while_it_runs_without_its_client(path):
    # Guards against uploads that are admitted into the memory of runs that go
    # on after their clients have left.
    async def scenario():
        async with running_cluster() as cluster:
            for upstream in cluster.upstreams.values():
                upstream.work_s = WORK_S
            task = asyncio.create_task(cluster.send(path, body=BODY))

            async def is_running():
                return any(u.arrivals for u in cluster.upstreams.values())

            await cluster.wait_until(is_running)
            task.cancel()
            await asyncio.sleep(WORK_S / 3)
            goes_on = path != '/browse/1'
            assert living_bytes() == goes_on * len(BODY)
            assert counted(cluster)[0] == goes_on * len(BODY)
            await check_nothing_left(cluster)

    run(scenario)


@pytest.mark.parametrize('path', ['/none/1', '/upload/1'])
def test_refused_body_leaves_nothing(path):
    # Guards against bodies that were refused halfway and stay in memory.
    async def scenario():
        async with running_cluster() as cluster:
            memory = cluster.vms[0].process.state.memory
            memory.total_bytes = len(BODY)
            reply = await cluster.send(path, body=BODY)
            assert reply.status in (0, 404, 503)
            await check_nothing_left(cluster)

    run(scenario)


@pytest.mark.parametrize('sent', [1 << 10, len(BODY) // 2])
def test_upload_whose_client_leaves_halfway_leaves_nothing(sent):
    # Guards against the received part of a body that stays in memory.
    async def scenario():
        async with running_cluster() as cluster:
            host, _, port = cluster.vms[0].listen['front'].rpartition(':')
            _, writer = await asyncio.open_connection(host, int(port))
            head = (
                f'POST /upload/1 HTTP/1.1\r\nHost: {documents.HOST}\r\n'
                f'X-Request-Id: r1\r\nContent-Length: {len(BODY)}\r\n\r\n'
            )
            writer.write(head.encode() + BODY[:sent])
            await writer.drain()

            async def is_counted():
                return counted(cluster)[0] == len(BODY)

            await cluster.wait_until(is_counted)
            writer.close()
            await check_nothing_left(cluster)

    run(scenario)


@pytest.mark.parametrize('path', PATHS)
def test_response_is_free_on_a_kept_connection(path):
    # Guards against large responses that stay in memory until the next request
    # on their connection.
    async def scenario():
        async with running_cluster() as cluster:
            for upstream in cluster.upstreams.values():
                upstream.content = BODY
            for _ in range(2):
                reply = await cluster.send(path)
                assert reply.body == BODY
            await check_nothing_left(cluster)

    run(scenario)


def test_response_counts_until_its_client_has_it():
    # Guards against responses that are admitted into the memory of those that
    # clients read slowly.
    async def scenario():
        async with running_cluster() as cluster:
            content = BODY * 8
            for upstream in cluster.upstreams.values():
                upstream.content = content
            host, _, port = cluster.vms[0].listen['front'].rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f'GET /browse/1 HTTP/1.1\r\nHost: {documents.HOST}\r\n'
                'X-Request-Id: r1\r\n\r\n'.encode()
            )
            await reader.readuntil(b'\r\n\r\n')
            await asyncio.sleep(0.2)
            assert counted(cluster)[1] >= len(content)
            await reader.readexactly(len(content))
            await check_nothing_left(cluster)
            writer.close()

    run(scenario)


def test_pipelined_responses_of_a_lost_connection_leave_nothing():
    # Guards against responses that nobody writes any more.
    async def scenario():
        async with running_cluster() as cluster:
            for upstream in cluster.upstreams.values():
                upstream.content = BODY
            host, _, port = cluster.vms[0].listen['front'].rpartition(':')
            _, writer = await asyncio.open_connection(host, int(port))
            for number in range(5):
                writer.write(
                    f'GET /browse/1 HTTP/1.1\r\nHost: {documents.HOST}\r\n'
                    f'X-Request-Id: r{number}\r\n\r\n'.encode()
                )

            async def is_counted():
                return counted(cluster)[1] > len(BODY)

            await cluster.wait_until(is_counted)
            writer.transport.abort()
            await check_nothing_left(cluster)

    run(scenario)


def test_hedged_request_leaves_nothing():
    # Guards against the attempt that lost the race.
    async def scenario():
        async with running_cluster() as cluster:
            for upstream in cluster.upstreams.values():
                upstream.fault = Fault.SILENT
            send = functools.partial(cluster.send, '/browse/1', body=BODY)
            await asyncio.gather(*(send(deadline_ms=900) for _ in range(3)))
            await check_nothing_left(cluster)

    run(scenario)
