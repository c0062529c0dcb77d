"""Objects stay at their preferred upstreams when memory is short.

There are more objects than one upstream keeps in memory, and the load fits
only while most requests find their object warm. Sending objects to upstreams
that are not preferred for them evicts other objects there; all work then
becomes cold, and the load no longer fits.
"""

import collections
import heapq
import random

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.placement import service_times
from bulrushcourse_domain.placement.tests import test_placement as helpers

UPSTREAMS = 6
SLOTS = 4
KEPT_OBJECTS = 20
OBJECTS = 90
COLD_S, WARM_S = 0.4, 0.12
DURATION_S = 12.0
# Cold work would need 1.3 times all slots, warm work 0.4 times.
REQUESTS_PER_S = 1.3 * UPSTREAMS * SLOTS / COLD_S


def simulate(seed):
    """Return the share of warm requests in the second half of the load."""
    rng = random.Random(seed)
    registered = [
        helpers.make_upstream(n, slots=SLOTS) for n in range(UPSTREAMS)
    ]
    selector = helpers.make_placement(*registered)
    clock: clocks.ManualClock = selector.clock
    memory = {u.name: collections.OrderedDict() for u in registered}
    free_at = {u.name: [clock.now] * SLOTS for u in registered}
    completions: list[
        tuple[float, int, str, float, service_times.Affinity]
    ] = []
    outcomes, started, number = [], clock.now, 0
    while clock.now < started + DURATION_S:
        clock.advance(rng.expovariate(REQUESTS_PER_S))
        while completions and completions[0][0] <= clock.now:
            _, _, name, work, affinity = heapq.heappop(completions)
            selector.load.end_request(name)
            selector.times.add(helpers.ROUTE.key, 's', 0.25, work, affinity)
        object_key = str(rng.randrange(OBJECTS))
        choice = selector.choose(
            placement.PlacementRequest(helpers.ROUTE, 's', object_key),
            helpers.SERVICE,
        )
        name = choice.upstream.name
        slot = heapq.heappop(free_at[name])
        if slot > clock.now + 1.0:
            heapq.heappush(free_at[name], slot)
            continue
        warm = object_key in memory[name]
        memory[name][object_key] = None
        memory[name].move_to_end(object_key)
        if len(memory[name]) > KEPT_OBJECTS:
            memory[name].popitem(last=False)
        work = WARM_S if warm else COLD_S
        end = max(slot, clock.now) + work
        heapq.heappush(free_at[name], end)
        selector.load.begin_request(name)
        number += 1
        heapq.heappush(completions, (end, number, name, work, choice.affinity))
        outcomes.append((clock.now, warm))
    second_half = [
        warm for at, warm in outcomes if at > started + DURATION_S / 2
    ]
    return sum(second_half) / len(second_half)


def test_load_that_fits_only_warm_upstreams_becomes_warm(monkeypatch):
    with_cost = [simulate(seed) for seed in range(4)]
    monkeypatch.setattr(service_times, 'DISPLACEMENT_WEIGHT', 0.0)
    without = [simulate(seed) for seed in range(4)]
    print(with_cost, without)
    assert min(with_cost) > 0.9
    assert sum(with_cost) > sum(without)
