"""Objects stay with their keepers when upstreams forget under load.

Pattern: more objects than one upstream remembers, and a load that only warm
upstreams can carry. Spilling objects to upstreams that do not keep them makes
these forget their own, all work becomes cold, and the load no longer fits.
"""

import collections
import heapq
import random

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.placement import service_times
from bulrushcourse_domain.placement.tests import test_placement as scenes

UPSTREAMS = 6
SLOTS = 4
REMEMBERED = 20
OBJECTS = 90
COLD_S, WARM_S = 0.4, 0.12
SECONDS = 12.0
# Cold work would need 1.3 times all slots, warm work 0.4 times.
PER_S = 1.3 * UPSTREAMS * SLOTS / COLD_S


def play(seed):
    """Return the share of warm runs in the second half of a load."""
    rng = random.Random(seed)
    listed = [scenes.make(n, slots=SLOTS) for n in range(UPSTREAMS)]
    placing = scenes.make_placement(*listed)
    clock: clocks.ManualClock = placing.clock
    memory = {u.name: collections.OrderedDict() for u in listed}
    free_at = {u.name: [clock.now] * SLOTS for u in listed}
    ends: list[tuple[float, int, str, float, service_times.Affinity]] = []
    runs, start, number = [], clock.now, 0
    while clock.now < start + SECONDS:
        clock.advance(rng.expovariate(PER_S))
        while ends and ends[0][0] <= clock.now:
            _, _, name, work, affinity = heapq.heappop(ends)
            placing.load.end_request(name)
            placing.times.add(scenes.ROUTE.key, 's', 0.25, work, affinity)
        object_key = str(rng.randrange(OBJECTS))
        choice = placing.choose(
            placement.PlacementRequest(scenes.ROUTE, 's', object_key),
            scenes.SERVICE,
        )
        name = choice.upstream.name
        slot = heapq.heappop(free_at[name])
        if slot > clock.now + 1.0:
            heapq.heappush(free_at[name], slot)
            continue
        warm = object_key in memory[name]
        memory[name][object_key] = None
        memory[name].move_to_end(object_key)
        if len(memory[name]) > REMEMBERED:
            memory[name].popitem(last=False)
        work = WARM_S if warm else COLD_S
        end = max(slot, clock.now) + work
        heapq.heappush(free_at[name], end)
        placing.load.begin_request(name)
        number += 1
        heapq.heappush(ends, (end, number, name, work, choice.affinity))
        runs.append((clock.now, warm))
    half = [warm for at, warm in runs if at > start + SECONDS / 2]
    return sum(half) / len(half)


def test_load_that_fits_warm_upstreams_only_becomes_warm(monkeypatch):
    with_cost = [play(seed) for seed in range(4)]
    monkeypatch.setattr(service_times, 'DISPLACEMENT_WEIGHT', 0.0)
    without = [play(seed) for seed in range(4)]
    print(with_cost, without)
    assert min(with_cost) > 0.9
    assert sum(with_cost) > sum(without)
