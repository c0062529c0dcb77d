"""Where requests go, under the loads that hurt most."""

import random

import attrs
import pytest

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.placement import service_times
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.upstreams import directory as directories
from bulrushcourse_domain.upstreams import loads
from bulrushcourse_domain.upstreams import outlier_detection
from bulrushcourse_domain.upstreams import recent_objects
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_domain.upstreams import warmup

ROUTE = routes.Route(
    'h', '/', (routes.WeightedService('s'),), objective_s=0.25, affinity=True
)
SERVICE = routes.Service('s')


def make(number, region='a', slots=4):
    name = f'u{number}'
    return upstreams.Upstream(
        name, 's', f'{name}:1', f'{region}1', region, slots
    )


def make_placement(*listed):
    clock = clocks.ManualClock(100.0)
    directory = directories.UpstreamDirectory(clock)
    directory.apply_snapshot(upstreams.Snapshot(1, listed))
    cold = warmup.WarmupLimiter(clock, 'vm', 1.5, 5.0)
    cold.set_members(['vm'])
    return placement.Placement(
        clock,
        directory,
        loads.LoadView(clock),
        outlier_detection.OutlierDetector(clock),
        recent_objects.RecentObjects(),
        cold,
        service_times.ServiceTimes(),
        lambda upstream: 0.0 if upstream.region == 'a' else 0.024,
        random.Random(3),
    )


def chosen(placing, object_key='', **changes):
    request = placement.PlacementRequest(ROUTE, 's', object_key, **changes)
    choice = placing.choose(request, SERVICE)
    return choice and choice.upstream.name


def test_vms_agree_on_the_keeper_of_an_object():
    # Pattern: every VM sees a tenth of the requests for an object.
    listed = [make(number) for number in range(8)]
    places = [make_placement(*listed) for _ in range(4)]
    for object_key in map(str, range(50)):
        assert len({chosen(placing, object_key) for placing in places}) == 1


def test_crowd_for_one_object_overflows_to_other_upstreams():
    # Pattern: one object that is asked for faster than one upstream works.
    placing = make_placement(*(make(number) for number in range(4)))
    names = []
    for _ in range(16):
        names.append(chosen(placing, 'hot'))
        placing.load.begin_request(names[-1])
    assert len(set(names)) >= 3


def test_connections_of_all_vms_stay_within_the_limit_of_an_upstream():
    # Pattern: 640 VMs send to the same few upstreams at once.
    placing = make_placement(make(0, slots=50), make(1, slots=50))
    placing.sharing_vm_count = 640
    service = routes.Service('s', max_connections=1500)
    request = placement.PlacementRequest(ROUTE, 's')
    sent = 0
    while (choice := placing.choose(request, service)) is not None:
        placing.load.begin_request(choice.upstream.name)
        sent += 1
    assert sent == 2 * 2


def test_one_vm_may_fill_all_slots_of_an_upstream():
    # Guards against a bound for large fleets that holds back a small one.
    placing = make_placement(make(0, slots=50))
    service = routes.Service('s', max_connections=1500)
    for _ in range(50):
        choice = placing.choose(
            placement.PlacementRequest(ROUTE, 's'), service
        )
        placing.load.begin_request(choice.upstream.name)


def test_requests_of_other_vms_count():
    # Pattern: all VMs take the same upstream for idle.
    placing = make_placement(make(0), make(1))
    placing.load.record_peer_load('vm-2', {'u0': 8})
    assert {chosen(placing) for _ in range(20)} == {'u1'}


def test_upstream_that_is_slow_for_the_moment_is_avoided():
    # Pattern: a neighbour slows an upstream for some hundred milliseconds.
    placing = make_placement(make(0), make(1))
    placing.load.record_peer_slowness('u0', 2.5, 0.0)
    assert chosen(placing) == 'u1'
    placing.clock.advance(5.0)
    assert {chosen(placing) for _ in range(40)} == {'u0', 'u1'}


def test_grey_upstream_loses_requests_and_gets_them_back():
    # Pattern: an upstream sheds half of its requests and looks healthy.
    placing = make_placement(make(0), make(1))
    for _ in range(4):
        placing.outliers.record_outcome('u0', outlier_detection.Outcome.ERROR)
    assert {chosen(placing) for _ in range(20)} == {'u1'}
    placing.clock.advance(10 * outlier_detection.FAILURE_HALF_LIFE_S)
    assert 'u0' in {chosen(placing) for _ in range(40)}


def test_all_upstreams_set_aside_are_used_all_the_same():
    # Pattern: a bad network at this VM makes every upstream look lost.
    placing = make_placement(make(0), make(1))
    for name in ('u0', 'u1'):
        placing.outliers.record_outcome(
            name, outlier_detection.Outcome.UNREACHABLE
        )
        placing.outliers.record_outcome(
            name, outlier_detection.Outcome.UNREACHABLE
        )
    assert chosen(placing) in ('u0', 'u1')


@pytest.mark.parametrize(
    'unfit',
    [
        {'draining': True},
        {'failure_domain': 'e'},
        {'region': 'b'},
        {'service': 'other'},
    ],
)
def test_unfit_upstreams_are_never_chosen(unfit):
    placing = make_placement(attrs.evolve(make(0), **unfit))
    placing.directory.evacuate(frozenset({'e'}), 1.0)
    assert chosen(placing, region='a') is None


def test_tried_upstreams_and_other_homes_are_left_out():
    placing = make_placement(make(0), make(1, 'b'))
    bound = attrs.evolve(ROUTE, home_regions=frozenset({'b'}))
    request = placement.PlacementRequest(bound, 's')
    assert placing.choose(request, SERVICE).upstream.name == 'u1'
    tried = attrs.evolve(request, tried=frozenset({'u1'}))
    assert placing.choose(tried, SERVICE) is None


def test_zone_that_comes_back_cold_is_spared():
    # Pattern: a failure domain returns cold as a whole under load.
    placing = make_placement(attrs.evolve(make(0), cold_for_s=3.0), make(1))
    names = [chosen(placing) for _ in range(20)]
    assert names.count('u0') == 0


def test_times_of_warm_and_fresh_objects_are_told_apart():
    times = service_times.ServiceTimes()
    first, none = service_times.Affinity.FIRST, service_times.Affinity.NONE
    for _ in range(200):
        times.add('r', 's', 0.25, 0.1, first)
        times.add('r', 's', 0.25, 0.33, none)
    known = times.route_times('r', 's', 0.25)
    assert abs(known.expected_s(first) - 0.1) < 0.02
    assert abs(known.expected_s(none) - 0.33) < 0.03
