"""Rows that upstreams wrote earlier take effect neither late nor again."""

import asyncio
import time

import pytest

from bulrushcourse_testkit.platform import cluster as clusters

VMS = ('a1', 'a2', 'b1')
# Time in which leaving upstreams must get no more requests, of the settings'
# defaults.
DRAIN_S = 2.0
HEARTBEAT_S = 1.5


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 60))


async def running(cluster):
    cluster.configure()
    for name, domain in (('u1', 'a1'), ('u2', 'a2'), ('u3', 'b1')):
        await cluster.add_upstream(name, failure_domain=domain, beats=7)
    await cluster.start()


async def send_until(cluster, end):
    """Send requests to all VMs until a time."""

    async def send(vm):
        number = 0
        while time.monotonic() < end:
            number += 1
            await cluster.send(f'/browse/{number}', vm=vm)
            await asyncio.sleep(0.02)

    await asyncio.gather(*(send(vm) for vm in range(len(cluster.vms))))


def arrivals_after(upstream, moment):
    return [a for a in upstream.arrivals if a.received_at > moment]


def beat(cluster, upstream, **changes):
    """Let an upstream write its next row."""
    for name, value in changes.items():
        setattr(upstream, name, value)
    upstream.beats += 1
    cluster.write_upstream(upstream)


def restart(cluster, upstream):
    """Let an upstream start again under its id."""
    beat(cluster, upstream, incarnation=upstream.incarnation + 1, beats=0)


def write_late(cluster, upstream, row):
    cluster.store.put('servers', upstream.name, row)


async def late_arrivals(cluster, leaving, row, heartbeats):
    """Apply a row after the drain time; return the arrivals from then on.

    The upstream has just announced that it leaves, or its row was removed.
    """
    bound = time.monotonic() + DRAIN_S
    await send_until(cluster, bound)
    write_late(cluster, leaving, row)
    await send_until(cluster, bound + heartbeats * HEARTBEAT_S)
    return arrivals_after(leaving, bound)


@pytest.mark.parametrize('restarted', (False, True))
def test_old_beat_does_not_revive_a_draining_upstream(restarted):
    # Guards against requests to a draining upstream, after a beat from before
    # its announcement or its restart has been performed late (review/14).
    async def scenario():
        async with clusters.EdgeCluster(VMS) as cluster:
            await running(cluster)
            leaving = cluster.upstreams['u1']
            old = leaving.row
            if restarted:
                restart(cluster, leaving)
                await asyncio.sleep(1.0)
            beat(cluster, leaving, state='draining')
            assert not await late_arrivals(cluster, leaving, old, 1)

    run(scenario)


def test_old_beat_does_not_bring_a_removed_upstream_back():
    # Guards against requests to an upstream that has left, after the store
    # has performed its last beat once more.
    async def scenario():
        async with clusters.EdgeCluster(VMS) as cluster:
            await running(cluster)
            leaving = cluster.upstreams['u1']
            # No VM may have read its last beat.
            beat(cluster, leaving)
            cluster.store.remove('servers', leaving.name)
            row = leaving.row
            assert not await late_arrivals(cluster, leaving, row, 2)

    run(scenario)


def test_old_beat_is_known_as_such_at_a_vm_that_has_just_started():
    # Guards against VMs that start behind the announcement, and believe an
    # old beat that all others hold back.
    async def scenario():
        async with clusters.EdgeCluster(VMS) as cluster:
            await running(cluster)
            leaving = cluster.upstreams['u1']
            old = leaving.row
            beat(cluster, leaving, state='draining')
            bound = time.monotonic() + DRAIN_S
            await asyncio.sleep(DRAIN_S)
            write_late(cluster, leaving, old)
            await asyncio.sleep(0.5)
            await cluster.vms[0].kill()
            cluster.vms[0].start()
            await cluster.wait_until(cluster.all_ready)
            await send_until(cluster, time.monotonic() + HEARTBEAT_S)
            assert not arrivals_after(leaving, bound)

    run(scenario)


@pytest.mark.parametrize('how', ('restart', 'clock set back', 'silence'))
def test_upstream_that_lives_is_used_again(how):
    # Guards against upstreams that stay out of use, since their rows seem to
    # be older than what they wrote before.
    async def scenario():
        async with clusters.EdgeCluster(VMS) as cluster:
            await running(cluster)
            upstream = cluster.upstreams['u1']
            beat(cluster, upstream, incarnation=40)
            await asyncio.sleep(1.0)
            cluster.store.remove('servers', upstream.name)
            await asyncio.sleep(1.5)
            if how == 'restart':
                restart(cluster, upstream)
            if how == 'clock set back':
                beat(cluster, upstream, incarnation=30, beats=0)
            started = time.monotonic()
            for _ in range(2 if how == 'restart' else 3):
                beat(cluster, upstream)
                await send_until(cluster, time.monotonic() + HEARTBEAT_S)
            assert arrivals_after(upstream, started)

    run(scenario)


def test_rows_without_an_order_count_as_they_are_written():
    # Guards against upstreams whose rows state no number or no start, and
    # that would stay in the state of their first row.
    async def scenario():
        async with clusters.EdgeCluster(VMS) as cluster:
            await running(cluster)
            upstream = cluster.upstreams['u1']
            for left_out in ('seq', 'born'):
                for state in ('draining', 'ready'):
                    row = {**upstream.row, 'state': state}
                    del row[left_out]
                    write_late(cluster, upstream, row)
                    await asyncio.sleep(DRAIN_S)
                    moment = time.monotonic()
                    await send_until(cluster, moment + 0.5)
                    is_used = bool(arrivals_after(upstream, moment))
                    assert is_used == (state == 'ready')

    run(scenario)
