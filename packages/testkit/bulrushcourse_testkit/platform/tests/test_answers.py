"""Each caller gets the complete response to its own request or a true error.

Each test runs edge processes between stand-ins on loopback and injects one
fault.
"""

import asyncio

import pytest

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import upstream as upstream_standin

Fault = upstream_standin.Fault
REFUSAL_STATUSES = (408, 421, 429, 503)


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))


def test_extra_responses_do_not_reach_other_requests():
    # Guards against delivering a stray second response to the next request
    # on a reused connection.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            await cluster.add_upstream('u1', fault=Fault.EXTRA_ANSWER)
            await cluster.start()
            replies = [await cluster.send('/browse/x') for _ in range(20)]
            assert [r.status for r in replies] == [200] * 20
            assert all(r.is_own_answer for r in replies)

    run(scenario())


def test_unframed_response_is_delivered_whole():
    # Guards against treating a response that is delimited by the end of its
    # connection as truncated.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            await cluster.add_upstream('u1', fault=Fault.UNFRAMED)
            await cluster.start()
            assert (await cluster.send('/browse/x')).is_own_answer

    run(scenario())


@pytest.mark.parametrize('fault', [Fault.UNFRAMED_RESET, Fault.CUT])
def test_truncated_response_never_looks_complete(fault):
    # Guards against forwarding a truncated response as a complete one.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            await cluster.add_upstream('u1', fault=fault)
            await cluster.start()
            reply = await cluster.send('/order/x', body=b'tabs')
            assert reply.status == 502
            assert cluster.run_count(reply.request_id) == 1

    run(scenario())


@pytest.mark.parametrize(
    'fault', [Fault.LOSE_ANSWER, Fault.CUT, Fault.UNFRAMED_RESET]
)
def test_order_runs_at_most_once_when_its_response_is_lost(fault):
    # Guards against a second run of non-idempotent work, and against telling
    # the caller that it did not run although it did.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            for name in ('u1', 'u2', 'u3'):
                await cluster.add_upstream(name, fault=fault)
            await cluster.start()
            replies = await asyncio.gather(
                *(cluster.send('/order/x', body=b'tabs') for _ in range(10))
            )
            for reply in replies:
                assert reply.status not in REFUSAL_STATUSES or (
                    cluster.run_count(reply.request_id) == 0
                )
                assert cluster.run_count(reply.request_id) <= 1

    run(scenario())


def test_idempotent_request_is_retried_when_its_response_is_lost():
    # Guards against failing a read that another upstream can serve.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            await cluster.add_upstream('u1', fault=Fault.LOSE_ANSWER)
            await cluster.add_upstream('u2')
            await cluster.start()
            replies = [await cluster.send(f'/browse/{n}') for n in range(6)]
            assert all(r.is_own_answer for r in replies)

    run(scenario())


def test_shed_order_is_retried_elsewhere_or_refused_without_a_run():
    # Guards against refusing a request that ran, and against refusing one
    # while another upstream has free slots.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            await cluster.add_upstream('u1', fault=Fault.SHED)
            u2 = await cluster.add_upstream('u2')
            await cluster.start()
            reply = await cluster.send('/order/x', body=b'tabs')
            assert reply.is_own_answer
            u2.fault = Fault.SHED
            reply = await cluster.send('/order/y', body=b'tabs')
            assert reply.status == 503
            assert float(reply.headers['Retry-After']) > 0
            assert cluster.run_count(reply.request_id) == 0

    run(scenario())


@pytest.mark.parametrize(
    'fault', [Fault.REFUSAL_COPY, Fault.NAMELESS_REFUSAL_COPY]
)
def test_copy_of_an_earlier_refusal_does_not_refuse_a_request_that_runs(fault):
    # Guards against a refusal that an upstream sends once more on a reused
    # connection and that is taken for the response to the next request, which
    # is running.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            await cluster.add_upstream('u1', fault=fault)
            await cluster.add_upstream('u2', fault=fault)
            await cluster.start()
            replies = []
            for number in range(30):
                replies.append(await cluster.send(f'/browse/{number}'))
                replies.append(await cluster.send('/order/x', body=b'tabs'))
            ran = {
                a.request_id for u in cluster.upstreams.values() for a in u.ran
            }
            assert ran
            refused = {
                r.request_id for r in replies if r.status in REFUSAL_STATUSES
            }
            assert refused & ran == set()

    run(scenario())


