"""Callers whose demand waves between regions, VMs and upstreams.

Each VM counts its own requests at once and those of others by reports that
are some hundred milliseconds old.
"""

import collections
import heapq
import itertools
import math
import random
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.store import store_era as store_eras
from bulrushcourse_domain.upstreams import directory as directories
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_testkit.objects import execution
from bulrushcourse_testkit.objects import vm as vms
from bulrushcourse_testkit.objects import world

REPORT_INTERVAL_S = 0.35
MAX_SLOWNESS_AGE_S = 0.8
# Time after the last arrival in which requests may end.
LINGER_S = 5.0


@attrs.define(eq=False)
class Simulation:
    """Runs a day of the model.

    Attributes:
        pools: Upstreams by service.
        works: Work of the routes.
        vms_per_region: VMs in each region.
        swing: Swing of the demand of each region.
        period_s: Period of its wave in seconds; phases are spread evenly.
        seed: Seed of all random sources.
        clock: Virtual time.
        rng: Source of randomness.
        servers: Upstreams by name.
        fleet: VMs by region.
        outcomes: Outcomes by route and region of the callers.
    """

    pools: typing.Sequence[world.Pool]
    works: typing.Sequence[world.Work]
    vms_per_region: int = 20
    swing: float = 0.55
    period_s: float = 36.0
    seed: int = 1
    clock: clocks.ManualClock = attrs.field(
        factory=lambda: clocks.ManualClock(100.0)
    )
    rng: random.Random = attrs.field(init=False)
    servers: dict[str, world.Server] = attrs.field(factory=dict)
    fleet: dict[str, list[vms.Vm]] = attrs.field(factory=dict)
    outcomes: dict[tuple[str, str], execution.Tally] = attrs.field(
        factory=dict
    )
    _events: list[tuple[float, int, typing.Callable[[], None]]] = attrs.field(
        factory=list
    )
    _serial: typing.Iterator[int] = attrs.field(factory=itertools.count)
    _ends: float = 0.0
    _reported: list[dict[str, int]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create the upstreams and the VMs."""
        self.rng = random.Random(self.seed)
        directory = directories.UpstreamDirectory(
            self.clock, store_eras.StoreEra(self.clock, 0.0)
        )
        rows = [row for pool in self.pools for row in self._add_pool(pool)]
        directory.apply_snapshot(upstreams.Snapshot(1, tuple(rows)))
        regions = list(self.pools[0].counts)
        for region in regions:
            self.fleet[region] = [
                vms.Vm(
                    f'vm-{region}-{number}',
                    region,
                    f'{region}-{number % 2}',
                    self.clock,
                    directory,
                    random.Random(self.rng.getrandbits(32)),
                    len(regions) * self.vms_per_region,
                )
                for number in range(self.vms_per_region)
            ]

    def _add_pool(self, pool: world.Pool) -> list[upstreams.Upstream]:
        rows = []
        for region, count in pool.counts.items():
            for number in range(count):
                name = f'{pool.service}-{region}-{number}'
                row = upstreams.Upstream(
                    name,
                    pool.service,
                    f'{name}:1',
                    f'{region}-{number % 2}',
                    region,
                    pool.slots,
                )
                rows.append(row)
                self.servers[name] = world.Server(
                    row,
                    pool,
                    self.rng,
                    self.schedule,
                    self.rng.getrandbits(32),
                )
        return rows

    def schedule(self, at: float, call: typing.Callable[[], None]) -> None:
        """Call a function at a time.

        Args:
            at: The time.
            call: The function.
        """
        heapq.heappush(self._events, (at, next(self._serial), call))

    def run(self, seconds: float = 30.0) -> execution.Outcomes:
        """Run the model and return its outcomes by route and region.

        Args:
            seconds: Time in which requests arrive.
        """
        start = self.clock.now
        self._ends = start + seconds
        for work in self.works:
            for index, region in enumerate(self.fleet):
                phase = 0.1 + index / len(self.fleet)
                self._arrive_next(work, region, phase, start)
        self.schedule(start, self._report)
        while self._events:
            at, _, call = heapq.heappop(self._events)
            self.clock.now = max(at, self.clock.now)
            if self.clock.now > self._ends + LINGER_S:
                break
            call()
        return self.outcomes

    def _arrive_next(
        self, work: world.Work, region: str, phase: float, at: float
    ) -> None:
        peak = work.per_s / len(self.fleet) * (1.0 + self.swing)
        share = 0.0
        while self.rng.random() >= share:
            at += self.rng.expovariate(peak)
            wave = math.sin(2.0 * math.pi * (at / self.period_s + phase))
            share = (1.0 + self.swing * wave) / (1.0 + self.swing)
        if at <= self._ends:
            self.schedule(at, lambda: self._arrive(work, region, phase, at))

    def _arrive(
        self, work: world.Work, region: str, phase: float, at: float
    ) -> None:
        self._arrive_next(work, region, phase, at)
        vm = self.rng.choice(self.fleet[region])
        number = self.rng.randrange(work.objects)
        object_key = f'{work.route}/{region if work.local else ""}/{number}'
        tally = self.outcomes.setdefault(
            (work.route, region), execution.Tally()
        )
        execution.Request(
            vm,
            work,
            work.to_route(),
            object_key,
            at,
            self.servers,
            self.schedule,
            tally,
        ).begin()

    def _report(self) -> None:
        """Deliver the reports of one interval ago, and take new ones."""
        self.schedule(self.clock.now + REPORT_INTERVAL_S, self._report)
        every = [vm for group in self.fleet.values() for vm in group]
        total: collections.Counter[str] = collections.Counter()
        for counts in self._reported:
            total.update(counts)
        for vm, own in zip(every, self._reported, strict=False):
            others = dict(total)
            for name, count in own.items():
                others[name] -= count
            vm.load.record_peer_load('others', others)
        self._reported = [dict(vm.load.own_in_flight) for vm in every]
        self._report_demand(every)
        for group in self.fleet.values():
            self._report_slowness(group)

    def _report_demand(self, every: list[vms.Vm]) -> None:
        for vm in every:
            for other in self.fleet.values():
                slots: collections.Counter[str] = collections.Counter()
                for peer in other:
                    if peer is not vm:
                        slots.update(peer.arriving.own_slots())
                region = other[0].region
                vm.arriving.reports.record(region, {region: dict(slots)})

    def _report_slowness(self, group: list[vms.Vm]) -> None:
        known: dict[str, tuple[float, float]] = {}
        for vm in group:
            for name, measured in vm.load.own_slowness.items():
                if measured[1] > known.get(name, (0.0, 0.0))[1]:
                    known[name] = measured
        for name, (value, at) in known.items():
            age_s = self.clock.now - at
            if age_s <= MAX_SLOWNESS_AGE_S:
                for vm in group:
                    vm.load.record_peer_slowness(name, value, age_s)
