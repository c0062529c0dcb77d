"""Requests that wait at a VM are sent, refused or forgotten in time."""

import asyncio
import random

import multidict
import pytest

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.accounts import account as accounts
from bulrushcourse_domain.accounts import account_table
from bulrushcourse_domain.fleet import planned_stop
from bulrushcourse_domain.placement import reservation
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_domain.waiting import waiting_room
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.edge.callers import caller_request
from bulrushcourse_entry.edge.callers import outcomes
from bulrushcourse_entry.edge.waiting import waiting_admission

End = waiting_room.End

SLOTS = 4
# Beyond the slots and every limit of the standing queue.
OVERLOAD = 9

NO_ACCOUNTS = account_table.AccountTable()
ONE_ACCOUNT = account_table.build_table([accounts.ClientAccount('a')])


def make_route(path, priority, objective_s=0.6):
    return routes.Route(
        'h',
        path,
        (routes.WeightedService('s'),),
        objective_s=objective_s,
        timeout_s=5.0,
        priority=priority,
    )


URGENT, BULK = make_route('/urgent/', 0), make_route('/bulk/', 2)


def make_admission(listed=(URGENT, BULK), table=None):
    clock = clocks.ManualClock(100.0)
    settings = edge_settings.EdgeSettings(
        'vm-1', 'r', 'd', '127.0.0.1:1', '127.0.0.1:2', peers='127.0.0.1:3'
    )
    state = process_state.build_state(settings, clock, random.Random(1))
    state.routes.install(
        routes.RouteSet(
            5,
            tuple(listed),
            {'s': routes.Service('s')},
            accounts=table or ONE_ACCOUNT,
        )
    )
    state.upstreams.apply_snapshot(
        upstreams.Snapshot(
            1, [upstreams.Upstream('u', 's', 'u:1', 'd', 'r', SLOTS)]
        )
    )
    return waiting_admission.WaitingRoomAdmission(state)


def make_request(admission, route, identity=account_table.ANONYMOUS):
    now = admission.state.clock.monotonic()
    return caller_request.CallerRequest(
        'id',
        'GET',
        route.prefix,
        multidict.CIMultiDictProxy(multidict.CIMultiDict()),
        b'',
        route,
        5,
        's',
        'r',
        '',
        now,
        now + 5.0,
        identity,
    )


def ends(admission):
    return admission.state.waiting_room.ends


def set_load(admission, count):
    admission.state.load.record_peer_load('vm-2', {'u': count})


async def settle():
    for _ in range(4):
        await asyncio.sleep(0)


async def start(admission, *listed):
    tasks = [
        asyncio.create_task(
            admission.choose_first(make_request(admission, route))
        )
        for route in listed
    ]
    await settle()
    return tasks


async def offer(admission):
    """Offer room as often as entries wait, without real pauses."""
    for _ in range(admission.state.waiting_room.count):
        admission._offer_room()
        await settle()


def run(test):
    return asyncio.run(test)


def test_burst_of_the_least_urgent_kind_waits_behind_the_most_urgent():
    async def scenario():
        admission = make_admission()
        set_load(admission, OVERLOAD)
        tasks = await start(admission, BULK, BULK, URGENT)
        assert not any(task.done() for task in tasks)
        set_load(admission, SLOTS - 1)
        admission._offer_room()
        await settle()
        assert [task.done() for task in tasks] == [False, False, True]
        assert isinstance(tasks[2].result(), reservation.Reservation)
        await offer(admission)
        assert all(task.done() for task in tasks)
        assert admission.state.waiting_room.count == 0

    run(scenario())


def test_end_of_an_attempt_wakes_the_next_request():
    async def scenario():
        admission = make_admission()
        set_load(admission, OVERLOAD)
        (task,) = await start(admission, URGENT)
        set_load(admission, 1)
        admission.state.room_changes.on_next(None)
        assert isinstance(await task, reservation.Reservation)

    run(scenario())


def test_request_without_room_is_refused_when_its_wait_ends():
    async def scenario():
        admission = make_admission([make_route('/', 0, 0.05), BULK])
        set_load(admission, OVERLOAD)
        (task,) = await start(admission, make_route('/', 0, 0.05))
        outcome = await task
        assert isinstance(outcome, outcomes.Refusal)
        assert outcome.retry_after_s > 0
        assert ends(admission)[End.NO_ROOM] == 1

    run(scenario())


