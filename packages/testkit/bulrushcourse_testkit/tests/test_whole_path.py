"""Requests through one entry process, with bad input and failing upstreams."""

import asyncio
import hashlib
import pathlib
import signal

import aiohttp
import pytest

from bulrushcourse_testkit import cluster as clusters

ENTRY = 'entry-ro-nord-1'


async def open_cluster(directory: pathlib.Path) -> clusters.Cluster:
    cluster = clusters.Cluster(
        directory, clusters.example_objects('filatab'), [ENTRY]
    )
    return await cluster.__aenter__()


def with_cluster(scenario):
    """Return a test that runs a scenario with one entry of Filatab."""

    def test(tmp_path):
        async def run():
            cluster = await open_cluster(tmp_path)
            try:
                await scenario(cluster)
            finally:
                await cluster.stop()

        asyncio.run(run())

    test.__doc__ = scenario.__doc__
    return test


def url(cluster, path: str) -> str:
    port = cluster.entry_ports[ENTRY].callers
    return f'http://{clusters.HOST}:{port}{path}'


async def get(cluster, path, **options):
    async with cluster.session.get(url(cluster, path), **options) as response:
        return response.status, dict(response.headers), await response.read()


@with_cluster
async def test_responses_are_complete_and_match_their_requests(cluster):
    """Guards against mixed up, truncated or delayed responses."""

    async def check(number: int, size: int) -> None:
        path = f'/r{number}?size={size}&work_ms=5'
        status, headers, body = await get(
            cluster, f'/v1/services/catalog{path}'
        )
        digest = hashlib.sha256(path.encode()).hexdigest()
        assert (status, headers['Bulrushcourse-Outcome']) == (200, 'done')
        assert body.decode() == (digest * (size // 64 + 1))[:size]

    await asyncio.gather(
        *(check(n, size) for n in range(20) for size in (64, 200_000))
    )


@with_cluster
async def test_bad_requests_get_problem_details(cluster):
    """Guards against tracebacks, and bad input that reaches an upstream."""
    service = '/v1/services/catalog/x'
    cases = [
        ('/v1/services/nothing/x', {}, 404),
        (service, {'Bulrushcourse-Class': 'loud'}, 400),
        (service, {'Bulrushcourse-Deadline-Ms': '-1'}, 400),
        (service, {'Bulrushcourse-Deadline-Ms': 'soon'}, 400),
        (service, {'Idempotency-Key': 'k' * 300}, 400),
    ]
    for path, headers, expected in cases:
        status, response_headers, body = await get(
            cluster, path, headers=headers
        )
        assert status == expected, body
        assert response_headers['Content-Type'].startswith(
            'application/problem+json'
        )
        assert response_headers['Bulrushcourse-Outcome'] == 'not-run'
    status, _, _ = await get(cluster, service, headers={'X': 'y' * 40_000})
    assert status == 400
    async with cluster.session.post(
        url(cluster, service), data=b'x' * 100_000
    ) as response:
        assert response.status == 413
    assert await cluster.observe(cluster.upstreams_port, 'journal') == []


@with_cluster
async def test_a_slow_body_occupies_no_slot(cluster):
    """Guards against slow request bodies that use up slots."""

    async def trickle():
        yield b'x'
        await asyncio.sleep(60)

    async def send():
        async with cluster.session.post(
            url(cluster, '/v1/services/catalog/slow'),
            data=trickle(),
            headers={'Bulrushcourse-Deadline-Ms': '700'},
        ) as response:
            return response.status

    senders = [asyncio.create_task(send()) for _ in range(60)]
    await asyncio.sleep(0.3)
    status, _, _ = await get(cluster, '/v1/services/catalog/quick')
    assert status == 200
    assert set(await asyncio.gather(*senders)) == {408}


@with_cluster
async def test_a_truncated_response_never_looks_complete(cluster):
    """Guards against partial responses that a caller mistakes for complete."""
    await cluster.set_upstream('all', truncate=True)
    status, headers, _ = await get(cluster, '/v1/services/catalog/short')
    assert (status, headers['Bulrushcourse-Outcome']) == (502, 'unknown')
    with pytest.raises(aiohttp.ClientError):
        await get(cluster, '/v1/services/catalog/big?size=400000')


@with_cluster
async def test_a_request_to_a_hanging_upstream_ends_at_its_deadline(cluster):
    """Guards against callers that wait forever."""
    await cluster.set_upstream('all', hang=True)
    status, headers, _ = await get(
        cluster,
        '/v1/services/catalog/never',
        headers={'Bulrushcourse-Deadline-Ms': '300'},
    )
    assert (status, headers['Bulrushcourse-Outcome']) == (504, 'unknown')


@with_cluster
async def test_a_shed_order_is_reported_as_not_run(cluster):
    """Guards against outcomes that claim more or less than is known."""
    await cluster.set_upstream('all', shed=True)
    async with cluster.session.post(
        url(cluster, '/v1/services/orders/o1'), data=b'one'
    ) as response:
        assert response.headers['Bulrushcourse-Outcome'] == 'not-run'
    await cluster.set_upstream('all', reset=True)
    async with cluster.session.post(
        url(cluster, '/v1/services/orders/o2'), data=b'two'
    ) as response:
        assert response.headers['Bulrushcourse-Outcome'] == 'unknown'
    journal = await cluster.observe(cluster.upstreams_port, 'journal')
    assert [run['path'] for run in journal] == ['/o2']


@with_cluster
async def test_a_peer_that_sends_garbage_is_refused(cluster):
    """Guards against unauthenticated connections to the peers' listener."""
    reader, writer = await asyncio.open_connection(
        clusters.HOST, cluster.entry_ports[ENTRY].peers
    )
    writer.write(b'GET / HTTP/1.1\r\n\r\n' * 10)
    assert await asyncio.wait_for(_read_to_end(reader), 10) is None
    log = cluster.processes[ENTRY].log.read_text()
    assert 'E3003' in log
    assert (await get(cluster, '/v1/services/catalog/x'))[0] == 200


async def _read_to_end(reader: asyncio.StreamReader) -> None:
    try:
        while await reader.read(1024):
            pass
    except ConnectionError:
        return


@with_cluster
async def test_operators_need_the_token_and_dumps_contain_no_secret(cluster):
    """Guards against unauthenticated operators and leaked secrets."""
    port = cluster.entry_ports[ENTRY].operators
    state = f'http://{clusters.HOST}:{port}/v1/state'
    async with cluster.session.get(state) as response:
        assert response.status == 401
    dump = str(await cluster.call_operators(ENTRY, '/v1/state'))
    assert clusters.TOKEN not in dump
    assert clusters.SECRET not in dump
    log = cluster.processes[ENTRY].log.read_text()
    assert 'E9001' in log
    assert clusters.TOKEN not in log


@with_cluster
async def test_a_graceful_stop_finishes_work_in_flight(cluster):
    """Guards against requests that a planned stop interrupts."""
    calls = [
        asyncio.create_task(
            get(cluster, f'/v1/services/artwork/a{n}?work_ms=1500')
        )
        for n in range(8)
    ]
    await asyncio.sleep(0.3)
    cluster.processes[ENTRY].signal(signal.SIGTERM)
    statuses = [(await call)[0] for call in calls]
    assert statuses == [200] * 8
    assert await cluster.processes[ENTRY].wait() == 0
    assert 'E1005' not in cluster.processes[ENTRY].log.read_text()


@with_cluster
async def test_a_leaving_upstream_gets_no_new_work_after_two_seconds(cluster):
    """Guards against new work for an instance that is draining."""
    names = [f'catalog-{n}' for n in (1, 2, 7, 8, 13)]

    async def count_arrivals() -> int:
        peaks = await cluster.observe(cluster.upstreams_port, 'peaks')
        return sum(peaks[name]['arrived'] for name in names)

    async def send_load() -> None:
        for number in range(200):
            await get(cluster, f'/v1/services/catalog/l{number}')

    loads = [asyncio.create_task(send_load()) for _ in range(4)]
    await asyncio.sleep(0.5)
    assert await count_arrivals() > 0
    for name in names:
        await cluster.set_upstream(name, state='draining')
    await asyncio.sleep(2)
    before = await count_arrivals()
    await asyncio.gather(*loads)
    assert await count_arrivals() == before


@with_cluster
async def test_a_second_signal_ends_a_pending_shutdown(cluster):
    """Guards against an entry that cannot be stopped while work hangs."""
    await cluster.set_upstream('all', hang=True)
    call = asyncio.create_task(get(cluster, '/v1/services/artwork/hangs'))
    await asyncio.sleep(0.5)
    process = cluster.processes[ENTRY]
    process.signal(signal.SIGTERM)
    await asyncio.sleep(0.5)
    assert process.process.returncode is None
    process.signal(signal.SIGTERM)
    # Far less than the stop limit and the request's deadline, 60 s each.
    assert await asyncio.wait_for(process.wait(), 20) == 0
    assert 'E1005' in process.log.read_text()
    # The request was passed on, so that it may have run.
    status, headers, _ = await call
    assert (status, headers['Bulrushcourse-Outcome']) == (502, 'unknown')
