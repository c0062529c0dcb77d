"""Answers of the store without end or bound take a bounded memory.

The VM runs as a real process whose settings give it a small memory.
"""

import asyncio

import pytest

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import faulty_store
from bulrushcourse_testkit.platform import flood as floods
from bulrushcourse_testkit.platform import process_watch
from bulrushcourse_testkit.platform import soak_vms
from bulrushcourse_testkit.standins import fault_proxy

pytestmark = pytest.mark.alone

# Settings of the VM, which are the bound that is checked.
MEMORY_MB = 96
DESCRIPTORS = 60
# Tasks of a VM that read the store.
READERS = 3
FAULTY_ANSWERS = 8
# Enough for all pages of a table that the VM reads, of each of two tables.
FAULTY_PAGES = 100


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


async def play(tmp_path, case, answers=FAULTY_ANSWERS):
    """Let the store become faulty; check the VM during and after it."""
    store = faulty_store.FaultyStore()
    async with clusters.EdgeCluster(store=store) as cluster:
        cluster.configure()
        await cluster.add_upstream('u1')
        vm = cluster.vms[0]
        vm.document['self']['limits'] = {'memory_mb': MEMORY_MB}
        link = fault_proxy.Link('unused', 0, store.address)
        soaked = soak_vms.SoakVm(vm, tmp_path, link)
        await soaked.start()
        try:
            await cluster.wait_until(cluster.all_ready)
            store.stream, store.page = case
            # Ends the call that waits for changes.
            store.put('op', 'evacuate/none', {})

            async def has_answered():
                return (
                    store.faulty_answers >= answers
                    or soaked.process.returncode is not None
                )

            await cluster.wait_until(has_answered, 50)
            watch = process_watch.ProcessWatch(soaked.process)
            watch.read()
            seen = f'{watch.memory_mb:.0f} MB, {watch.descriptors} descriptors'
            print('measured', seen)
            assert soaked.process.returncode is None, seen
            assert watch.memory_mb < MEMORY_MB, seen
            assert watch.descriptors < DESCRIPTORS, seen
            store.stream = store.page = None
            # Newer than what the faulty answers stated.
            store.version = faulty_store.VERSION + 1
            store.put('op', 'evacuate/none', {})

            async def is_answered():
                reply = await cluster.send('/browse/x', deadline_ms=2000)
                return reply.is_own_answer

            await cluster.wait_until(is_answered, 15)
        finally:
            await soaked.kill()


@pytest.mark.parametrize('stream', floods.STREAMS, ids=lambda s: s.name)
def test_answers_of_the_store_without_end(tmp_path, stream):
    # Guards against an answer that is kept as far as it was received.
    run(play(tmp_path, (stream, None)))


@pytest.mark.parametrize('page', faulty_store.PAGES)
def test_answers_of_the_store_that_take_much_memory(tmp_path, page):
    # Guards against rows, pages and documents whose decoded form takes many
    # times their bytes, and against pages without a last one.
    count = FAULTY_ANSWERS
    if page is faulty_store.many_pages:
        count = FAULTY_PAGES
    run(play(tmp_path, (None, page), count))


def test_answers_of_the_store_that_trickle_end():
    # Guards against an answer of a few bytes at a time that keeps its
    # connection, and a reader, for ever.
    async def scenario():
        store = faulty_store.FaultyStore(trickles=True)
        async with clusters.EdgeCluster(store=store) as cluster:
            cluster.configure()
            await cluster.add_upstream('u1')
            await cluster.start()
            for name in ('short_fields', 'interim', 'no_length'):
                store.stream = floods.BY_NAME[name]
                begun = store.faulty_answers
                store.put('op', 'evacuate/none', {})

                async def has_ended(enough=begun + 3):
                    return store.faulty_answers >= enough

                await cluster.wait_until(has_ended, 30)
                assert store.sending <= READERS
            store.stream = None
            assert (await cluster.send('/browse/x')).is_own_answer

    run(scenario())
