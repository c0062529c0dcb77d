"""The configuration comes from other VMs where the store does not answer."""

import asyncio
import random
import types

import attrs
import pytest

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.routes import freshness
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.edge.store import operator_reader
from bulrushcourse_entry.platform import rows


@attrs.define
class Unreachable:
    """A store that does not answer, and other VMs that are counted."""

    asked: int = 0

    async def read(self, _):
        raise rows.StoreUnavailable('unreachable')

    async def ask(self):
        self.asked += 1


def make_state():
    settings = edge_settings.EdgeSettings(
        'vm-1', 'a', 'a', '127.0.0.1:1', '127.0.0.1:2'
    )
    state = process_state.build_state(
        settings, clocks.ManualClock(100.0), random.Random(1)
    )
    state.routes.install(routes.RouteSet(1))
    return state


async def run_for_a_moment(state):
    outage = Unreachable()
    reachability = types.SimpleNamespace(record_call=lambda *_: None)
    reader = operator_reader.OperatorReader(
        outage, state, None, reachability, outage
    )
    task = asyncio.create_task(reader.run())
    await asyncio.sleep(0.05)
    task.cancel()
    return outage.asked


@pytest.mark.parametrize(
    ('confirmed', 'reported', 'asked'),
    [(False, 1, 1), (True, 2, 1), (True, 1, 0)],
)
def test_other_vms_are_asked_only_if_needed(confirmed, reported, asked):
    # Guards against a VM that hears of a newer version in heartbeats, which do
    # not contain it, and sends requests to earlier homes for seconds; and
    # against questions by each VM throughout an outage.
    state = make_state()
    if confirmed:
        state.freshness.confirm(100.0, freshness.Source.STORE)
    state.freshness.record_report(reported, 1)
    assert asyncio.run(run_for_a_moment(state)) == asked
