"""Work changes region as a ramp, whatever the loads do."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain import rendezvous
from bulrushcourse_domain.placement import allocation
from bulrushcourse_domain.placement import region_mix

REGIONS = ('a', 'b', 'c')
MAX_SHIFT = 0.15
WINDOW_S = 2.0


def mixed(shares):
    return [(r, shares.count(r) / len(shares)) for r in REGIONS]


def largest_shift(taken):
    """Largest share that changes region between windows that follow."""
    worst = 0.0
    times = [at for at, _ in taken]
    for start in range(0, int(max(times) - 2 * WINDOW_S) + 1):
        windows = [
            [r for at, r in taken if begin <= at < begin + WINDOW_S]
            for begin in (start, start + WINDOW_S)
        ]
        before, after = map(mixed, windows)
        moved = sum(
            abs(x[1] - y[1]) for x, y in zip(before, after, strict=True)
        )
        worst = max(worst, moved / 2)
    return worst


LOADS = strategies.lists(
    strategies.tuples(*[strategies.floats(0.0, 60.0)] * 3),
    min_size=4,
    max_size=8,
)


@settings(max_examples=30)
@given(LOADS)
def test_swings_of_load_move_little_at_a_time(loads):
    # Pattern: crowds that move from region to region every two seconds.
    clock = clocks.ManualClock()
    mix = region_mix.RegionMix(clock)
    capacity = {'a': 10.0, 'b': 30.0, 'c': 40.0}
    taken = []
    for load in loads:
        demand = dict(zip(REGIONS, load, strict=True))
        for _ in range(200):
            target = allocation.allocate(demand, capacity)['a']
            taken.append(
                (clock.monotonic(), mix.choose_region(target, capacity))
            )
            clock.advance(0.01)
    assert largest_shift(taken) <= MAX_SHIFT


def test_objects_stay_in_their_region_while_the_shares_hold():
    # Pattern: each object asked for again and again; moving it makes it cold.
    clock = clocks.ManualClock()
    mix = region_mix.RegionMix(clock)
    shares = {'a': 0.4, 'b': 0.6}
    regions: dict[str, set[str]] = {}
    strays = 0
    for number in range(6000):
        object_key = str(number * 7919 % 60)
        region = mix.choose_region(shares, shares, object_key)
        home = rendezvous.choose_weighted(object_key, shares)
        strays += region != home
        regions.setdefault(home, set()).add(object_key)
        clock.advance(0.01)
    assert strays < 6000 * 0.2
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


def test_region_that_cannot_serve_is_left_at_once():
    clock = clocks.ManualClock()
    mix = region_mix.RegionMix(clock)
    mix.choose_region({'a': 0.9, 'b': 0.1}, {'a', 'b'})
    taken = {mix.choose_region({'b': 1.0}, {'b'}) for _ in range(20)}
    assert taken == {'b'}
