"""Requests that are decided on in one pass of the event loop see each other.

A VM that wakes from a pause reads all that has arrived in its sockets before
any of it is sent; so does one that reads a burst of pipelined requests.
"""

import asyncio
import random

import attrs
import multidict
import pytest
from returns import result

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.accounts import account
from bulrushcourse_domain.accounts import account_table
from bulrushcourse_domain.routes import freshness
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.upstreams import outlier_detection
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.edge.accounts import account_gate
from bulrushcourse_entry.edge.callers import attempts
from bulrushcourse_entry.edge.callers import body_content
from bulrushcourse_entry.edge.callers import caller_request
from bulrushcourse_entry.edge.callers import configuration_gate
from bulrushcourse_entry.edge.callers import outcomes
from bulrushcourse_entry.edge.callers import request_executor
from bulrushcourse_entry.edge.upstreams import destinations
from bulrushcourse_entry.edge.upstreams import upstream_client
from bulrushcourse_entry.edge.waiting import waiting_admission

BURST = 30
SLOTS = 100
CONNECTIONS = 5


@attrs.define
class Sends:
    """Stands in for the client of the upstreams: it sends and never ends.

    Attributes:
        sent: Names of the upstreams, in the order of the sends.
        failures: Results of the first sends.
    """

    sent: list[str] = attrs.field(factory=list)
    failures: list[upstream_client.Failure] = attrs.field(factory=list)

    async def send(self, trace, outbound):
        self.sent.append(trace.upstream.name)
        if self.failures:
            return result.Failure(self.failures.pop(0))
        await asyncio.Event().wait()


def make_state(names=('u',), **service):
    settings = edge_settings.EdgeSettings(
        'vm-1', 'r', 'd', 'h:1', 'h:2', regions={'d': 'r'}
    )
    clock = clocks.ManualClock(100.0)
    state = process_state.build_state(settings, clock, random.Random(1))
    configure(state, 1, **service)
    state.freshness.confirm(100.0, freshness.Source.STORE)
    state.warmup_limiter.set_members(['vm-1'])
    state.upstreams.apply_snapshot(
        upstreams.Snapshot(
            1,
            tuple(
                upstreams.Upstream(name, 's', f'{name}:1', 'd', 'r', SLOTS)
                for name in names
            ),
        )
    )
    return state


def configure(state, version, account_names=(), **service):
    listed = [account.ClientAccount(name) for name in account_names]
    state.routes.install(
        routes.RouteSet(
            version,
            (make_route(True), make_route(False)),
            {'s': routes.Service('s', **service)},
            accounts=account_table.build_table(listed, bool(listed)),
        )
    )


def make_route(idempotent):
    return routes.Route(
        'h',
        '/read/' if idempotent else '/order/',
        (routes.WeightedService('s'),),
        idempotent=idempotent,
        max_attempts=3,
    )


def make_executor(state, sends):
    chooser = destinations.DestinationSelector(state)
    return request_executor.RequestExecutor(
        state,
        attempts.AttemptRunner(
            state, sends, lambda _: None, lambda _: None, lambda *_: True
        ),
        waiting_admission.WaitingRoomAdmission(state),
        account_gate.AccountGate(),
        configuration_gate.ConfigurationGate(state, chooser),
    )


def make_request(number, idempotent=True):
    route = make_route(idempotent)
    return caller_request.CallerRequest(
        f'r{number}',
        'GET',
        f'{route.prefix}{number}',
        multidict.CIMultiDictProxy(multidict.CIMultiDict()),
        body_content.Content(),
        route,
        1,
        's',
        'r',
        '',
        100.0,
        105.0,
    )


def start_burst(executor, idempotent, count=BURST):
    return [
        asyncio.create_task(executor.execute(make_request(number, idempotent)))
        for number in range(count)
    ]


async def settle():
    for _ in range(8):
        await asyncio.sleep(0)


async def end(tasks, executor):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await executor.close()
    await settle()


@pytest.mark.parametrize('accounts', [(), ('a',)])
@pytest.mark.parametrize('idempotent', [True, False])
def test_cold_upstream_gets_one_of_a_burst(accounts, idempotent):
    # Guards against a VM that wakes and sends all that it has read to an
    # upstream that has just started, which crashes.
    async def scenario():
        state = make_state(warmup_per_s=10.0)
        configure(state, 2, accounts, warmup_per_s=10.0)
        state.upstreams.cold.extend('u', 160.0)
        sends = Sends()
        executor = make_executor(state, sends)
        tasks = start_burst(executor, idempotent)
        await settle()
        assert sends.sent == ['u']
        await end(tasks, executor)
        assert not state.load.own_in_flight

    asyncio.run(scenario())


