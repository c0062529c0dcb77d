"""Requests that end while they wait for a token."""

import asyncio
import random

import attrs
import pytest

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.fleet import fleet
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.edge.accounts import token_exchange
from bulrushcourse_entry.edge.accounts import token_granter
from bulrushcourse_entry.edge.accounts import token_streams
from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_wire import quota_messages

NOW = 100.0
OWNER, PLACE, ACCOUNT = 'vm-2', 'a', 'account'
GRANTED = quota_messages.Granted(ACCOUNT, 1, lifetime_ms=2000)


@attrs.frozen
class FixedOwnership:
    """The same owner for each account."""

    def owner(self, place, account):
        return OWNER


@attrs.define(eq=False)
class OpenStreams(token_streams.TokenStreams):
    """Streams whose messages the test answers."""

    def _stream(self, place, vm):
        return self.streams.setdefault(
            vm.name, token_streams.OwnerStream(vm, place)
        )

    def answer(self):
        stream = self.streams[OWNER]
        self.exchange.apply(OWNER, PLACE, stream.waiting, [GRANTED], NOW)


def make_streams():
    settings = edge_settings.EdgeSettings('vm-1', 'a', 'a', 'h:1', 'h:2')
    clock = clocks.ManualClock(NOW)
    state = process_state.build_state(settings, clock, random.Random(1))
    state.token_ledger.ownership = FixedOwnership()
    state.fleet.add_vm(fleet.Vm(OWNER, 1, 'h:3', 'h:4', 'a', 'a'))
    event_log = event_logs.EventLog(clock)
    return OpenStreams(
        state,
        event_log,
        token_granter.TokenGranter(state, event_log),
        token_exchange.TokenExchange(state),
    )


@pytest.mark.parametrize('is_answered_first', [True, False])
def test_token_of_a_request_that_ended_stays_in_the_stock(is_answered_first):
    # Guards against quotas that lose a token when a request ends in the same
    # moment in which its token arrives.
    async def scenario():
        streams = make_streams()
        task = asyncio.create_task(streams.ask(PLACE, ACCOUNT))
        await asyncio.sleep(0)
        steps = [streams.answer, task.cancel]
        for step in steps if is_answered_first else reversed(steps):
            step()
        with pytest.raises(asyncio.CancelledError):
            await task
        stock = streams.state.holdings.of(ACCOUNT).stock
        assert len(stock.tokens) == 1

    asyncio.run(asyncio.wait_for(scenario(), 5))
