"""Publishing with store outages, restarts, races and network partitions.

Entries run as processes. No entry may ever return to an older version.
"""

import asyncio
import json
import signal

import aiohttp
import attrs

from bulrushcourse_domain.configuration import objects
from bulrushcourse_testkit import cluster as clusters
from bulrushcourse_wire import documents

TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


def eleven_entries() -> objects.Objects:
    """Return Filatab's objects with eleven entries."""
    filatab = clusters.example_objects('filatab')
    more = (
        objects.Entry('entry-ro-nord-9', 'cluj-a'),
        objects.Entry('entry-ro-sud-9', 'buc-b'),
    )
    return attrs.evolve(filatab, entries=filatab.entries + more)


def with_cluster(scenario):
    """Return a test that runs a scenario with eleven entries of Filatab."""

    def test(tmp_path):
        async def run():
            deployment = eleven_entries()
            names = sorted(entry.name for entry in deployment.entries)
            cluster = clusters.Cluster(tmp_path, deployment, names)
            async with cluster, asyncio.timeout(4 * TIMEOUT_S):
                watcher = asyncio.create_task(watch_versions(cluster))
                try:
                    await scenario(cluster, names)
                finally:
                    watcher.cancel()
                    reverts = (
                        await asyncio.gather(watcher, return_exceptions=True)
                    )[0]
            assert reverts == []

        asyncio.run(run())

    test.__doc__ = scenario.__doc__
    return test


async def watch_versions(cluster):
    """Return each time that the active version of an entry decreased."""
    highest = {}
    reverts = []
    try:
        while True:
            for name in cluster.entry_names:
                version = await active_version(cluster, name)
                if version is not None and version < highest.get(name, 0):
                    reverts.append((name, highest[name], version))
                highest[name] = max(highest.get(name, 0), version or 0)
            await asyncio.sleep(POLL_INTERVAL_S)
    except asyncio.CancelledError:
        return reverts


async def active_version(cluster, name):
    """Return the active version of an entry, ``None`` if it is not ready."""
    try:
        if not (await cluster.call_operators(name, '/v1/ready'))['ready']:
            return None
        response = await cluster.call_operators(name, '/v1/configuration')
        return response['version']
    except aiohttp.ClientError:
        return None


async def wait_version(cluster, names, version):
    async def all_have_version():
        versions = [await active_version(cluster, name) for name in names]
        return all((active or 0) >= version for active in versions)

    await eventually(all_have_version)


async def eventually(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            if await condition():
                return
            await asyncio.sleep(POLL_INTERVAL_S)


async def publish(cluster, name, base, publish_id, limit, operator='ana'):
    limits = tuple(
        attrs.evolve(old, in_flight=limit)
        if old.name == 'region-ro-sud'
        else old
        for old in cluster.objects.limits
    )
    changed = attrs.evolve(cluster.objects, limits=limits)
    return await cluster.call_operators(
        name,
        '/v1/configuration',
        'POST',
        json={
            'base_version': base,
            'publish_id': publish_id,
            'operator': operator,
            'objects': json.loads(documents.render_document(changed)),
        },
    )


async def restart(cluster, name):
    cluster.processes[name].signal(signal.SIGKILL)
    await cluster.processes[name].wait()
    await cluster.start_entry(name)


@with_cluster
async def test_version_survives_an_outage_after_its_commit(cluster, names):
    """Guards against losing a committed version when entries restart.

    The store is down after the commit, so restarted entries have to fetch the
    version from their peers.
    """
    published = await publish(cluster, names[0], 1, 'p1', 40)
    await cluster.set_store_faults(down=True)
    assert published['version'] == 2
    await wait_version(cluster, names, 2)
    for name in (names[0], names[5]):
        await restart(cluster, name)
        await wait_version(cluster, [name], 2)
    refused = await publish(cluster, names[1], 2, 'p2', 41)
    assert refused['title'] == 'unavailable'
    await cluster.set_store_faults()
    assert (await publish(cluster, names[1], 2, 'p2', 41))['version'] == 3
    await wait_version(cluster, names, 3)


@with_cluster
async def test_publish_with_lost_response_is_recognised_after_the_outage(
    cluster, names
):
    """Guards against publishing twice when the commit's response was lost."""
    # Count only configuration writes: lease renewals are commits too.
    await cluster.set_store_faults(
        fail_after_commits=1, counted_prefix='configuration/'
    )
    lost = await publish(cluster, names[0], 1, 'p1', 40)
    assert lost['title'] == 'unknown'
    await restart(cluster, names[3])
    await wait_version(cluster, [names[3]], 1)
    await cluster.set_store_faults()
    repeated = await publish(cluster, names[4], 1, 'p1', 40)
    assert (repeated['version'], repeated['repeated']) == (2, True)
    await wait_version(cluster, names, 2)
    history = await cluster.call_operators(names[2], '/v1/history')
    assert [p['version'] for p in history['publications']] == [2, 1]


@with_cluster
async def test_one_of_two_racing_operators_wins(cluster, names):
    """Guards against lost updates; the loser sees the winner's changes."""
    results = await asyncio.gather(
        publish(cluster, names[0], 1, 'p1', 40, 'ana'),
        publish(cluster, names[-1], 1, 'p2', 41, 'ion'),
    )
    winner, loser = sorted(results, key=lambda result: 'title' in result)
    assert winner['version'] == 2
    assert loser['title'] == 'conflict'
    assert loser['stored']['operator'] == winner['operator']
    assert len(loser['changes']) == 1
    assert loser['changes'][0].startswith('limits[region-ro-sud].in_flight')
    await wait_version(cluster, names, 2)
    rollback = {
        'base_version': 2,
        'version': 1,
        'publish_id': 'p3',
        'operator': 'ana',
    }
    rolled_back = await cluster.call_operators(
        names[0], '/v1/rollback', 'POST', json=rollback
    )
    assert rolled_back['version'] == 3
    await wait_version(cluster, names, 3)


@with_cluster
async def test_isolated_entry_refuses_and_is_omitted(cluster, names):
    """Guards against an isolated entry that publishes or gets new callers."""
    isolated = names[-1]
    for link in (f'store-{isolated}', f'peers-{isolated}'):
        await cluster.set_link_faults(link, cut=True)

    async def is_isolated():
        return (await cluster.call_operators(isolated, '/v1/versions'))[
            'isolated'
        ]

    await eventually(is_isolated)
    assert (await publish(cluster, isolated, 1, 'p0', 39))[
        'title'
    ] == 'isolated'
    assert (await publish(cluster, names[0], 1, 'p1', 40))['version'] == 2
    await wait_version(cluster, names[:-1], 2)
    assert await active_version(cluster, isolated) == 1
    for name in (isolated, names[-2]):
        state = await cluster.call_operators(name, '/v1/state')
        assert isolated not in state['members']['named']
        assert state['members']['named']
    for link in (f'store-{isolated}', f'peers-{isolated}'):
        await cluster.set_link_faults(link)
    await wait_version(cluster, [isolated], 2)
