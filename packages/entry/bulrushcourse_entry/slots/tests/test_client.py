"""Guards against the use of grants of a former pool owner."""

import asyncio

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.slots import requests
from bulrushcourse_entry.slots import client
from bulrushcourse_entry.slots.tests import fakes
from bulrushcourse_wire import slot_messages

POOL = 'ro-nord/catalog'
REQUEST = requests.SlotRequest('r', 'e1', 'short', 5.0, 'print')


def run(scenario):
    async def start():
        messenger = fakes.FakeMessenger()
        slots = client.SlotClient(clocks.ManualClock(), messenger)
        slots.start()
        await scenario(messenger, slots)

    asyncio.run(start())


async def start_request(messenger, slots):
    """Start a request; return its task and the identifier that was sent."""
    task = asyncio.create_task(slots.acquire('catalog', 'ro-nord', REQUEST))
    return task, await next_request_id(messenger)


async def next_request_id(messenger):
    for _ in range(20):
        await asyncio.sleep(0.01)
        found = messenger.take_sent(slot_messages.SlotRequest)
        if found:
            return found[-1][1].request_id
    raise AssertionError('no slot request was sent')


def test_late_grant_of_former_owner_is_cancelled():
    async def scenario(messenger, slots):
        messenger.receive('a', slot_messages.HeldSlotsRequest(POOL, 1))
        task, first = await start_request(messenger, slots)
        messenger.receive('b', slot_messages.HeldSlotsRequest(POOL, 1))
        assert (
            messenger.take_sent(slot_messages.HeldSlotsReport)[-1][1].held
            == ()
        )
        messenger.receive('a', slot_messages.SlotGrant(POOL, first, 'i'))
        assert not slots.held
        ((peer, cancel),) = messenger.take_sent(slot_messages.SlotCancel)
        assert (peer, cancel.request_id) == ('a', first)
        second = await next_request_id(messenger)
        messenger.receive('b', slot_messages.SlotGrant(POOL, second, 'i'))
        assert (await task).unwrap().request_id == second

    run(scenario)


def test_new_owner_receives_held_slots():
    async def scenario(messenger, slots):
        messenger.receive('a', slot_messages.HeldSlotsRequest(POOL, 1))
        task, request_id = await start_request(messenger, slots)
        messenger.receive('a', slot_messages.SlotGrant(POOL, request_id, 'i'))
        await task
        messenger.take_sent(slot_messages.HeldSlotsReport)
        messenger.receive('b', slot_messages.HeldSlotsRequest(POOL, 4))
        ((peer, reply),) = messenger.take_sent(slot_messages.HeldSlotsReport)
        assert (peer, reply.term) == ('b', 4)
        held = slot_messages.HeldSlot(request_id, 'i', 'short', 5.0, 'print')
        assert reply.held == (held,)
        done = requests.ReleaseOutcome.DONE
        slots.release('catalog', 'ro-nord', request_id, done, 0.1)
        ((peer, _),) = messenger.take_sent(slot_messages.SlotRelease)
        assert peer == 'b'

    run(scenario)


def test_request_is_sent_again_after_the_stream_broke():
    async def scenario(messenger, slots):
        messenger.receive('a', slot_messages.HeldSlotsRequest(POOL, 1))
        task, first = await start_request(messenger, slots)
        messenger.change_connection('a', False)
        assert not slots.sessions
        messenger.change_connection('a', True)
        messenger.receive('a', slot_messages.HeldSlotsRequest(POOL, 1))
        second = await next_request_id(messenger)
        assert second != first
        messenger.receive('a', slot_messages.SlotGrant(POOL, second, 'i'))
        assert (await task).unwrap().instance == 'i'

    run(scenario)


def test_cancelled_request_is_withdrawn():
    async def scenario(messenger, slots):
        messenger.receive('a', slot_messages.HeldSlotsRequest(POOL, 1))
        task, request_id = await start_request(messenger, slots)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        ((_, cancel),) = messenger.take_sent(slot_messages.SlotCancel)
        assert cancel.request_id == request_id
        assert not slots.pending

    run(scenario)


def test_waiting_requests_are_refused_when_the_entry_leaves():
    """Guards against requests that a forced stop cuts off unanswered."""

    async def scenario(messenger, slots):
        without_owner = asyncio.create_task(
            slots.acquire('orders', 'ro-nord', REQUEST)
        )
        messenger.receive('a', slot_messages.HeldSlotsRequest(POOL, 1))
        undecided, request_id = await start_request(messenger, slots)
        slots.refuse_waiting()
        later = asyncio.create_task(
            slots.acquire('catalog', 'ro-nord', REQUEST)
        )
        for task in (without_owner, undecided, later):
            refusal = (await asyncio.wait_for(task, 1)).failure()
            assert refusal.reason is requests.RefusalReason.LEAVING
        ((peer, cancel),) = messenger.take_sent(slot_messages.SlotCancel)
        assert (peer, cancel.request_id) == ('a', request_id)
        assert not messenger.take_sent(slot_messages.SlotRequest)

    run(scenario)
