"""Guards against pools that together exceed their region's limit."""

import hypothesis
from hypothesis import strategies

from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.slots import region_limit

SLOTS = strategies.dictionaries(
    strategies.sampled_from('abcdef'), strategies.integers(1, 90), min_size=1
)


@hypothesis.settings(derandomize=True)
@hypothesis.given(limit=strategies.integers(0, 500), slots=SLOTS)
def test_shares_add_up_to_the_limit(limit, slots):
    shares = region_limit.divide_limit(limit, slots)
    assert sum(shares.values()) == limit
    assert all(share >= 0 for share in shares.values())


def test_pool_gets_its_share_of_the_lowest_limit():
    def region_limit_of(name, region, in_flight):
        kind = objects.LimitKind.REGION
        return objects.Limit(name, kind, region, in_flight=in_flight)

    pools = tuple(
        objects.Pool(
            name, slots, 10, (objects.Instance(f'{name}1', 'p', '1.1.1.1:1'),)
        )
        for name, slots in (('x', 6), ('y', 3))
    )
    configuration = configuration_set.ConfigurationSet(
        1,
        objects.Objects(
            places=(objects.Place('p', 'r'),),
            pools=pools,
            services=tuple(
                objects.Service(n, n, 'short', True) for n in ('x', 'y')
            ),
            limits=(
                region_limit_of('a', 'r', 6),
                region_limit_of('b', 'r', 9),
            ),
        ),
    )
    in_flight_limit = region_limit.in_flight_limit
    assert in_flight_limit(configuration, 'x', 'r') == 4
    assert in_flight_limit(configuration, 'y', 'r') == 2
    assert in_flight_limit(configuration, 'x', 'elsewhere') is None
