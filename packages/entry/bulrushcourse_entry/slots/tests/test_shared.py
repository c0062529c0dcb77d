"""Guards against grants of an owner that is no longer the owner."""

import asyncio

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.slots import requests
from bulrushcourse_entry.slots import shared
from bulrushcourse_entry.slots.tests import fakes
from bulrushcourse_wire import slot_messages

POOL = 'ro-nord/catalog'
WISH = requests.SlotRequest('r', 'e1', 'short', 5.0, 'print')


def run(scenario):
    async def start():
        switch = fakes.FakeSwitch()
        slots = shared.SharedSlots(clocks.ManualClock(), switch)
        slots.start()
        await scenario(switch, slots)

    asyncio.run(start())


async def ask(switch, slots):
    """Start a request and return its task and its identifier."""
    task = asyncio.create_task(slots.acquire('catalog', 'ro-nord', WISH))
    return task, await sent_id(switch)


async def sent_id(switch):
    for _ in range(20):
        await asyncio.sleep(0.01)
        found = switch.taken(slot_messages.SlotRequest)
        if found:
            return found[-1][1].request_id
    raise AssertionError('nothing was asked')


def test_late_grant_of_former_owner_is_given_back():
    async def scenario(switch, slots):
        switch.receive('a', slot_messages.HeldSlotsRequest(POOL, 1))
        task, first = await ask(switch, slots)
        switch.receive('b', slot_messages.HeldSlotsRequest(POOL, 1))
        assert switch.taken(slot_messages.HeldSlotsReport)[-1][1].held == ()
        switch.receive('a', slot_messages.SlotGrant(POOL, first, 'i'))
        assert not slots.held
        ((peer, cancel),) = switch.taken(slot_messages.SlotCancel)
        assert (peer, cancel.request_id) == ('a', first)
        second = await sent_id(switch)
        switch.receive('b', slot_messages.SlotGrant(POOL, second, 'i'))
        assert (await task).unwrap().request_id == second

    run(scenario)


def test_new_owner_is_told_what_is_held():
    async def scenario(switch, slots):
        switch.receive('a', slot_messages.HeldSlotsRequest(POOL, 1))
        task, request_id = await ask(switch, slots)
        switch.receive('a', slot_messages.SlotGrant(POOL, request_id, 'i'))
        await task
        switch.taken(slot_messages.HeldSlotsReport)
        switch.receive('b', slot_messages.HeldSlotsRequest(POOL, 4))
        ((peer, reply),) = switch.taken(slot_messages.HeldSlotsReport)
        assert (peer, reply.term) == ('b', 4)
        held = slot_messages.HeldSlot(request_id, 'i', 'short', 5.0, 'print')
        assert reply.held == (held,)
        done = requests.ReleaseOutcome.DONE
        slots.release('catalog', 'ro-nord', request_id, done, 0.1)
        ((peer, _),) = switch.taken(slot_messages.SlotRelease)
        assert peer == 'b'

    run(scenario)


def test_request_is_asked_again_after_the_stream_broke():
    async def scenario(switch, slots):
        switch.receive('a', slot_messages.HeldSlotsRequest(POOL, 1))
        task, first = await ask(switch, slots)
        switch.change('a', False)
        assert not slots.sessions
        switch.change('a', True)
        switch.receive('a', slot_messages.HeldSlotsRequest(POOL, 1))
        second = await sent_id(switch)
        assert second != first
        switch.receive('a', slot_messages.SlotGrant(POOL, second, 'i'))
        assert (await task).unwrap().instance == 'i'

    run(scenario)


def test_cancelled_request_is_withdrawn():
    async def scenario(switch, slots):
        switch.receive('a', slot_messages.HeldSlotsRequest(POOL, 1))
        task, request_id = await ask(switch, slots)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        ((_, cancel),) = switch.taken(slot_messages.SlotCancel)
        assert cancel.request_id == request_id
        assert not slots.asks

    run(scenario)
