"""Choice of an upstream for requests that must not reach another region."""

import random

import multidict
import pytest

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.edge.callers import admission_control
from bulrushcourse_entry.edge.callers import body_content
from bulrushcourse_entry.edge.callers import caller_request

SLOTS = 2


def make_upstream(name, region='a'):
    return upstreams.Upstream(name, 's', f'{name}:1', region, region, SLOTS)


def make_state():
    settings = edge_settings.EdgeSettings(
        'vm-1', 'a', 'a', 'h:1', 'h:2', regions={'a': 'a', 'b': 'b'}
    )
    state = process_state.build_state(
        settings, clocks.ManualClock(100.0), random.Random(1)
    )
    names = ('near', 'proven')
    state.upstreams.apply_snapshot(
        upstreams.Snapshot(1, tuple(make_upstream(name) for name in names))
    )
    # Makes the other one the best choice.
    state.load.begin_request('proven')
    return state


def make_request(homes):
    route = routes.Route(
        'h', '/', (routes.WeightedService('s'),), home_regions=homes
    )
    return caller_request.CallerRequest(
        'id',
        'GET',
        '/',
        multidict.CIMultiDictProxy(multidict.CIMultiDict()),
        body_content.Content(),
        route,
        1,
        's',
        'a',
        '',
        100.0,
        105.0,
    )


@pytest.mark.parametrize(
    ('homes', 'busy', 'chosen', 'wanted'),
    [
        ('a', 0, 'proven', ['near']),
        ('a', SLOTS, 'near', []),
        ('', 0, 'near', []),
        ('ab', 0, 'near', []),
    ],
)
def test_request_with_homes_goes_to_a_proven_upstream_with_room(
    homes, busy, chosen, wanted
):
    # Guards against requests that wait for one proof after the other while a
    # proven upstream is idle, and against new upstreams that are never asked.
    state = make_state()
    asked = []
    state.proofs_wanted.subscribe(lambda upstream: asked.append(upstream.name))
    state.upstreams.addresses.record_identified(make_upstream('proven'), 100.0)
    for _ in range(busy):
        state.load.begin_request('proven')
    choice = admission_control.place(state, make_request(frozenset(homes)))
    assert choice.upstream.name == chosen
    assert asked == wanted


def test_request_with_homes_is_placed_where_nothing_is_proven():
    # Guards against refusals before any upstream was asked.
    state = make_state()
    choice = admission_control.place(state, make_request(frozenset('a')))
    assert choice.upstream.name == 'near'
