"""Work is divided over the regions by their room."""

from hypothesis import given
from hypothesis import strategies

from bulrushcourse_domain.placement import allocation

SLOTS = strategies.dictionaries(
    strategies.sampled_from('abc'), strategies.floats(0.5, 100.0), min_size=1
)
DEMAND = strategies.dictionaries(
    strategies.sampled_from('abc'), strategies.floats(0.0, 200.0), min_size=1
)


@given(DEMAND, SLOTS)
def test_shares_are_complete_and_name_regions_with_slots(demand, capacity):
    for shares in allocation.allocate(demand, capacity).values():
        assert set(shares) <= set(capacity)
        assert abs(sum(shares.values()) - 1.0) < 1e-6


@given(DEMAND, SLOTS)
def test_no_region_is_overfull_while_another_has_room(demand, capacity):
    # Guards against one region that queues while others are idle.
    shares = allocation.allocate(demand, capacity)
    load = {
        region: sum(
            work * shares[origin].get(region, 0.0)
            for origin, work in demand.items()
        )
        for region in capacity
    }
    use = {region: load[region] / capacity[region] for region in capacity}
    comfortable = allocation.COMFORTABLE_USE + 1e-6
    if sum(demand.values()) <= sum(capacity.values()) * comfortable:
        assert max(use.values()) <= comfortable


def test_region_keeps_what_fits():
    shares = allocation.allocate({'a': 5.0}, {'a': 10.0, 'b': 10.0})
    assert shares == {'a': {'a': 1.0}}