def test_caller_that_disconnects_leaves_the_room():
    async def scenario():
        admission = make_admission()
        set_load(admission, OVERLOAD)
        (task,) = await start(admission, URGENT)
        assert admission.state.waiting_room.count == 1
        task.cancel()
        await settle()
        assert admission.state.waiting_room.count == 0
        assert not admission.waiters
        assert ends(admission)[End.LEFT] == 1

    run(scenario())


def test_wait_that_a_planned_stop_ends_is_counted_as_such():
    # Guards against counts by which callers seem to leave at each stop.
    async def scenario():
        admission = make_admission()
        set_load(admission, OVERLOAD)
        (task,) = await start(admission, URGENT)
        now = admission.state.clock.monotonic()
        admission.state.planned_stop = planned_stop.PlannedStop(now - 0.9, 1.0)
        task.cancel()
        await settle()
        assert not admission.waiters
        assert ends(admission)[End.STOPPING] == 1
        assert ends(admission)[End.LEFT] == 0

    run(scenario())


def test_requests_of_a_vm_that_was_suspended_are_refused_not_sent():
    async def scenario():
        admission = make_admission()
        set_load(admission, OVERLOAD)
        tasks = await start(admission, URGENT, BULK)
        admission.state.clock.advance(60.0)
        admission.state.load.expire_peer_loads()
        admission._offer_room()
        for task in tasks:
            assert isinstance(await task, outcomes.Refusal)

    run(scenario())


def test_planned_stop_refuses_what_cannot_finish():
    async def scenario():
        admission = make_admission()
        set_load(admission, OVERLOAD)
        tasks = await start(admission, URGENT, BULK)
        now = admission.state.clock.monotonic()
        admission.state.planned_stop = planned_stop.PlannedStop(now - 0.9, 1.0)
        admission._offer_room()
        for task in tasks:
            assert await task is outcomes.STOPPING

    run(scenario())


def test_displaced_request_is_refused_at_once():
    async def scenario():
        admission = make_admission()
        admission.state.waiting_room.max_entries = 2
        set_load(admission, OVERLOAD)
        tasks = await start(admission, BULK, URGENT, URGENT, BULK)
        assert [task.done() for task in tasks] == [True, False, False, True]
        assert isinstance(tasks[0].result(), outcomes.Refusal)
        assert ends(admission)[End.DISPLACED] == 1
        assert ends(admission)[End.ROOM_FULL] == 1

    run(scenario())


def test_services_without_ranks_and_accounts_are_decided_on_at_once():
    # Guards against a change of deployments whose configuration has neither.
    async def scenario():
        admission = make_admission([URGENT], NO_ACCOUNTS)
        set_load(admission, OVERLOAD)
        (task,) = await start(admission, URGENT)
        assert task.done()
        assert not admission.state.pressure.own

    run(scenario())


def test_new_configuration_switches_the_waiting_room_on():
    async def scenario():
        admission = make_admission([URGENT], NO_ACCOUNTS)
        await start(admission, URGENT)
        admission.state.routes.install(
            routes.RouteSet(
                6,
                (URGENT, BULK),
                {'s': routes.Service('s')},
                accounts=ONE_ACCOUNT,
            )
        )
        set_load(admission, OVERLOAD)
        (task,) = await start(admission, URGENT)
        assert not task.done()
        task.cancel()

    run(scenario())


@pytest.mark.parametrize(('hot', 'sends'), [(True, False), (False, True)])
def test_hot_account_does_not_take_the_room_of_the_others(hot, sends):
    # Load `hot_tenant`: one of 20 accounts sends as much as all others.
    async def scenario():
        listed = [accounts.ClientAccount(f'a{n}') for n in range(20)]
        table = account_table.build_table(listed)
        admission = make_admission(table=table)
        set_load(admission, SLOTS)
        names = [*listed, *listed, *([listed[0]] * 40)]
        for account in names:
            admission.decisions.shares.record_arrival(account.name, 1.0, 0.5)
        identity = account_table.Identity(
            account_table.KeyVerdict.KNOWN, listed[0 if hot else 1]
        )
        task = asyncio.create_task(
            admission.choose_first(make_request(admission, URGENT, identity))
        )
        await settle()
        assert task.done() is sends
        task.cancel()

    run(scenario())


def test_wait_ends_also_if_the_decision_fails():
    # Guards against a caller that is held until its deadline by a defect.
    async def scenario():
        admission = make_admission()
        set_load(admission, OVERLOAD)
        (task,) = await start(admission, URGENT)
        waiter = next(iter(admission.waiters.values()))
        waiter.request.route = None
        admission._end_wait(waiter)
        with pytest.raises(AttributeError):
            await task
        assert admission.state.waiting_room.count == 0

    run(scenario())
