"""Guards against chunks sent without a charge and waits that never end."""

import asyncio

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.limits import ledger
from bulrushcourse_domain.limits import pacing
from bulrushcourse_entry.limits import local_limit
from bulrushcourse_entry.limits import pacer

SHORT = 1
LONG = 2


def build_link_pacer(cap):
    clock = clocks.SystemClock()
    limit = objects.Limit('l', objects.LimitKind.LINK, 'b', 'a')
    terms = ledger.Terms(1, cap, ('a',), 0.0)
    link_limit = local_limit.build_limit(
        clock, limit, terms, 'vm/1', ('vm', 'a')
    )
    link_limit.shares.update_vm_list({'vm': 'a'})
    return pacer.build_pacer(clock, link_limit, LONG, lambda: None)


def test_cancelled_body_leaves_the_queue():
    async def run():
        link = build_link_pacer(2 * pacing.CHUNK_BYTES)
        await link.acquire(pacing.CHUNK_BYTES, SHORT)
        waiting = asyncio.create_task(link.acquire(pacing.CHUNK_BYTES, SHORT))
        await asyncio.sleep(0)
        assert link.queue.waiting
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert not link.queue.waiting
        assert not link.waiters
        await link.stop()

    asyncio.run(run())


def test_short_chunk_passes_waiting_long_chunks():
    async def run():
        link = build_link_pacer(8 * pacing.CHUNK_BYTES)
        order = []

        async def send(name, priority, chunks):
            await link.acquire(chunks * pacing.CHUNK_BYTES, priority)
            order.append(name)

        uploads = asyncio.create_task(send('upload', LONG, 5))
        await asyncio.sleep(0.01)
        await send('list', SHORT, 1)
        await uploads
        assert order == ['list', 'upload']
        await link.stop()

    asyncio.run(run())
