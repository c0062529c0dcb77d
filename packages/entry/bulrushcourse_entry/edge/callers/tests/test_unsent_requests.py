"""Requests that a planned stop refuses before they are sent."""

import asyncio
import random

import attrs
import pytest

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.fleet import planned_stop
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.edge.callers import outcomes
from bulrushcourse_entry.edge.callers import unsent_requests

NOW = 100.0
STOP = planned_stop.PlannedStop(NOW, 10.0)
EARLY = STOP.finish_until - 0.1
LATE = STOP.finish_until + 0.1


@attrs.define(eq=False)
class Request:
    """A request with what the rule looks at."""

    deadline: float = LATE
    may_have_run: bool = False


@attrs.define(eq=False)
class Work:
    """Work on a request that waits until it is let go on."""

    going_on: asyncio.Event = attrs.field(factory=asyncio.Event)
    was_begun: bool = False
    was_cancelled: bool = False

    async def run(self):
        self.was_begun = True
        try:
            await self.going_on.wait()
        except asyncio.CancelledError:
            self.was_cancelled = True
            raise
        return 'done'


def make_unsent():
    settings = edge_settings.EdgeSettings('vm-1', 'a', 'a', 'h:1', 'h:2')
    state = process_state.build_state(
        settings, clocks.ManualClock(NOW), random.Random(1)
    )
    return unsent_requests.UnsentRequests(state)


def stop(unsent):
    """Let the time for accepting in a planned stop pass."""
    unsent.state.planned_stop = STOP
    unsent.state.clock.advance(STOP.accept_until - NOW)


async def start(unsent, request, work):
    task = asyncio.create_task(unsent.run(request, work.run()))
    await asyncio.sleep(0)
    return task


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 5))


def test_stop_ends_the_waits_of_requests_that_cannot_finish():
    # Guards against requests that wait on after the end of accepting, until
    # the stop cuts them off without an answer.
    async def scenario():
        unsent, late, early = make_unsent(), Work(), Work()
        late_task = await start(unsent, Request(LATE), late)
        early_task = await start(unsent, Request(EARLY), early)
        stop(unsent)
        unsent.refuse_late()
        assert await late_task is outcomes.STOPPING
        assert late.was_cancelled
        assert not early_task.done()
        early.going_on.set()
        assert await early_task == 'done'
        assert not unsent.scopes

    run(scenario())


def test_requests_wait_on_until_the_end_of_accepting():
    # Guards against refusals while the VM is still named in look-ups.
    async def scenario():
        unsent, work = make_unsent(), Work()
        task = await start(unsent, Request(LATE), work)
        unsent.state.planned_stop = STOP
        unsent.refuse_late()
        work.going_on.set()
        assert await task == 'done'

    run(scenario())


@pytest.mark.parametrize(('deadline', 'is_begun'), [(EARLY, 1), (LATE, 0)])
def test_later_request_is_begun_if_it_can_finish(deadline, is_begun):
    # Guards against requests that begin to wait after the end of accepting.
    async def scenario():
        unsent, work = make_unsent(), Work()
        stop(unsent)
        unsent.refuse_late()
        task = await start(unsent, Request(deadline), work)
        work.going_on.set()
        assert await task == ('done' if is_begun else outcomes.STOPPING)
        assert work.was_begun == is_begun

    run(scenario())


def test_request_that_was_sent_is_not_refused():
    # Guards against refusals of requests that may run.
    async def scenario():
        unsent, work, request = make_unsent(), Work(), Request(LATE)
        task = await start(unsent, request, work)
        assert unsent.begin_send(request)
        stop(unsent)
        unsent.refuse_late()
        unsent.refuse_all()
        await asyncio.sleep(0)
        work.going_on.set()
        assert await task == 'done'

    run(scenario())


def test_request_that_is_being_refused_is_not_sent():
    # Guards against requests that are sent between their refusal and the
    # cancellation of their work, and would run at two VMs.
    async def scenario():
        unsent, work, request = make_unsent(), Work(), Request(EARLY)
        task = await start(unsent, request, work)
        unsent.state.planned_stop = STOP
        unsent.refuse_all()
        assert not unsent.begin_send(request)
        assert await task is outcomes.STOPPING
        assert not unsent.begin_send(request)

    run(scenario())


def test_connection_that_opens_after_the_end_of_accepting_is_not_used():
    # Guards against a send between the end of accepting and the refusals.
    async def scenario():
        unsent, work, request = make_unsent(), Work(), Request(LATE)
        task = await start(unsent, request, work)
        stop(unsent)
        assert not unsent.begin_send(request)
        unsent.refuse_late()
        assert await task is outcomes.STOPPING

    run(scenario())


def test_retry_of_a_request_that_may_have_run_is_not_refused():
    # Guards against a change of outcome of requests that may have run.
    async def scenario():
        unsent, request = make_unsent(), Request(LATE, may_have_run=True)
        stop(unsent)
        assert unsent.begin_send(request)

    run(scenario())


def test_time_limit_refuses_all_that_was_not_sent():
    # Guards against requests that are cut off although they have not run.
    async def scenario():
        unsent, work = make_unsent(), Work()
        task = await start(unsent, Request(EARLY), work)
        stop(unsent)
        unsent.refuse_late()
        unsent.refuse_all()
        assert await task is outcomes.STOPPING
        later = await start(unsent, Request(EARLY), Work())
        assert await later is outcomes.STOPPING

    run(scenario())


def test_caller_that_leaves_during_a_refusal_ends_its_request():
    # Guards against a refusal that hides the cancellation of its task.
    async def scenario():
        unsent, work = make_unsent(), Work()
        task = await start(unsent, Request(LATE), work)
        stop(unsent)
        unsent.refuse_late()
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert not unsent.scopes

    run(scenario())


def test_timeout_of_the_work_is_not_a_refusal():
    # Guards against errors that are answered as proven not to have run.
    async def fail():
        raise TimeoutError

    async def scenario():
        with pytest.raises(TimeoutError):
            await make_unsent().run(Request(), fail())

    run(scenario())
