"""Work changes region gradually, whatever the loads do."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain import rendezvous
from bulrushcourse_domain.placement import allocation
from bulrushcourse_domain.placement import region_mix

REGIONS = ('a', 'b', 'c')
MAX_SHIFT_SHARE = 0.15
WINDOW_S = 2.0


def region_shares(regions):
    return [(r, regions.count(r) / len(regions)) for r in REGIONS]


def largest_shift(choices):
    """Return the largest share that moves between consecutive windows."""
    largest = 0.0
    times = [at for at, _ in choices]
    for start in range(0, int(max(times) - 2 * WINDOW_S) + 1):
        windows = [
            [r for at, r in choices if begin <= at < begin + WINDOW_S]
            for begin in (start, start + WINDOW_S)
        ]
        before, after = map(region_shares, windows)
        moved = sum(
            abs(x[1] - y[1]) for x, y in zip(before, after, strict=True)
        )
        largest = max(largest, moved / 2)
    return largest


LOADS = strategies.lists(
    strategies.tuples(*[strategies.floats(0.0, 60.0)] * 3),
    min_size=4,
    max_size=8,
)


@settings(max_examples=30)
@given(LOADS)
def test_load_swings_change_the_shares_gradually(loads):
    # The load moves from region to region every two seconds.
    clock = clocks.ManualClock()
    mix = region_mix.RegionMix(clock)
    capacity = {'a': 10.0, 'b': 30.0, 'c': 40.0}
    choices = []
    for load in loads:
        demand = dict(zip(REGIONS, load, strict=True))
        for _ in range(200):
            target = allocation.allocate(demand, capacity)['a']
            choices.append(
                (clock.monotonic(), mix.choose_region(target, capacity))
            )
            clock.advance(0.01)
    assert largest_shift(choices) <= MAX_SHIFT_SHARE


def test_objects_stay_in_their_region_while_the_shares_are_constant():
    # Each object is requested repeatedly, and moving it makes it cold.
    clock = clocks.ManualClock()
    mix = region_mix.RegionMix(clock)
    shares = {'a': 0.4, 'b': 0.6}
    regions: dict[str, set[str]] = {}
    moved = 0
    for number in range(6000):
        object_key = str(number * 7919 % 60)
        region = mix.choose_region(shares, shares, object_key)
        home = rendezvous.choose_weighted(object_key, shares)
        moved += region != home
        regions.setdefault(home, set()).add(object_key)
        clock.advance(0.01)
    assert moved < 6000 * 0.2
    assert 10 <= len(regions['a']) <= 38


def test_small_change_of_shares_moves_few_objects():
    before, after = {'a': 0.5, 'b': 0.5}, {'a': 0.55, 'b': 0.45}
    keys = [str(number) for number in range(2000)]
    moved = sum(
        rendezvous.choose_weighted(t, before)
        != rendezvous.choose_weighted(t, after)
        for t in keys
    )
    assert moved / len(keys) < 0.08


def test_region_that_cannot_serve_is_left_immediately():
    clock = clocks.ManualClock()
    mix = region_mix.RegionMix(clock)
    mix.choose_region({'a': 0.9, 'b': 0.1}, {'a', 'b'})
    choices = {mix.choose_region({'b': 1.0}, {'b'}) for _ in range(20)}
    assert choices == {'b'}
