"""Routes are found by their longest prefix, and versions never go back."""

from hypothesis import given
from hypothesis import strategies

from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.routes import table as tables


def make_route(prefix, host='h', homes=()):
    return routes.Route(
        host,
        prefix,
        (routes.WeightedService('s'),),
        home_regions=frozenset(homes),
    )


def test_longest_prefix_wins():
    table = tables.RouteTable()
    short, long = make_route('/a/'), make_route('/a/b/')
    table.install(routes.RouteSet(1, (short, long)))
    assert table.match('h', '/a/b/c') is long
    assert table.match('h', '/a/bc') is short
    assert table.match('other', '/a/b/c') is None


@given(strategies.lists(strategies.integers(1, 50)))
def test_version_in_force_is_the_newest_offered(versions):
    # Guards against a revert by an old row, a peer or a restarted VM.
    table = tables.RouteTable()
    for seen, version in enumerate(versions, 1):
        table.install(routes.RouteSet(version))
        assert table.version == max(versions[:seen])


def test_homes_of_a_host_are_those_that_all_bound_routes_share():
    table = tables.RouteTable()
    table.install(
        routes.RouteSet(
            1,
            (
                make_route('/a/', homes=('x', 'y')),
                make_route('/b/', homes=('y',)),
                make_route('/c/'),
            ),
        )
    )
    assert table.home_regions('h') == {'y'}
    assert table.home_regions('unknown') == frozenset()


PREFIXES = strategies.lists(strategies.sampled_from('ab'), max_size=3).map(
    lambda parts: '/' + ''.join(f'{part}/' for part in parts)
)


@given(strategies.lists(PREFIXES, max_size=6), PREFIXES)
def test_match_is_the_longest_of_all_prefixes_that_begin_the_path(
    prefixes, path
):
    # Guards against an index that misses a route which a scan would find.
    table = tables.RouteTable()
    table.install(routes.RouteSet(1, tuple(map(make_route, prefixes))))
    begins = [p for p in prefixes if path.startswith(p)]
    found = table.match('h', path)
    assert (found.prefix if found else None) == max(
        begins, key=len, default=None
    )
