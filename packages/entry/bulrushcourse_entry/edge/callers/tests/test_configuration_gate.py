"""Requests wait for a configuration that is being confirmed."""

import asyncio
import random

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.routes import freshness
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.edge.callers import configuration_gate


def make_route(prefix='/p/', service='s', homes=('a',)):
    return routes.Route(
        'h',
        prefix,
        (routes.WeightedService(service),),
        home_regions=frozenset(homes),
    )


def make_gate():
    settings = edge_settings.EdgeSettings(
        'vm-1', 'a', 'a', '127.0.0.1:1', '127.0.0.1:2'
    )
    return configuration_gate.ConfigurationGate(
        process_state.build_state(
            settings, clocks.ManualClock(100.0), random.Random(1)
        )
    )


def test_wait_ends_with_the_confirmation_or_after_a_short_time():
    # Guards against requests that wait for the whole outage of the store.
    async def scenario():
        gate = make_gate()
        state = gate.state
        waiting = asyncio.create_task(gate.settle(5.0))
        await asyncio.sleep(0.01)
        assert not waiting.done()
        state.confirm_configuration(100.0, freshness.Source.STORE)
        async with asyncio.timeout(0.1):
            await waiting
        state.clock.advance(5.0)
        async with asyncio.timeout(0.5):
            await gate.settle(0.3)
        refusal = gate.check_homes(make_route())
        assert refusal.reason == 'configuration-unconfirmed'
        assert refusal.retry_after_s > 0
        assert gate.check_homes(make_route(homes='')) is None

    asyncio.run(scenario())
