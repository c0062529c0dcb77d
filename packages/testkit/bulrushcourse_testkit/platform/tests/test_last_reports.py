"""What a VM learns last in a planned stop reaches the other VMs."""

import asyncio

import pytest

from bulrushcourse_entry.edge.fleet import report_intervals
from bulrushcourse_entry.platform import headers
from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import upstream as upstream_standin

Fault = upstream_standin.Fault

GRACE_S = 4.0
# A VM that stops accepts requests for half of that time. It has nothing else
# to do when it gets the answer of this request, and ends at once.
WORK_S = GRACE_S / 2 + 0.2
# Until the upstream is at work.
BEGIN_S = 0.3
# Until the other VM has applied what was sent to it.
RECEIVED_S = 0.2
STOP_TIMEOUT_S = 8.0
# Longer than the interval in use and shorter than the time after which a
# silent VM counts as failed: a regular report seldom happens to be due between
# the answer and the end.
REPORT_INTERVAL_S = 1.0
LEAVING = f'{headers.LEAVING}: 1'


@pytest.fixture(autouse=True)
def rare_reports(monkeypatch):
    for name in ('MIN_REPORT_INTERVAL_S', 'MAX_REPORT_INTERVAL_S'):
        monkeypatch.setattr(report_intervals, name, REPORT_INTERVAL_S)


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


async def stop_during_a_request(cluster):
    """Stop the first VM while an upstream runs its only request."""
    sending = asyncio.create_task(
        cluster.send('/order/x', body=b'x', deadline_ms=9000)
    )
    await asyncio.sleep(BEGIN_S)
    vm = cluster.vms[0]
    vm.process.stopping.set()
    reply = await sending
    await asyncio.wait_for(vm.task, STOP_TIMEOUT_S)
    await asyncio.sleep(RECEIVED_S)
    return reply


def make_cluster(*failure_domains):
    bounds = {'grace': f'{GRACE_S:.0f}s'}
    return clusters.EdgeCluster(failure_domains, bounds)


def configure(cluster):
    rule = documents.rule('/order/', kind='non_idempotent', timeout='10s')
    cluster.configure(1, rule)


@pytest.mark.parametrize('other', ['a2', 'b1'])
def test_loss_at_the_end_of_a_stop_reaches_the_other_vm(other):
    # Guards against a request that crashes one upstream more for each VM that
    # stops at once after it.
    async def scenario():
        async with make_cluster('a1', other) as cluster:
            configure(cluster)
            await cluster.add_upstream(
                'u1', work_s=WORK_S, fault=Fault.LOSE_ANSWER
            )
            await cluster.start()
            reply = await stop_during_a_request(cluster)
            assert reply.status == 502
            ledgers = [vm.process.state.crash_ledger for vm in cluster.vms]
            own, received = (set(x.losses.by_upstream) for x in ledgers)
            assert own == received == {'u1@1'}

    run(scenario())


def test_leaving_upstream_at_the_end_of_a_stop_reaches_the_other_vm():
    # Guards against requests that another VM sends to an upstream after the
    # only VM that knew that it is leaving has stopped.
    async def scenario():
        async with make_cluster('a1', 'a2') as cluster:
            configure(cluster)
            await cluster.add_upstream(
                'u1', work_s=WORK_S, extra_headers=(LEAVING,)
            )
            await cluster.start()
            reply = await stop_during_a_request(cluster)
            assert reply.is_own_answer
            for vm in cluster.vms:
                assert 'u1@1' in vm.process.state.permissions.leaving

    run(scenario())


def test_stop_does_not_wait_for_a_vm_that_is_gone():
    # Guards against stops that try to reach a VM that has crashed until the
    # platform ends them.
    async def scenario():
        async with make_cluster('a1', 'a2') as cluster:
            configure(cluster)
            await cluster.add_upstream(
                'u1', work_s=WORK_S, fault=Fault.LOSE_ANSWER
            )
            await cluster.start()
            await cluster.vms[1].kill()
            reply = await stop_during_a_request(cluster)
            assert reply.status == 502
            assert cluster.vms[0].task.exception() is None

    run(scenario())
