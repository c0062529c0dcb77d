"""Crash-inducing requests are recognised, and sound ones are not refused."""

import asyncio

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import upstream as upstream_standin

Fault = upstream_standin.Fault
CRASHING = '/browse/crash'
MAX_ATTEMPTS = documents.rule('/browse/')['action']['max_attempts']
# Time within which all VMs know what one of them knows.
CONTACT_S = 3.0


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 60))


async def add_upstreams(cluster, count, **fields):
    for number in range(count):
        await cluster.add_upstream(f'u{number}', **fields)


async def warm_connections(cluster):
    """Let each VM hold idle connections to all upstreams."""
    await asyncio.gather(
        *(
            cluster.send(f'/browse/{number}', vm=number % len(cluster.vms))
            for number in range(120)
        )
    )


def test_crash_at_once_on_a_reused_connection_is_recognised():
    # Guards against a crash that passes for a dropped connection, so that the
    # request reaches one upstream after the other (review/4).
    async def scenario():
        async with clusters.EdgeCluster(('a1', 'a2')) as cluster:
            cluster.configure()
            await add_upstreams(cluster, 12, crashes_on=CRASHING)
            await cluster.start()
            await warm_connections(cluster)
            for number in range(6):
                await cluster.send(CRASHING, vm=number % 2)
                await asyncio.sleep(0.5)
            reached = [
                upstream
                for upstream in cluster.upstreams.values()
                if any(a.target == CRASHING for a in upstream.arrivals)
            ]
            assert len(reached) <= 3

    run(scenario)


def test_answers_to_other_accounts_do_not_clear_a_crashing_request():
    # Guards against a request that crashes upstreams for one account and is
    # never quarantined, as others get answers for its path (review/12).
    async def scenario():
        async with clusters.EdgeCluster(('a1', 'a2')) as cluster:
            accounts = ('broken', 'sound')
            cluster.configure(
                1, accounts=tuple(documents.account(a, a) for a in accounts)
            )
            await add_upstreams(
                cluster, 12, crashes_on=CRASHING, crashes_for='broken'
            )
            await cluster.start()
            for number in range(6):
                vm = number % 2
                await cluster.send(CRASHING, vm, **{'Api-Key': 'broken'})
                await asyncio.sleep(0.25)
                reply = await cluster.send(
                    CRASHING, vm, **{'Api-Key': 'sound'}
                )
                assert reply.status == 200
                await asyncio.sleep(0.25)
            reached = [
                upstream
                for upstream in cluster.upstreams.values()
                if any(
                    arrival.headers['x-tenant'] == 'broken'
                    for arrival in upstream.arrivals
                )
            ]
            assert len(reached) <= 3

    run(scenario)


def test_attempt_on_a_stale_connection_counts():
    # Guards against a request that reaches more upstreams than its route
    # allows, since resets of reused connections were no attempts.
    async def scenario():
        async with clusters.EdgeCluster(('a1',)) as cluster:
            cluster.configure()
            await add_upstreams(cluster, 6)
            await cluster.start()
            await warm_connections(cluster)
            for upstream in cluster.upstreams.values():
                upstream.fault = Fault.LOSE_ANSWER
                upstream.work_s = 0.0
                upstream.arrivals.clear()
            await cluster.send('/browse/stale')
            arrivals = [
                arrival
                for upstream in cluster.upstreams.values()
                for arrival in upstream.arrivals
            ]
            assert len(arrivals) == MAX_ATTEMPTS

    run(scenario)


def test_request_lost_to_cut_connections_is_served_after_the_fault():
    # Guards against VMs without an answer of their own that refuse a sound
    # request for a minute after an outage (soak, seeds 243 and 281507).
    async def scenario():
        async with clusters.EdgeCluster(('a1', 'a2', 'b1')) as cluster:
            cluster.configure()
            await add_upstreams(cluster, 6, fault=Fault.LOSE_ANSWER)
            await cluster.start()
            for number in range(3):
                await cluster.send('/browse/sound', vm=number)
            await asyncio.sleep(CONTACT_S)
            for upstream in cluster.upstreams.values():
                upstream.fault = Fault.NONE

            async def is_served():
                for number in range(60):
                    vm = number % len(cluster.vms)
                    await cluster.send(f'/browse/{number}', vm=vm)
                replies = [
                    await cluster.send('/browse/sound', vm=vm)
                    for vm in range(len(cluster.vms))
                ]
                return all(reply.status == 200 for reply in replies)

            # The first probe of a quarantined request comes later than this.
            await cluster.wait_until(is_served, 6.0)

    run(scenario)


def test_retry_after_a_stale_connection_uses_a_new_one():
    # Guards against requests that fail since both of their attempts met idle
    # connections that the upstreams had dropped.
    async def scenario():
        bounds = {'retry_budget_ratio': 1.0}
        async with clusters.EdgeCluster(('a1',), bounds) as cluster:
            cluster.configure()
            await add_upstreams(cluster, 6, idle_reset_s=0.3)
            await cluster.start()
            await warm_connections(cluster)
            await asyncio.sleep(1.0)
            replies = [
                await cluster.send(f'/browse/{number}') for number in range(5)
            ]
            assert [reply.status for reply in replies] == [200] * 5

    run(scenario)
