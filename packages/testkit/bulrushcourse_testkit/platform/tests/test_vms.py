"""VMs that stop, end, start again or are taken away."""

import asyncio
import datetime

import pytest

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.fleet import fleet
from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 40))


def test_graceful_stop_cuts_off_nothing():
    # Guards against answers that are lost in a planned stop, and a VM that
    # is still named while it stops.
    async def scenario():
        async with clusters.EdgeCluster(('a1', 'a2')) as cluster:
            cluster.configure()
            await cluster.add_upstream('u1', work_s=0.3, slots=20)
            await cluster.start()
            tasks = [
                asyncio.create_task(cluster.send('/order/x', vm=1))
                for _ in range(5)
            ]
            await asyncio.sleep(0.1)
            cluster.vms[1].process.stopping.set()
            await asyncio.sleep(0.4)
            assert await cluster.ready(cluster.vms[1]) == 503
            front = cluster.vms[1].listen['front']
            assert front not in await cluster.look_up(cluster.vms[0], 'a')
            reply = await cluster.send('/browse/x', vm=1)
            assert reply.status == 200
            assert reply.headers['Connection'] == 'close'
            replies = await asyncio.gather(*tasks)
            assert all(r.is_own_answer for r in replies)
            await asyncio.wait_for(cluster.vms[1].task, 4.0)

    run(scenario())


def test_killed_vm_is_soon_no_longer_named():
    # Guards against look-up answers that name a dead VM.
    async def scenario():
        async with clusters.EdgeCluster(('a1', 'a2')) as cluster:
            cluster.configure()
            await cluster.add_upstream('u1')
            await cluster.start()
            await cluster.vms[1].kill()
            await asyncio.sleep(3.2)
            named = await cluster.look_up(cluster.vms[0], 'a')
            assert named == [cluster.vms[0].listen['front']]

    run(scenario())


def test_all_vms_come_back_with_the_newest_configuration():
    # Guards against a fleet that does not serve again after all its
    # processes ended at once right after a change.
    async def scenario():
        async with clusters.EdgeCluster(('a1', 'b1')) as cluster:
            cluster.configure(3)
            await cluster.add_upstream('u1')
            await cluster.start()
            cluster.configure(4, documents.rule('/new/'))
            await asyncio.gather(*(vm.kill() for vm in cluster.vms))
            await cluster.start()
            for vm in (0, 1):
                assert (await cluster.send('/new/x', vm=vm)).status == 200
                assert (await cluster.send('/browse/x', vm=vm)).status == 404

    run(scenario())


class SetBackClock(clocks.SystemClock):
    """Clock of a machine whose time of day was set back by a minute."""

    def wall(self):
        return super().wall() - datetime.timedelta(minutes=1)


@pytest.mark.parametrize('store_down', [False, True])
def test_vm_that_starts_again_with_its_time_set_back_is_named(store_down):
    # Guards against a VM whose new process the others take for its old one,
    # so that callers are not sent to it again.
    async def scenario():
        async with clusters.EdgeCluster(('a1', 'a1')) as cluster:
            cluster.configure()
            await cluster.add_upstream('u1')
            await cluster.start()
            again = cluster.vms[1]
            await again.kill()
            cluster.store.down = store_down
            again.start(SetBackClock())
            address = again.listen['front']

            async def is_named():
                named = await cluster.look_up(cluster.vms[0], 'a')
                return address in named

            # Until then the former process still counts.
            await asyncio.sleep(fleet.SILENT_S + 0.5)
            cluster.store.down = False
            await cluster.until(is_named)

    run(scenario())
