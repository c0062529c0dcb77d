"""The configuration in force binds requests that were accepted before it."""

import asyncio
import random

import attrs
import multidict

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.accounts import account as accounts
from bulrushcourse_domain.accounts import account_table
from bulrushcourse_domain.routes import freshness
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.edge.callers import body_content
from bulrushcourse_entry.edge.callers import caller_request
from bulrushcourse_entry.edge.callers import configuration_gate
from bulrushcourse_entry.edge.upstreams import destinations


def make_route(prefix='/p/', service='s', homes=('a',)):
    return routes.Route(
        'h',
        prefix,
        (routes.WeightedService(service),),
        home_regions=frozenset(homes),
    )


def make_gate(*listed, account=None):
    settings = edge_settings.EdgeSettings(
        'vm-1',
        'a',
        'a',
        '127.0.0.1:1',
        '127.0.0.1:2',
        regions={'a': 'a', 'b': 'b'},
    )
    state = process_state.build_state(
        settings, clocks.ManualClock(100.0), random.Random(1)
    )
    state.upstreams.apply_snapshot(
        upstreams.Snapshot(
            1,
            [
                upstreams.Upstream(f'{s}{r}', s, f'{s}{r}:1', r, r, 4)
                for s in 'st'
                for r in 'ab'
            ],
        )
    )
    gate = configuration_gate.ConfigurationGate(
        state, destinations.DestinationSelector(state)
    )
    install(gate, 1, *listed, account=account)
    return gate


def install(gate, version, *listed, account=None):
    table = account_table.build_table([account] if account else [])
    gate.state.routes.install(
        routes.RouteSet(version, tuple(listed), accounts=table)
    )


def make_request(gate, account=None):
    route = gate.state.routes.match('h', '/p/x')
    if account:
        route = routes.within_homes(route, account.home_regions)
    now = gate.state.clock.monotonic()
    return caller_request.CallerRequest(
        'id',
        'GET',
        '/p/x?q=/r/',
        multidict.CIMultiDictProxy(multidict.CIMultiDict()),
        body_content.Content(),
        route,
        1,
        's',
        'a',
        '',
        now,
        now + 5.0,
        account_table.Identity(account_table.KeyVerdict.NOT_NEEDED, account),
    )


def test_request_that_waits_moves_with_its_home_regions_and_service():
    # Guards against a request that runs in an earlier home region, or at a
    # service that its route no longer names, because it waited for room.
    gate = make_gate(make_route())
    request = make_request(gate)
    assert not gate.rebind(request)
    install(gate, 2, make_route(service='t', homes='b'))
    assert gate.rebind(request)
    assert request.route.home_regions == {'b'}
    assert (request.service, request.region) == ('t', 'b')
    assert request.configuration_version == 2
    assert not gate.rebind(request)


def test_request_that_must_not_run_twice_stays_so():
    # Guards against a hedge of a request whose route became repeatable after
    # its caller had sent it.
    gate = make_gate(make_route())
    request = make_request(gate)
    install(gate, 2, attrs.evolve(make_route(), idempotent=True))
    gate.rebind(request)
    assert not request.route.idempotent


def test_request_is_held_back_when_its_region_is_no_home_any_more():
    # Guards against a request that is written to a connection which was opened
    # under an earlier version, or before a pause.
    gate = make_gate(make_route())
    gate.state.confirm_configuration(100.0, freshness.Source.STORE)
    request = make_request(gate)
    assert gate.may_still_send(request, 'a')
    install(gate, 2, make_route(homes='b'))
    assert not gate.may_still_send(request, 'a')
    assert gate.may_still_send(request, 'b')
    gate.state.clock.advance(5.0)
    assert not gate.may_still_send(request, 'b')


def test_request_that_gains_homes_while_it_connects_is_held_back():
    # Guards against a request that is sent to an unproven address, since its
    # route had no homes when the attempt began.
    gate = make_gate(make_route(homes=()))
    gate.state.confirm_configuration(100.0, freshness.Source.STORE)
    request = make_request(gate)
    assert gate.may_still_send(request, 'a')
    install(gate, 2, make_route(homes='a'))
    assert not gate.may_still_send(request, 'a')
    gate.rebind(request)
    assert gate.may_still_send(request, 'a')


def test_longer_prefix_that_was_added_binds_a_waiting_request():
    # Guards against the home regions of a shorter prefix.
    gate = make_gate(make_route('/'))
    request = make_request(gate)
    install(gate, 2, make_route('/'), make_route('/p/', homes='b'))
    gate.rebind(request)
    assert (request.route.prefix, request.region) == ('/p/', 'b')


def test_further_attempt_keeps_its_service_and_moves_home():
    # Guards against attempts that are counted for two services.
    gate = make_gate(make_route())
    request = make_request(gate)
    request.attempts = 1
    install(gate, 2, make_route(service='t', homes='b'))
    gate.rebind(request)
    assert (request.service, request.region) == ('s', 'b')
    assert request.route.home_regions == {'b'}


def test_request_without_a_route_keeps_its_home_regions():
    # Guards against a dropped route that frees its requests from their homes.
    gate = make_gate(make_route())
    request = make_request(gate)
    install(gate, 2)
    gate.rebind(request)
    assert request.route.home_regions == {'a'}
    assert (request.service, request.region) == ('s', 'a')


def test_home_regions_of_the_account_bind_as_well():
    # Guards against a request that leaves the home of its account, which
    # moved while it waited.
    account = accounts.ClientAccount('acme', home_regions=frozenset('a'))
    gate = make_gate(make_route(homes='ab'), account=account)
    request = make_request(gate, account)
    moved = accounts.ClientAccount('acme', home_regions=frozenset('b'))
    install(gate, 2, make_route(homes='ab'), account=moved)
    gate.rebind(request)
    assert (request.route.home_regions, request.region) == ({'b'}, 'b')


def test_wait_ends_with_the_confirmation_or_after_a_short_time():
    # Guards against requests that wait for the whole outage of the store.
    async def scenario():
        gate = make_gate(make_route())
        state = gate.state
        waiting = asyncio.create_task(gate.wait_for_confirmation(5.0))
        await asyncio.sleep(0.01)
        assert not waiting.done()
        state.confirm_configuration(100.0, freshness.Source.STORE)
        async with asyncio.timeout(0.1):
            await waiting
        state.clock.advance(5.0)
        async with asyncio.timeout(0.5):
            await gate.wait_for_confirmation(0.3)
        refusal = gate.check_homes(make_route())
        assert refusal.reason == 'configuration-unconfirmed'
        assert refusal.retry_after_s > 0
        assert gate.check_homes(make_route(homes='')) is None

    asyncio.run(scenario())


def test_later_requests_do_not_wait_for_a_confirmation():
    # Guards against every request being held while the store is down and the
    # other VMs were suspended as well.
    async def scenario():
        gate = make_gate(make_route())
        clock = gate.state.clock
        clock.advance(0.9)
        async with asyncio.timeout(0.2):
            await gate.wait_for_confirmation(5.0)
        assert gate.check_homes(make_route()) is not None

    asyncio.run(scenario())
