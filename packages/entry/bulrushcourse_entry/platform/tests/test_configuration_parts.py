"""What one part of a configuration does to the others."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies

from bulrushcourse_domain import ranges
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.routes import table as route_table
from bulrushcourse_entry.platform import operator_rows
from bulrushcourse_entry.platform.tests import test_decoding

RULE = {
    'match': {'prefix': '/odd/'},
    'kind': 'idempotent',
    'action': {'service': 'odd', 'timeout': '2s'},
}
GOOD_RULE = {'match': {'prefix': '/good/'}, 'action': {'service': 's'}}


def decode(*rules, clusters=(), **fields):
    document = {
        'version': 7,
        'listeners': [{'host': 'h.example', 'rules': [*rules, GOOD_RULE]}],
        'clusters': [{'name': 's', 'warmup': '4s'}, *clusters],
        **fields,
    }
    return operator_rows.decode_configuration(json.dumps(document).encode())


def rule(prefix='/odd/', **action):
    changes = {**RULE['action'], **action}
    return {**RULE, 'match': {'prefix': prefix}, 'action': changes}


def only_service(route):
    (weighted,) = route.weighted_services
    return weighted.service


def test_numbers_beyond_the_usable_ones_count_as_the_largest():
    # Guards against a number without a bound on the pages that voids a
    # configuration.
    route_set = decode(
        {
            **rule(timeout='9000000s', max_attempts=10**30),
            'priority': 10**30,
            'target_latency': '9000000s',
        },
        clusters=[
            {'name': 'c', 'max_connections': 10**30, 'warmup_per_s': 1e30}
        ],
        limits={'max_body_bytes': 10**30, 'idle_timeout': '9000000s'},
        tenants=[{'name': 'a', 'rate_per_s': 1e30, 'priority': 10**30}],
    )
    assert not route_set.findings and not route_set.accounts.findings
    route = route_set.routes[0]
    assert route.timeout_s == route.objective_s == ranges.MAX_DURATION_S
    assert route.max_attempts == operator_rows.MAX_ATTEMPTS
    assert route.priority == ranges.MAX_PRIORITY
    assert route_set.limits.body_bytes == operator_rows.MAX_BODY_BYTES


@pytest.mark.parametrize(
    'odd',
    [
        rule(timeout='soon'),
        rule(timeout=7),
        rule(service=7),
        rule(service='a\r\nb'),
        rule(home_regions=[None]),
        rule(home_regions=7),
        rule(max_attempts='many'),
        rule(traffic_split=[{'service': 's'}]),
        rule(
            traffic_split=[
                {'service': 's', 'weight': 0},
                {'service': 't', 'weight': 0},
            ]
        ),
        {**RULE, 'action': None},
        {**RULE, 'priority': -1},
        {**RULE, 'target_latency': '-1s'},
    ],
)
def test_malformed_route_is_found_and_voids_no_other(odd):
    # Guards against one bad field that keeps a whole configuration out of
    # force, and against 404 for, or a shorter prefix's service behind, the
    # bad route itself.
    catch_all = {'match': {'prefix': '/'}, 'action': {'service': 's'}}
    route_set = decode(odd, catch_all)
    (finding,) = route_set.findings
    assert finding.place == 'listeners[0].rules[0]'
    table = route_table.RouteTable()
    table.install(route_set)
    assert table.match('h.example', '/odd/1').is_defective
    assert only_service(table.match('h.example', '/good/1')) == 's'
    assert not table.match('h.example', '/1').is_defective


@pytest.mark.parametrize('prefix', [None, 7, '', '/a\nb/', '/\ud800/'])
def test_route_without_a_usable_prefix_is_left_out(prefix):
    # Guards against a prefix that no path begins with and that voids all.
    route_set = decode(rule(prefix))
    assert [r.prefix for r in route_set.routes] == ['/good/']
    assert len(route_set.findings) == 1


def test_host_without_readable_routes_denies_nothing():
    # Guards against 404 for a host whose routes cannot be read.
    listeners = [
        {'host': 'a.example', 'rules': 7},
        {'rules': []},
        7,
        {'host': 'h.example', 'rules': [GOOD_RULE]},
    ]
    route_set = decode(listeners=listeners)
    table = route_table.RouteTable()
    table.install(route_set)
    assert table.match('a.example', '/x').is_defective
    assert not table.match('h.example', '/good/x').is_defective
    assert [finding.place for finding in route_set.findings] == [
        'listeners[0]',
        'listeners[1]',
        'listeners[2]',
    ]


@pytest.mark.parametrize(
    'cluster',
    [
        7,
        {'name': 'c', 'warmup': 'soon'},
        {'name': 'c', 'health_path': 7},
        {'name': 'c', 'warmup_per_s': -1},
    ],
)
def test_malformed_service_voids_no_other(cluster):
    # Guards against one bad service that voids a configuration.
    route_set = decode(clusters=[cluster])
    assert [f.place for f in route_set.findings] == ['clusters[1]']
    assert route_set.services['s'].warmup_s == 4.0


def test_malformed_limit_voids_no_other():
    # Guards against one bad limit that voids a configuration.
    limits = {'max_header_bytes': 'many', 'max_body_bytes': 5}
    route_set = decode(limits=limits)
    assert [f.place for f in route_set.findings] == ['limits.max_header_bytes']
    assert route_set.limits == routes.RequestLimits(body_bytes=5)


@given(test_decoding.JSON, strategies.sampled_from(['rule', 'cluster']))
def test_any_part_leaves_the_others(value, kind):
    # Guards against values of another type that void a configuration.
    parts = {'rule': (), 'cluster': ()}
    parts[kind] = (value,)
    route_set = decode(*parts['rule'], clusters=parts['cluster'])
    assert any(
        route.prefix == '/good/' and not route.is_defective
        for route in route_set.routes
    )
    assert route_set.services['s'].warmup_s == 4.0
