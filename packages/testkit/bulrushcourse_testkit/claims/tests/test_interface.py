"""The HTTP interface for keys and outcomes, with three real entries."""

import asyncio
import signal

import aiohttp

from bulrushcourse_testkit import cluster as clusters

ENTRIES = ['entry-ro-nord-1', 'entry-ro-nord-2', 'entry-ro-sud-1']
OUTCOME = 'Bulrushcourse-Outcome'


def with_cluster(scenario):
    """Make a test that runs a scenario against three entries of Filatab."""

    def test(tmp_path):
        async def run():
            objects = clusters.example_objects('filatab')
            async with clusters.Cluster(tmp_path, objects, ENTRIES) as cluster:
                await scenario(cluster)

        asyncio.run(run())

    test.__doc__ = scenario.__doc__
    return test


async def call(cluster, entry, method, path, key='', data=None, timeout_s=10):
    port = cluster.entry_ports[entry].callers
    url = f'http://{clusters.HOST}:{port}/v1/services/orders/{path}'
    headers = {'Idempotency-Key': key} if key else {}
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with cluster.session.request(
        method, url, headers=headers, data=data, timeout=timeout
    ) as response:
        reply = response.headers.get(OUTCOME)
        return response.status, reply, await response.read()


async def request_key(cluster, entry):
    port = cluster.entry_ports[entry].callers
    url = f'http://{clusters.HOST}:{port}/v1/services/orders/keys?count=1'
    async with cluster.session.post(url) as response:
        assert response.status == 201
        return (await response.json())['keys'][0]


async def count_runs(cluster, key):
    journal = await cluster.observe(cluster.upstreams_port, 'journal')
    return sum(run['key'] == key for run in journal)


@with_cluster
async def test_resend_through_any_entry_gets_the_same_answer(cluster):
    """Guards against a second run or a different answer on a resend.

    This holds for both kinds of keys and for small and large answers.
    """
    for size in (64, 100_000):
        for key in (f'free/{size}', await request_key(cluster, ENTRIES[0])):
            path = f'o?size={size}&work_ms=20'
            replies = [
                await call(cluster, entry, 'POST', path, key, b'body')
                for entry in ENTRIES
            ]
            assert {(s, o) for s, o, _ in replies} == {(200, 'done')}
            assert len({body for _, _, body in replies}) == 1
            assert len(replies[0][2]) == size
            assert await count_runs(cluster, key) == 1


@with_cluster
async def test_disconnected_caller_gets_its_answer_later(cluster):
    """Guards against a disconnect that stops or repeats a run."""
    for key in ('left', await request_key(cluster, ENTRIES[0])):
        try:
            await call(
                cluster, ENTRIES[0], 'POST', 'o?work_ms=600', key, b'x', 0.2
            )
        except TimeoutError:
            pass
        status, reply, body = await call(
            cluster, ENTRIES[1], 'POST', 'o?work_ms=600', key, b'x'
        )
        assert (status, reply) == (200, 'done')
        queried = await call(cluster, ENTRIES[2], 'GET', f'outcomes/{key}')
        assert queried == (200, 'done', body)
        assert await count_runs(cluster, key) == 1


@with_cluster
async def test_key_with_another_body_is_refused(cluster):
    """Guards against returning the answer to another request."""
    for key in ('twice', await request_key(cluster, ENTRIES[0])):
        await call(cluster, ENTRIES[0], 'POST', 'o', key, b'one')
        for entry in ENTRIES:
            status, reply, _ = await call(
                cluster, entry, 'POST', 'o', key, b'two'
            )
            assert (status, reply) == (422, 'unknown')
        assert await count_runs(cluster, key) == 1


@with_cluster
async def test_outcome_of_a_key_without_a_record_is_unknown(cluster):
    """Guards against taking a missing record as proof of not-run."""
    key = await request_key(cluster, ENTRIES[0])
    forged = key[:-1] + ('0' if key[-1] != '0' else '1')
    for queried_key in ('never-sent', key, forged):
        for entry in ENTRIES:
            status, reply, _ = await call(
                cluster, entry, 'GET', f'outcomes/{queried_key}'
            )
            assert (status, reply) == (200, 'unknown')
    status, reply, _ = await call(
        cluster, ENTRIES[0], 'POST', 'o', forged, b'x'
    )
    assert (status, reply) == (400, 'unknown')
    cluster.processes[ENTRIES[0]].signal(signal.SIGKILL)
    await cluster.processes[ENTRIES[0]].wait()
    await cluster.start_entry(ENTRIES[0])
    await cluster.wait_ready(ENTRIES[0])
    for entry in ENTRIES:
        _, reply, _ = await call(cluster, entry, 'POST', 'o', key, b'x')
        assert reply == 'unknown'
    assert await count_runs(cluster, key) == 0


@with_cluster
async def test_early_refusal_of_a_key_that_ran_is_unknown(cluster):
    """Guards against not-run for a rejected resend of a key that ran."""
    await call(cluster, ENTRIES[0], 'POST', 'o', 'ran', b'x')
    status, reply, _ = await call(
        cluster, ENTRIES[1], 'POST', 'o', 'ran', b'x' * 2_000_000
    )
    assert (status, reply) == (413, 'unknown')


@with_cluster
async def test_refused_order_never_runs(cluster):
    """Guards against a run of a key after ``not-run``, at any entry."""
    await cluster.set_upstream('all', shed=True)
    for key in ('shed', await request_key(cluster, ENTRIES[0])):
        _, reply, _ = await call(cluster, ENTRIES[0], 'POST', 'o', key, b'x')
        assert reply == 'not-run'
    await cluster.set_upstream('all')
    for entry in ENTRIES:
        _, reply, _ = await call(cluster, entry, 'POST', 'o', key, b'x')
        assert reply == 'not-run'
        _, reply, _ = await call(cluster, entry, 'POST', 'o', 'shed', b'x')
        assert reply == 'not-run'
    assert (
        await count_runs(cluster, 'shed')
        == await count_runs(cluster, key)
        == 0
    )


@with_cluster
async def test_planned_stop_records_runs_of_disconnected_callers(cluster):
    """Guards against a planned stop that loses the outcome of a run.

    The caller of the run has already disconnected.
    """
    try:
        await call(
            cluster, ENTRIES[0], 'POST', 'o?work_ms=1500', 'stop', b'x', 0.3
        )
    except TimeoutError:
        pass
    cluster.processes[ENTRIES[0]].signal(signal.SIGTERM)
    assert await cluster.processes[ENTRIES[0]].wait() == 0
    _, reply, _ = await call(cluster, ENTRIES[1], 'GET', 'outcomes/stop')
    assert reply == 'done'
