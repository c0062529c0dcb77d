"""Work is divided over the regions by their spare capacity."""

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
def test_shares_add_up_to_one_over_regions_with_slots(demand, capacity):
    for shares in allocation.allocate(demand, capacity).values():
        assert set(shares) <= set(capacity)
        assert abs(sum(shares.values()) - 1.0) < 1e-6


@given(DEMAND, SLOTS)
def test_no_region_is_overloaded_while_another_has_room(demand, capacity):
    # Guards against requests that queue in one region while others are idle.
    shares = allocation.allocate(demand, capacity)
    load = {
        region: sum(
            work * shares[origin].get(region, 0.0)
            for origin, work in demand.items()
        )
        for region in capacity
    }
    utilization = {
        region: load[region] / capacity[region] for region in capacity
    }
    target = allocation.TARGET_UTILIZATION + 1e-6
    if sum(demand.values()) <= sum(capacity.values()) * target:
        assert max(utilization.values()) <= target


def test_region_keeps_work_up_to_its_target_utilization():
    shares = allocation.allocate({'a': 5.0}, {'a': 10.0, 'b': 10.0})
    assert shares == {'a': {'a': 1.0}}
