"""Routes match by longest prefix, and older versions are never installed."""

from hypothesis import given
from hypothesis import strategies

from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.routes import table as tables


def make_route(prefix, host='h', home_regions=()):
    return routes.Route(
        host,
        prefix,
        (routes.WeightedService('s'),),
        home_regions=frozenset(home_regions),
    )


def test_longest_prefix_wins():
    table = tables.RouteTable()
    short, long = make_route('/a/'), make_route('/a/b/')
    table.install(routes.RouteSet(1, (short, long)))
    assert table.match('h', '/a/b/c') is long
    assert table.match('h', '/a/bc') is short
    assert table.match('other', '/a/b/c') is None


@given(strategies.lists(strategies.integers(1, 50)))
def test_active_version_is_the_newest_installed(versions):
    # Guards against a revert caused by an old row, a peer or a restarted VM.
    table = tables.RouteTable()
    for installed, version in enumerate(versions, 1):
        table.install(routes.RouteSet(version))
        assert table.version == max(versions[:installed])


def test_home_regions_of_a_host_are_common_to_all_its_bound_routes():
    table = tables.RouteTable()
    table.install(
        routes.RouteSet(
            1,
            (
                make_route('/a/', home_regions=('x', 'y')),
                make_route('/b/', home_regions=('y',)),
                make_route('/c/'),
            ),
        )
    )
    assert table.home_regions('h') == {'y'}
    assert table.home_regions('unknown') == frozenset()


def test_host_without_a_common_home_region_has_all_of_its_routes():
    # Guards against look-ups that name VMs of any region because the home
    # regions of the routes have none in common.
    table = tables.RouteTable()
    bound = (
        make_route('/a/', home_regions=('x',)),
        make_route('/b/', home_regions=('y',)),
    )
    table.install(routes.RouteSet(1, bound))
    assert table.home_regions('h') == {'x', 'y'}


PREFIXES = strategies.lists(strategies.sampled_from('ab'), max_size=3).map(
    lambda parts: '/' + ''.join(f'{part}/' for part in parts)
)


@given(strategies.lists(PREFIXES, max_size=6), PREFIXES)
def test_match_is_the_longest_of_all_matching_prefixes(prefixes, path):
    # Guards against an index that misses a route which a scan would find.
    table = tables.RouteTable()
    table.install(routes.RouteSet(1, tuple(map(make_route, prefixes))))
    matching = [p for p in prefixes if path.startswith(p)]
    found = table.match('h', path)
    assert (found.prefix if found else None) == max(
        matching, key=len, default=None
    )