@pytest.mark.parametrize('idempotent', [True, False])
def test_burst_stays_within_the_connections_of_an_upstream(idempotent):
    # Guards against connections beyond those that an upstream accepts.
    async def scenario():
        state = make_state(max_connections=CONNECTIONS)
        sends = Sends()
        executor = make_executor(state, sends)
        tasks = start_burst(executor, idempotent)
        await settle()
        assert 0 < len(sends.sent) <= CONNECTIONS
        await end(tasks, executor)
        assert not state.load.own_in_flight

    asyncio.run(scenario())


def test_upstream_whose_ejection_ends_gets_one_probe_of_a_burst():
    # Guards against a burst at an upstream that may still be out of order.
    async def scenario():
        state = make_state(('u', 'v'))
        lost = outlier_detection.Outcome.LOST
        while not state.outliers.is_ejected('u'):
            state.outliers.record_outcome('u', lost)
        state.clock.advance(60.0)
        state.freshness.confirm(160.0, freshness.Source.STORE)
        # Makes it the cheapest one in spite of its failures.
        state.load.record_peer_load('vm-2', {'v': 3 * SLOTS})
        sends = Sends()
        executor = make_executor(state, sends)
        requests = [make_request(number) for number in range(BURST)]
        for request in requests:
            request.arrived, request.deadline = 160.0, 165.0
        tasks = [asyncio.create_task(executor.execute(r)) for r in requests]
        await settle()
        assert sends.sent.count('u') == 1
        await end(tasks, executor)

    asyncio.run(scenario())


@pytest.mark.parametrize('accounts', [(), ('a',)])
@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize('passes', range(5))
def test_callers_that_leave_return_their_room(accounts, idempotent, passes):
    # Guards against room that stays taken for requests whose callers left
    # between the choice of an upstream and the start of the attempt.
    async def scenario():
        state = make_state()
        configure(state, 2, accounts)
        executor = make_executor(state, Sends())
        tasks = start_burst(executor, idempotent)
        for _ in range(passes):
            await asyncio.sleep(0)
        await end(tasks, executor)
        assert not state.load.own_in_flight

    asyncio.run(scenario())


def test_caller_that_leaves_as_its_wait_ends_returns_its_room():
    # Guards against room that stays taken where a wait ends and its caller
    # leaves in one pass.
    async def scenario():
        state = make_state()
        configure(state, 2, ('a',))
        state.load.record_peer_load('vm-2', {'u': 4 * SLOTS})
        executor = make_executor(state, Sends())
        (task,) = start_burst(executor, True, 1)
        await settle()
        assert state.waiting_room.count == 1
        state.load.record_peer_load('vm-2', {})
        executor.admission._offer_room()
        assert state.load.own_in_flight == {'u': 1}
        task.cancel()
        await settle()
        assert not state.load.own_in_flight

    asyncio.run(scenario())


@attrs.define
class LateConfiguration:
    """Admission during whose first choice a configuration arrives."""

    admission: waiting_admission.WaitingRoomAdmission

    async def choose_first(self, request):
        reserved = await self.admission.choose_first(request)
        state = self.admission.state
        if state.routes.version == 1:
            configure(state, 2)
        return reserved


def test_configuration_that_arrives_with_the_choice_returns_its_room():
    # Guards against room that stays taken for a choice that a new
    # configuration made void.
    async def scenario():
        state = make_state()
        executor = make_executor(state, Sends())
        request = make_request(1)
        executor.admission = LateConfiguration(executor.admission)
        task = asyncio.create_task(executor.execute(request))
        await settle()
        assert state.load.own_in_flight == {'u': 1}
        await end([task], executor)
        assert not state.load.own_in_flight

    asyncio.run(scenario())


def test_failed_attempts_return_their_room():
    # Guards against room that stays taken by attempts that are repeated.
    async def scenario():
        state = make_state(('u', 'v', 'w'))
        not_sent = upstream_client.Failure.NOT_SENT
        sends = Sends(failures=[not_sent] * 3)
        executor = make_executor(state, sends)
        outcome = await executor.execute(make_request(1, False))
        assert isinstance(outcome, outcomes.Refusal)
        assert sorted(sends.sent) == ['u', 'v', 'w']
        assert not state.load.own_in_flight

    asyncio.run(scenario())
