"""Connections that go silent without a reset are replaced in time."""

import asyncio
import contextlib
import time

import pytest

from bulrushcourse_testkit import ports
from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.standins import fault_proxy

CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
EVACUATE_S = 5.0
DOMAINS = ('a1', 'a1', 'a2', 'b1', 'b2')


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


@contextlib.asynccontextmanager
async def cluster_behind_links():
    """Start VMs that reach the store through one link each."""
    bounds = {'contact': '3s', 'config_apply': '2s', 'drain': '2s'}
    async with contextlib.AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(
            clusters.EdgeCluster(DOMAINS, bounds)
        )
        reserved = ports.reserve_ports(len(DOMAINS))
        stack.callback(reserved.close)
        links = []
        for vm, port in zip(cluster.vms, reserved.ports, strict=True):
            link = fault_proxy.Link(vm.name, port, cluster.store.address)
            await link.start()
            links.append(link)
            address = f'127.0.0.1:{port}'
            vm.document['platform']['platform']['address'] = address
        cluster.configure(1, documents.rule('/browse/'))
        await cluster.add_upstream('u1', failure_domain='a1', slots=50)
        await cluster.add_upstream('u2', failure_domain='b1', slots=50)
        await cluster.add_upstream('o1', service='orders', slots=50)
        await cluster.start()
        # Each VM has waited for changes for some time.
        await asyncio.sleep(2.0)
        yield cluster, links


async def send_from(cluster, begin, end):
    """Send requests to all VMs in turn; return them as (VM, reply)."""
    await asyncio.sleep(max(0.0, begin - time.monotonic()))
    replies = []
    while time.monotonic() < end:
        for number in range(len(cluster.vms)):
            reply = await cluster.send('/browse/x', vm=number)
            replies.append((number, reply))
        await asyncio.sleep(0.05)
    return replies


@pytest.mark.parametrize('waited_s', [0.05, 0.6, 1.0])
def test_configuration_is_in_force_in_time_after_connections_went_silent(
    waited_s,
):
    # Guards against a VM that waits for changes on a silent connection while
    # the configuration changes.
    async def scenario():
        async with cluster_behind_links() as (cluster, links):
            cluster.configure(2, documents.rule('/browse/'))
            await asyncio.sleep(waited_s)
            silenced = time.monotonic()
            assert all([link.silence_open() for link in links])
            await asyncio.sleep(1.0)
            cluster.configure(3, documents.rule('/browse/', service='orders'))
            changed = time.monotonic()
            bound = max(silenced + CONTACT_S, changed + CONFIG_APPLY_S)
            replies = await send_from(cluster, bound, bound + 0.5)
            old = [n for n, r in replies if not r.body.startswith(b'o1:')]
            assert old == []

    run(scenario())


def test_evacuation_is_in_force_in_time_after_connections_went_silent():
    # Guards against evacuations that are learned only when a silent call ends.
    async def scenario():
        async with cluster_behind_links() as (cluster, links):
            assert all([link.silence_open() for link in links])
            cluster.store.put('op', 'evacuate/a1', {})
            bound = time.monotonic() + EVACUATE_S
            replies = await send_from(cluster, bound, bound + 0.5)
            evacuated = [n for n, r in replies if r.body.startswith(b'u1:')]
            assert evacuated == []

    run(scenario())


def test_calm_vms_make_few_calls_that_wait_for_changes():
    # Guards against a short wait at VMs that get changes from the readers.
    async def scenario():
        async with cluster_behind_links() as (cluster, _):
            before = cluster.store.calls['/rows-feed']
            await asyncio.sleep(4.0)
            calls = cluster.store.calls['/rows-feed'] - before
            # Two readers repeat their calls every 6 s.
            assert calls <= 3

    run(scenario())
