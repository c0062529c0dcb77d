"""A VM of the model, which decides as the product does."""

import random

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.costs import durations
from bulrushcourse_domain.placement import allocation
from bulrushcourse_domain.placement import demand
from bulrushcourse_domain.placement import object_division
from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.placement import region_mix
from bulrushcourse_domain.placement import service_times
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.upstreams import directory as directories
from bulrushcourse_domain.upstreams import loads
from bulrushcourse_domain.upstreams import outlier_detection
from bulrushcourse_domain.upstreams import recent_objects
from bulrushcourse_domain.upstreams import sending_permissions
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_domain.upstreams import warmup

# Round trips in seconds, those of the users' deployments.
BETWEEN_REGIONS_S = 0.024
BETWEEN_DOMAINS_S = 0.006
# As in the edge program.
HEDGE_FACTOR = 3.0
MIN_HEDGE_S = 0.15
RETRY_RATIO = 0.2


@attrs.define(eq=False)
class Vm:
    """The decisions of one VM.

    Attributes:
        name: Name of the VM.
        region: Region of the VM and its callers.
        domain: Failure domain.
        clock: Source of time.
        directory: Registered upstreams.
        rng: Source of randomness.
        sharing: Number of VMs.
        load: Requests in flight.
        arriving: Demand by region.
        times: Service times.
        curves: Durations of attempts.
        selector: Choice of an upstream.
        mixes: Shares of the regions by route.
    """

    name: str
    region: str
    domain: str
    clock: clocks.ManualClock
    directory: directories.UpstreamDirectory
    rng: random.Random
    sharing: int
    load: loads.LoadView = attrs.field(init=False)
    arriving: demand.Demand = attrs.field(init=False)
    times: service_times.ServiceTimes = attrs.field(
        factory=service_times.ServiceTimes
    )
    curves: durations.Durations = attrs.field(factory=durations.Durations)
    selector: placement.Placement = attrs.field(init=False)
    mixes: dict[str, region_mix.RegionMix] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the aggregates that need the clock."""
        self.load = loads.LoadView(self.clock)
        self.arriving = demand.Demand(self.clock, self.region)
        self.selector = placement.Placement(
            self.clock,
            self.directory,
            self.load,
            outlier_detection.OutlierDetector(self.clock),
            sending_permissions.SendingPermissions(self.clock),
            recent_objects.RecentObjects(),
            warmup.WarmupLimiter(self.clock, self.name, 1.5, 8.0),
            self.times,
            self.round_trip_s,
            self.rng,
            self.sharing,
        )

    def round_trip_s(self, upstream: upstreams.Upstream) -> float:
        """Return the round-trip time to an upstream in seconds.

        Args:
            upstream: The upstream.
        """
        if upstream.region != self.region:
            return BETWEEN_REGIONS_S
        same = upstream.failure_domain == self.domain
        return 0.0 if same else BETWEEN_DOMAINS_S

    def choose_region(
        self, route: routes.Route, service: str, object_key: str
    ) -> str:
        """Return the region of a request that arrives.

        Args:
            route: Route of the request.
            service: Its service.
            object_key: Its object.
        """
        times = self.times.route_times(route.key, service, route.objective_s)
        self.arriving.record_request(service, times.typical_s)
        capacity: dict[str, float] = {}
        usable = self.directory.candidates.usable(service)
        for upstream in usable:
            slots = capacity.get(upstream.region, 0.0) + upstream.slots
            capacity[upstream.region] = slots
        divided = object_division.should_divide(
            capacity,
            min((upstream.slots for upstream in usable), default=0),
            times.cold_s - times.warm_s,
            BETWEEN_REGIONS_S,
        )
        self.selector.set_divided(route, service, divided)
        arriving = self.arriving.by_region(service)
        if self.clock.now < self.arriving.settled_at:
            arriving = allocation.default_demand(capacity, set(capacity))
        target = allocation.allocate(arriving, capacity)[self.region]
        if divided:
            target = object_division.division(capacity)
        mix = self.mixes.setdefault(
            route.key, region_mix.RegionMix(self.clock)
        )
        return mix.choose_region(target, capacity, object_key, divided)

    def hedge_delay_s(
        self, route: routes.Route, service: str, choice: placement.Choice
    ) -> float:
        """Return after how long a request is hedged, in seconds.

        Args:
            route: Route of the request.
            service: Its service.
            choice: Upstream of the first attempt.
        """
        times = self.times.route_times(route.key, service, route.objective_s)
        again_s = times.expected_s(service_times.Affinity.SECOND)
        ratio = self.curves.hedge_ratio(
            (route.key, service), again_s / choice.completion_s, RETRY_RATIO
        )
        factor = HEDGE_FACTOR if ratio is None else ratio
        return max(MIN_HEDGE_S, choice.completion_s * factor)

    def record_answer(
        self,
        route: routes.Route,
        service: str,
        object_key: str,
        choice: placement.Choice,
        elapsed_s: float,
    ) -> None:
        """Learn from an answer, whose load report is recorded before.

        Args:
            route: Route of the request.
            service: Its service.
            object_key: Its object.
            choice: Upstream of the attempt.
            elapsed_s: Duration of the attempt in seconds.
        """
        name = choice.upstream.name
        self.selector.objects.record(name, object_key)
        self.selector.outliers.record_outcome(
            name, outlier_detection.Outcome.GOOD
        )
        if not choice.queued:
            work_s = elapsed_s - self.round_trip_s(choice.upstream)
            work_s = max(0.001, work_s / self.load.expected_slowness(name))
            times = self.times.route_times(
                route.key, service, route.objective_s
            )
            self.selector.costs.add(
                route.key,
                service,
                object_key,
                work_s / times.expected_s(choice.affinity),
            )
            self.times.add(
                route.key,
                service,
                route.objective_s,
                work_s,
                choice.affinity,
            )
