"""Guards against pools that together pass their region's limit."""

import hypothesis
from hypothesis import strategies

from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.slots import region_limit

SLOTS = strategies.dictionaries(
    strategies.sampled_from('abcdef'), strategies.integers(1, 90), min_size=1
)


@hypothesis.settings(derandomize=True)
@hypothesis.given(cap=strategies.integers(0, 500), slots=SLOTS)
def test_parts_add_up_to_the_cap(cap, slots):
    parts = region_limit.divide_limit(cap, slots)
    assert sum(parts.values()) == cap
    assert all(part >= 0 for part in parts.values())


def test_pool_gets_its_part_of_the_lowest_limit():
    def limit(name, region, cap):
        kind = objects.LimitKind.REGION
        return objects.Limit(name, kind, region, in_flight=cap)

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
            limits=(limit('a', 'r', 6), limit('b', 'r', 9)),
        ),
    )
    found = region_limit.in_flight_limit
    assert found(configuration, 'x', 'r') == 4
    assert found(configuration, 'y', 'r') == 2
    assert found(configuration, 'x', 'elsewhere') is None
