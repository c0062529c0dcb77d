"""Guards against chunks that flow uncharged, and waits that never end."""

import asyncio

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.limits import ledger
from bulrushcourse_domain.limits import pacing
from bulrushcourse_entry.limits import held_limit
from bulrushcourse_entry.limits import pacer

SHORT = 1
LONG = 2


def open_pacer(cap):
    clock = clocks.SystemClock()
    limit = objects.Limit('l', objects.LimitKind.LINK, 'b', 'a')
    terms = ledger.Terms(1, cap, ('a',), 0.0)
    held = held_limit.open_limit(clock, limit, terms, 'vm/1', ('vm', 'a'))
    held.shares.update_vm_list({'vm': 'a'})
    return pacer.open_pacer(clock, held, LONG, lambda: None)


def test_cancelled_body_leaves_the_queue():
    async def run():
        link = open_pacer(2 * pacing.CHUNK_BYTES)
        await link.flow(pacing.CHUNK_BYTES, SHORT)
        waiting = asyncio.create_task(link.flow(pacing.CHUNK_BYTES, SHORT))
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
        link = open_pacer(8 * pacing.CHUNK_BYTES)
        order = []

        async def send(name, priority, chunks):
            await link.flow(chunks * pacing.CHUNK_BYTES, priority)
            order.append(name)

        uploads = asyncio.create_task(send('upload', LONG, 5))
        await asyncio.sleep(0.01)
        await send('list', SHORT, 1)
        await uploads
        assert order == ['list', 'upload']
        await link.stop()

    asyncio.run(run())