@pytest.mark.parametrize('path, runs', [('/order/x', 1), ('/browse/x', 2)])
def test_response_that_ends_in_its_head_never_looks_complete(path, runs):
    # Guards against a head that ends with its connection and is taken for a
    # complete one with an empty body.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            upstream = await cluster.add_upstream('u1')
            await cluster.start()
            assert (await cluster.send(path)).is_own_answer
            upstream.fault = Fault.HEAD_CUT
            reply = await cluster.send(path)
            assert reply.status == 502
            assert 1 <= cluster.run_count(reply.request_id) <= runs

    run(scenario())


def test_order_does_not_run_at_an_address_with_a_new_owner():
    # Guards against running a request at an upstream that reuses the address
    # of a stopped one.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            u1 = await cluster.add_upstream('u1')
            await cluster.start()
            assert (await cluster.send('/browse/x')).is_own_answer
            u1.name = 'someone-else'
            reply = await cluster.send('/order/x', body=b'tabs')
            assert reply.status == 503
            assert cluster.run_count(reply.request_id) == 0

    run(scenario())


def test_upstream_gets_request_unchanged_with_the_remaining_time():
    # Guards against modified paths, bodies and identifiers, and against an
    # upstream that keeps working for callers whose deadline has passed.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            u1 = await cluster.add_upstream('u1')
            await cluster.start()
            target = '/order/a%2Fb?q=%20x&y'
            reply = await cluster.send(
                target, body=b'\x00tabs', deadline_ms=700, **{'X-Shop': 'é1'}
            )
            arrival = u1.ran[0]
            assert (arrival.target, arrival.body) == (target, b'\x00tabs')
            assert arrival.request_id == reply.request_id
            assert 0 < int(arrival.headers['x-request-deadline-ms']) <= 700
            assert arrival.headers['x-expect-instance'] == 'u1'

    run(scenario())


def test_caller_disconnect_cancels_only_idempotent_work():
    # Guards against idempotent work that goes on without a caller, and
    # against cancelling an order, of which nobody would know whether it ran.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            u1 = await cluster.add_upstream('u1', work_s=1.0)
            await cluster.start()
            for path, aborted in (('/browse/x', 1), ('/order/x', 1)):
                task = asyncio.create_task(cluster.send(path))
                await asyncio.sleep(0.2)
                task.cancel()
                await asyncio.sleep(0.4)
                assert u1.aborted_runs == aborted
            await asyncio.sleep(0.8)
            assert u1.aborted_runs == 1

    run(scenario())


def test_silent_upstream_fails_the_request_at_the_route_timeout():
    # Guards against holding a caller beyond the route's timeout.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure(
                1, documents.rule('/order/', kind='upload', timeout='300ms')
            )
            await cluster.add_upstream('u1', fault=Fault.SILENT)
            await cluster.start()
            started = asyncio.get_running_loop().time()
            reply = await cluster.send('/order/x', body=b'tabs')
            took_s = asyncio.get_running_loop().time() - started
            assert reply.status == 504
            assert 0.25 < took_s < 0.8

    run(scenario())


@pytest.mark.parametrize('path', ['/order/x', '/browse/x'])
def test_reset_of_an_idle_connection_fails_no_request(path):
    # Guards against an order with an unknown outcome, and against the
    # ejection of an upstream, after the reset of an idle connection.
    async def scenario():
        async with clusters.EdgeCluster(('a1',)) as cluster:
            cluster.configure()
            upstream = await cluster.add_upstream('u1')
            upstream.idle_reset_s = 0.2
            await cluster.start()
            for _ in range(4):
                reply = await cluster.send(path)
                assert reply.status == 200
                await asyncio.sleep(0.4)
            assert len(upstream.ran) == 4

    run(scenario())
