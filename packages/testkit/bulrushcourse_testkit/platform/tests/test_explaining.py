"""Explanations of where a request would go."""

import asyncio

from bulrushcourse_entry.edge.reporting import explaining
from bulrushcourse_entry.edge.upstreams import destinations
from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))


def explainer_of(cluster):
    state = cluster.vms[0].process.state
    return explaining.Explainer(state, destinations.DestinationSelector(state))


def test_explanation_names_the_upstream_that_requests_reach():
    # Guards against an explanation that decides by other facts than the
    # request path.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure(
                1, documents.rule('/browse/', session_affinity=True)
            )
            upstream = await cluster.add_upstream('u1')
            await cluster.start()
            explained = explainer_of(cluster).explain(
                documents.HOST, '/browse/x', '7', ''
            )
            (destination,) = [
                d for d in explained['destinations'] if d['candidates']
            ]
            assert destination['verdict'] == 'send'
            assert destination['candidates'][0]['upstream'] == 'u1'
            assert not upstream.ran
            assert (await cluster.send('/browse/x')).is_own_answer

    run(scenario())


def test_explanation_names_upstreams_whose_address_is_not_proven():
    # Guards against a refusal that the explanation does not account for: no
    # candidate, and nothing that says why.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure(1, documents.rule('/home/', home_regions=['a']))
            ended = await cluster.add_upstream('u1')
            ended.end()
            await cluster.start()
            assert (await cluster.send('/home/x')).status == 503
            explained = explainer_of(cluster).explain(
                documents.HOST, '/home/x', '', ''
            )
            (destination,) = explained['destinations']
            assert destination['withheld'] == ['u1']
            assert not destination['candidates']

    run(scenario())


def test_explanation_changes_no_decision():
    # Guards against explanations that take their turn in a rotation of
    # services, move the shares of regions or count as demand.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            account = documents.account('acme', 'k-1', rate_per_s=5, burst=5)
            split = [
                {'service': 'catalog', 'weight': 1},
                {'service': 'orders', 'weight': 1},
            ]
            cluster.configure(
                1,
                documents.rule('/browse/', traffic_split=split),
                accounts=(account,),
            )
            await cluster.add_upstream('u1')
            await cluster.add_upstream('u2', service='orders')
            await cluster.start()
            state = cluster.vms[0].process.state
            explain = explainer_of(cluster).explain
            before = (
                dict(state.region_mixes),
                dict(state.service_rotations),
                state.demand.own_slots(),
            )
            for name in ('acme', 'unknown', ''):
                explain(documents.HOST, '/browse/x', '', name)
            assert before == (
                dict(state.region_mixes),
                dict(state.service_rotations),
                state.demand.own_slots(),
            )
            answer = explain(documents.HOST, '/browse/x', '', 'acme')
            assert {d['service'] for d in answer['destinations']} == {
                'catalog',
                'orders',
            }
            assert answer['account']['keys_served']
            unknown = explain(documents.HOST, '/browse/x', '', 'unknown')
            assert unknown['status'] == 401
            assert explain(documents.HOST, '/none/', '', '')['status'] == 404

    run(scenario())
