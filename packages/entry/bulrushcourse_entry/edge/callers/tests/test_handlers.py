"""Requests of callers that wait when a planned stop ends accepting."""

import asyncio
import random

import attrs
import pytest
from aiohttp import test_utils

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.accounts import account as accounts
from bulrushcourse_domain.accounts import account_table
from bulrushcourse_domain.fleet import planned_stop
from bulrushcourse_domain.quotas import token_stock
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.edge.accounts import account_gate
from bulrushcourse_entry.edge.callers import handlers as request_handlers
from bulrushcourse_entry.edge.callers import responses
from bulrushcourse_entry.edge.callers import target_lookup
from bulrushcourse_entry.edge.callers import unsent_requests
from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_entry.edge.reporting import metrics as edge_metrics
from bulrushcourse_entry.edge.upstreams import destinations

NOW = 100.0
STOP = planned_stop.PlannedStop(NOW, 10.0)
ACCOUNT = accounts.ClientAccount('a', quota=accounts.Quota(1.0))
TOKEN = token_stock.Token('vm-2', 1, NOW + 60.0)
ROUTE = routes.Route(
    'h', '/', (routes.WeightedService('s'),), timeout_s=20.0, public=True
)
CONFIGURATION = 'configuration'
QUOTA = 'token'
EXECUTION = 'execution'


@attrs.define(eq=False)
class Stages:
    """The stages of a request, one of which never ends.

    Attributes:
        endless: The one that never ends.
        entered: Stages that were begun.
        given_back: Tokens that were given back.
    """

    endless: str = ''
    entered: list[str] = attrs.field(factory=list)
    given_back: list[token_stock.Token] = attrs.field(factory=list)

    async def enter(self, stage):
        self.entered.append(stage)
        if stage == self.endless:
            await asyncio.Event().wait()

    async def find(self, match, key, remaining_s):
        await self.enter(CONFIGURATION)
        return target_lookup.Target(
            match(),
            account_table.Identity(account_table.KeyVerdict.KNOWN, ACCOUNT),
        )

    async def admit(self, account, deadline):
        await self.enter(QUOTA)
        return TOKEN

    def give_back(self, account, token):
        self.given_back.append(token)

    async def execute(self, request):
        await self.enter(EXECUTION)
        raise AssertionError('no request of these tests is executed')


def make_handlers(stages):
    settings = edge_settings.EdgeSettings('vm-1', 'a', 'a', 'h:1', 'h:2')
    state = process_state.build_state(
        settings, clocks.ManualClock(NOW), random.Random(1)
    )
    state.routes.install(
        routes.RouteSet(1, (ROUTE,), {'s': routes.Service('s')})
    )
    return request_handlers.Handlers(
        state,
        destinations.DestinationSelector(state),
        stages,
        account_gate.AccountGate(quotas=stages),
        stages,
        responses.Responder(
            state, event_logs.EventLog(state.clock), edge_metrics.Metrics()
        ),
        unsent_requests.UnsentRequests(state),
    )


def make_request(path='/x'):
    return test_utils.make_mocked_request(
        'GET', path, headers={'Host': 'h', 'X-Request-Id': 'id'}
    )


async def end_accepting(handlers):
    for _ in range(4):
        await asyncio.sleep(0)
    handlers.state.planned_stop = STOP
    handlers.state.clock.advance(STOP.accept_until - NOW)
    handlers.unsent.refuse_late()


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 5))


@pytest.mark.parametrize(
    ('endless', 'given_back'),
    [(CONFIGURATION, []), (QUOTA, []), (EXECUTION, [TOKEN])],
)
def test_request_is_refused_wherever_it_waits(endless, given_back):
    # Guards against requests that wait on after the end of accepting and are
    # cut off, and against quotas that lose the tokens of refused requests.
    async def scenario():
        stages = Stages(endless)
        handlers = make_handlers(stages)
        task = asyncio.create_task(handlers.execute(make_request()))
        await end_accepting(handlers)
        assert (await task).response.status == 503
        assert stages.entered[-1] == endless
        assert stages.given_back == given_back
        assert not handlers.unsent.scopes

    run(scenario())


def test_request_that_cannot_finish_does_not_begin_to_wait():
    # Guards against waits for the configuration that are in vain.
    async def scenario():
        stages = Stages()
        handlers = make_handlers(stages)
        await end_accepting(handlers)
        served = await handlers.execute(make_request())
        assert served.response.status == 503
        assert stages.entered == []

    run(scenario())
