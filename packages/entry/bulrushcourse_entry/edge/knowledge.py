"""What an edge process believes, in one place."""

import random

import attrs
import reactivex

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.fleet import lookups
from bulrushcourse_domain.placement import admission
from bulrushcourse_domain.placement import demand
from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.placement import region_mix
from bulrushcourse_domain.placement import service_times
from bulrushcourse_domain.quarantine import crashes
from bulrushcourse_domain.retries import shared_budget
from bulrushcourse_domain.routes import table as route_table
from bulrushcourse_domain.routes import weighted_round_robin
from bulrushcourse_domain.upstreams import directory as directories
from bulrushcourse_domain.upstreams import idle_connections
from bulrushcourse_domain.upstreams import loads
from bulrushcourse_domain.upstreams import outlier_detection
from bulrushcourse_domain.upstreams import recent_objects
from bulrushcourse_domain.upstreams import warmup
from bulrushcourse_entry.edge import delays
from bulrushcourse_entry.edge import settings as edge_settings


@attrs.define(eq=False)
class Knowledge:
    """The aggregates that decide, shared by the tasks of one process.

    Attributes:
        settings: Settings of the process.
        clock: Source of time.
        rng: Source of randomness.
        routes: Configuration in force.
        configuration: Its packed content, to pass it on.
        operators_version: Version of the store behind the evacuations.
        upstreams: Known upstreams.
        load: Their load.
        outliers: Their failures.
        objects: Objects that they have handled.
        idle: Which of them forget idle connections.
        cold: Limits on cold upstreams.
        times: Service times.
        delays: Round trips to regions.
        fleet: The VMs.
        answers: What callers are told of the VMs.
        demand: Work that arrives, by region and service.
        crashes: Requests that end upstreams.
        placement: Choice of an upstream.
        retry_times: Times to come back.
        mixes: Shares of the regions, by route and service.
        splits: Turns of a route's services.
        budgets: Budgets for second sends, by service.
        reads_for_all: Whether this VM reads the upstreams' entries for all.
        changes: Stream of changes of the upstreams' entries.
        readings: Stream of the versions that this VM reads for all.
        removed: Stream of the names of VMs that were removed.
    """

    settings: edge_settings.EdgeSettings
    clock: clocks.Clock
    rng: random.Random
    routes: route_table.RouteTable
    upstreams: directories.UpstreamDirectory
    load: loads.LoadView
    outliers: outlier_detection.OutlierDetector
    objects: recent_objects.RecentObjects
    idle: idle_connections.IdleConnectionPolicy
    cold: warmup.WarmupLimiter
    times: service_times.ServiceTimes
    delays: delays.Delays
    fleet: fleet.Fleet
    answers: lookups.LookupAnswers
    demand: demand.Demand
    crashes: crashes.CrashLedger
    placement: placement.Placement
    retry_times: admission.RetryAfterSampler
    configuration: bytes = b''
    operators_version: int = 0
    mixes: dict[tuple[str, str], region_mix.RegionMix] = attrs.field(
        factory=dict
    )
    splits: dict[str, weighted_round_robin.WeightedRoundRobin] = attrs.field(
        factory=dict
    )
    budgets: dict[str, shared_budget.SharedRetryBudget] = attrs.field(
        factory=dict
    )
    reads_for_all: bool = False
    changes: reactivex.Subject[directories.Change] = attrs.field(
        factory=reactivex.Subject
    )
    readings: reactivex.Subject[int] = attrs.field(factory=reactivex.Subject)
    removed: reactivex.Subject[str] = attrs.field(factory=reactivex.Subject)

    def budget(self, service: str) -> shared_budget.SharedRetryBudget:
        """Return the budget for second sends to a service.

        Args:
            service: Name of the service.
        """
        if service not in self.budgets:
            bounds = self.settings.bounds
            self.budgets[service] = shared_budget.SharedRetryBudget(
                bounds.retry_ratio,
                bounds.retry_extra,
                bounds.retry_window_s,
                at=self.clock.monotonic(),
            )
        return self.budgets[service]

    def mix(self, route: str, service: str) -> region_mix.RegionMix:
        """Return the shares of the regions in a route's requests.

        Args:
            route: Key of the route.
            service: Name of the service.
        """
        key = route, service
        if key not in self.mixes:
            self.mixes[key] = region_mix.RegionMix(
                self.clock, self.settings.bounds.shift_share
            )
        return self.mixes[key]

    def forget_routes(self) -> None:
        """Forget what is known of routes that are no longer configured."""
        keys = {route.key for route in self.routes.active.routes}
        self.mixes = {k: mix for k, mix in self.mixes.items() if k[0] in keys}
        self.splits = {k: s for k, s in self.splits.items() if k in keys}
        self.times.retain_routes(keys)

    def forget(self, change: directories.Change) -> None:
        """Forget what no longer holds of an upstream that changed.

        Args:
            change: Change of its entry.
        """
        if change.kind in ('gone', 'restarted'):
            self.outliers.discard(change.upstream.name)
            self.objects.discard(change.upstream.name)
            self.load.discard(change.upstream.name)


def assemble(
    settings: edge_settings.EdgeSettings,
    clock: clocks.Clock,
    rng: random.Random,
) -> Knowledge:
    """Return the knowledge of a process that has just started.

    Args:
        settings: Settings of the process.
        clock: Source of time.
        rng: Source of randomness.
    """
    bounds = settings.bounds
    me = fleet.Vm(
        settings.vm,
        int(clock.wall().timestamp() * 1000),
        settings.peers,
        settings.callers,
        settings.region,
        settings.failure_domain,
    )
    members = fleet.Fleet(clock, me)
    upstreams = directories.UpstreamDirectory(clock)
    load = loads.LoadView(clock)
    outliers = outlier_detection.OutlierDetector(clock)
    objects = recent_objects.RecentObjects()
    cold = warmup.WarmupLimiter(
        clock, settings.vm, bounds.warmup_excess, bounds.warmup_margin
    )
    times = service_times.ServiceTimes()
    measured = delays.Delays(settings.region, settings.failure_domain)
    beliefs = Knowledge(
        settings=settings,
        clock=clock,
        rng=rng,
        routes=route_table.RouteTable(),
        upstreams=upstreams,
        load=load,
        outliers=outliers,
        objects=objects,
        idle=idle_connections.IdleConnectionPolicy(clock),
        cold=cold,
        times=times,
        delays=measured,
        fleet=members,
        answers=lookups.LookupAnswers(members),
        demand=demand.Demand(clock, settings.region),
        crashes=crashes.CrashLedger(clock),
        placement=placement.Placement(
            clock,
            upstreams,
            load,
            outliers,
            objects,
            cold,
            times,
            measured.to_upstream,
            rng,
        ),
        retry_times=admission.RetryAfterSampler(rng),
    )
    beliefs.changes.subscribe(beliefs.forget)
    beliefs.removed.subscribe(beliefs.demand.discard)
    return beliefs
