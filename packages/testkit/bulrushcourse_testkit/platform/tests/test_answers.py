"""Answers reach their own requests whole, and only true refusals are said.

Each test runs edge processes between stand-ins on loopback and breaks one
thing that the rule guards against.
"""

import asyncio

import pytest

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import upstream as upstream_standin

Fault = upstream_standin.Fault
REFUSALS = (408, 421, 429, 503)


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))


def test_answers_belong_to_their_requests_despite_extra_answers():
    # Guards against handing a stray second answer to the next request on a
    # kept connection.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            await cluster.add_upstream('u1', fault=Fault.EXTRA_ANSWER)
            await cluster.start()
            replies = [await cluster.send('/browse/x') for _ in range(20)]
            assert [r.status for r in replies] == [200] * 20
            assert all(r.is_own_answer for r in replies)

    run(scenario())


def test_unframed_answer_is_delivered_whole():
    # Guards against treating an answer that ends with its connection as cut.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            await cluster.add_upstream('u1', fault=Fault.UNFRAMED)
            await cluster.start()
            assert (await cluster.send('/browse/x')).is_own_answer

    run(scenario())


@pytest.mark.parametrize('fault', [Fault.UNFRAMED_RESET, Fault.CUT])
def test_broken_answer_never_looks_complete(fault):
    # Guards against passing on the beginning of an answer as a whole one.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            await cluster.add_upstream('u1', fault=fault)
            await cluster.start()
            reply = await cluster.send('/order/x', body=b'tabs')
            assert reply.status == 502
            assert cluster.runs(reply.request_id) == 1

    run(scenario())


@pytest.mark.parametrize(
    'fault', [Fault.LOSE_ANSWER, Fault.CUT, Fault.UNFRAMED_RESET]
)
def test_order_runs_once_when_its_answer_is_lost(fault):
    # Guards against a second run of work that must not be repeated, and
    # against saying that it did not run.
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
                assert reply.status not in REFUSALS or (
                    cluster.runs(reply.request_id) == 0
                )
                assert cluster.runs(reply.request_id) <= 1

    run(scenario())


def test_lost_answer_of_idempotent_work_is_repeated():
    # Guards against failing a look-up that another upstream can answer.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            await cluster.add_upstream('u1', fault=Fault.LOSE_ANSWER)
            await cluster.add_upstream('u2')
            await cluster.start()
            replies = [await cluster.send(f'/browse/{n}') for n in range(6)]
            assert all(r.is_own_answer for r in replies)

    run(scenario())


def test_shed_order_is_sent_elsewhere_or_refused_truthfully():
    # Guards against a refusal of a request that ran, and against giving up
    # although another upstream has room.
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
            assert cluster.runs(reply.request_id) == 0

    run(scenario())


def test_address_of_another_service_is_not_trusted():
    # Guards against running a request at an upstream that took over the
    # address of one that ended.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            u1 = await cluster.add_upstream('u1')
            await cluster.start()
            assert (await cluster.send('/browse/x')).is_own_answer
            u1.name = 'someone-else'
            reply = await cluster.send('/order/x', body=b'tabs')
            assert reply.status == 503
            assert cluster.runs(reply.request_id) == 0

    run(scenario())


def test_upstream_gets_request_as_sent_with_the_time_that_is_left():
    # Guards against changed paths, bodies and identifiers, and against an
    # upstream that works on for callers that have given up.
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


def test_caller_that_leaves_stops_idempotent_work_only():
    # Guards against upstreams that work for nobody, and against taking a
    # cancelled order for one that did not run.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            u1 = await cluster.add_upstream('u1', work_s=1.0)
            await cluster.start()
            for path, cancelled in (('/browse/x', 1), ('/order/x', 1)):
                task = asyncio.create_task(cluster.send(path))
                await asyncio.sleep(0.2)
                task.cancel()
                await asyncio.sleep(0.4)
                assert u1.unfinished == cancelled
            await asyncio.sleep(0.8)
            assert u1.unfinished == 1

    run(scenario())


def test_silent_upstream_is_given_up_at_the_route_timeout():
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
            took = asyncio.get_running_loop().time() - started
            assert reply.status == 504
            assert 0.25 < took < 0.8

    run(scenario())


@pytest.mark.parametrize('path', ['/order/x', '/browse/x'])
def test_forgotten_idle_connection_fails_no_request(path):
    # Guards against an order whose fate is unknown, and against an upstream
    # that is set aside, because a connection was idle and then reset.
    async def scenario():
        async with clusters.EdgeCluster(('a1',)) as cluster:
            cluster.configure()
            upstream = await cluster.add_upstream('u1')
            upstream.forgets_idle_s = 0.2
            await cluster.start()
            for _ in range(4):
                reply = await cluster.send(path)
                assert reply.status == 200
                await asyncio.sleep(0.4)
            assert len(upstream.ran) == 4

    run(scenario())
