"""Crash-inducing requests are recognised, and sound ones are not refused."""

import asyncio

import pytest

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import upstream as upstream_standin
from bulrushcourse_testkit.platform import upstream_faults

Fault = upstream_standin.Fault
CRASHING = '/browse/crash'
MAX_ATTEMPTS = documents.rule('/browse/')['action']['max_attempts']
# Time within which all VMs know what one of them knows.
CONTACT_S = 3.0
# Bounds within which each of these requests may be retried.
RETRIES = {'retry_budget_ratio': 1.0, 'retry_budget_extra': 100}
# So many requests, at intervals of 0.4 s, take 2.7 times as long.
LATE_REQUESTS = 20


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


async def late_retries(sent, delay_s, **fields):
    """Repeat a request that crashes upstreams; return its late retries.

    Those come later than the contact time after the third crash. Upstreams
    crash a time after they have sent a part of their response.
    """
    async with clusters.EdgeCluster(('a1', 'a2'), RETRIES) as cluster:
        cluster.configure()
        await add_upstreams(
            cluster,
            40,
            crashes_on=CRASHING,
            crash_after=sent,
            crash_delay_s=delay_s,
        )
        await cluster.start()
        return await _repeat_crashing(cluster, fields)


async def _repeat_crashing(cluster, fields):
    tasks = []
    for number in range(LATE_REQUESTS):
        vm = number % len(cluster.vms)
        tasks.append(asyncio.create_task(cluster.send(CRASHING, vm, **fields)))
        await asyncio.sleep(0.4)
    await asyncio.gather(*tasks)
    arrivals = sorted(
        (arrival.received_at, arrival.request_id)
        for upstream in cluster.upstreams.values()
        for arrival in upstream.arrivals
        if arrival.target == CRASHING
    )
    bound = arrivals[2][0] + CONTACT_S
    first = dict(reversed([(name, at) for at, name in arrivals]))
    return [name for at, name in arrivals if at > bound and at != first[name]]


@pytest.mark.parametrize(
    'sent',
    [
        upstream_faults.PARTS[Fault.CUT],
        upstream_faults.PARTS[Fault.HEAD_CUT],
        lambda response: b'HTTP/1.1 103 Early Hints\r\n\r\n',
    ],
    ids=['body', 'head', 'interim'],
)
@pytest.mark.parametrize('delay_s', [0.02, 0.7])
def test_crash_behind_the_first_bytes_is_recognised(sent, delay_s):
    # Guards against a request that crashes upstreams while they respond, and
    # that is sent to a second one each time it comes (review/15).
    async def scenario():
        assert len(await late_retries(sent, delay_s)) <= 3

    run(scenario)


def test_crash_at_the_deadline_is_recognised():
    # Guards against a request that crashes upstreams when its deadline has
    # passed, so that no attempt sees it, and is hedged each time it comes.
    async def scenario():
        late = await late_retries(lambda response: b'', 2.0, deadline_ms=1900)
        assert len(late) <= 3

    run(scenario)


@pytest.mark.parametrize('fault', [Fault.CUT, Fault.HEAD_CUT])
def test_truncated_responses_of_upstreams_that_live_refuse_no_request(fault):
    # Guards against a sound request that is refused, since faulty upstreams
    # truncate its responses and get no other requests.
    async def scenario():
        async with clusters.EdgeCluster(('a1', 'a2')) as cluster:
            cluster.configure()
            await add_upstreams(cluster, 6)
            await cluster.start()
            faulty = list(cluster.upstreams.values())[:4]
            statuses = []
            for number in range(80):
                for upstream in faulty:
                    upstream.fault = (Fault.NONE, fault)[number % 2]
                reply = await cluster.send('/browse/sound', vm=number % 2)
                statuses.append(reply.status)
            assert 503 not in statuses

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
