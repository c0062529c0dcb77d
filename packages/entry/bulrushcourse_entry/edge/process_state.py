"""The state of an edge process."""

import asyncio
import enum
import random

import attrs
import reactivex

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.accounts import key_permission
from bulrushcourse_domain.costs import durations as duration_curves
from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.fleet import lag as lags
from bulrushcourse_domain.fleet import links as fleet_links
from bulrushcourse_domain.fleet import lookups
from bulrushcourse_domain.fleet import planned_stop as planned_stops
from bulrushcourse_domain.placement import admission
from bulrushcourse_domain.placement import demand
from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.placement import region_mix
from bulrushcourse_domain.placement import reservation
from bulrushcourse_domain.placement import service_times
from bulrushcourse_domain.quarantine import crashes
from bulrushcourse_domain.quotas import holdings
from bulrushcourse_domain.quotas import ledger as ledgers
from bulrushcourse_domain.quotas import ownership
from bulrushcourse_domain.resources import memory as memories
from bulrushcourse_domain.retries import shared_budget
from bulrushcourse_domain.routes import freshness as freshnesses
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.routes import table as route_table
from bulrushcourse_domain.routes import weighted_round_robin
from bulrushcourse_domain.store import position as positions
from bulrushcourse_domain.store import store_era as store_eras
from bulrushcourse_domain.upstreams import directory as directories
from bulrushcourse_domain.upstreams import evacuations as evacuation_sets
from bulrushcourse_domain.upstreams import idle_connections
from bulrushcourse_domain.upstreams import loads
from bulrushcourse_domain.upstreams import outlier_detection
from bulrushcourse_domain.upstreams import recent_objects
from bulrushcourse_domain.upstreams import sending_permissions
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_domain.upstreams import warmup
from bulrushcourse_domain.waiting import pressure as pressures
from bulrushcourse_domain.waiting import retry_schedule
from bulrushcourse_domain.waiting import waiting_room as waiting_rooms
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.edge.upstreams import round_trips


class SilentConnectionHint(enum.Enum):
    """What suggests that open connections went silent without a reset."""

    NEWER_CONFIGURATION = 'newer-configuration'
    STORE_CALL = 'store-call'
    PEER_STREAM = 'peer-stream'


@attrs.define(eq=False)
class ProcessState:
    """The aggregates behind all decisions, shared by the tasks of a process.

    Attributes:
        settings: Settings of the process.
        clock: Source of time.
        rng: Source of randomness.
        routes: Active configuration.
        freshness: What is known about its age.
        store_era: Which era of the store this VM is in.
        upstreams: Upstreams by their rows in the store.
        load: Load of the upstreams.
        outliers: Failures of the upstreams.
        permissions: Bans that upstreams asked for in their responses.
        recent_objects: Objects that each upstream has handled lately.
        idle_connections: Whether idle connections may be reused.
        warmup_limiter: Rate limits for cold upstreams.
        service_times: Measured service times.
        round_trips: Round-trip times to the upstreams.
        key_permission: Proofs that the keys of accounts still hold.
        durations: Durations of attempts, relative to their estimates.
        fleet: The VMs.
        links: The VMs that get reports of this one.
        lag: How late the tasks of this VM run.
        planned_stop: Planned stop of this VM, ``None`` before it begins.
        lookup_answers: Addresses returned by look-ups.
        demand: Arriving work by region and service.
        crash_ledger: Requests that crash upstreams.
        placement: Choice of an upstream.
        reservations: Room of the attempts at upstreams.
        retry_after: Source of Retry-After delays.
        token_ledger: Tokens of the accounts that this VM grants.
        holdings: Tokens of the accounts that this VM uses.
        memory: Memory of the VM's traffic.
        pressure: Requests that found no room lately, by service and priority.
        expected_retries: Retries that refused callers are expected to make.
        waiting_room: Requests that wait for room at upstreams.
        packed_configuration: Compressed content of the active configuration,
            as it is sent to other VMs.
        configuration_since: Time when this VM activated its configuration,
            monotonic seconds.
        evacuations: Failure domains that must get no requests.
        region_mixes: Shares of the regions, by route, service and home
            regions.
        service_rotations: Weighted round robin over a route's services, by
            route.
        retry_budgets: Budgets for retries and hedges, by service.
        registered: Set when this VM has read the rows of the other VMs.
        upstreams_needed: Set by the first request that arrives.
        is_designated_reader: Whether this VM polls the upstreams' rows for
            the other VMs.
        lacks_only_own_proof: Whether this VM may not serve keys while others
            may.
        possible_crashes: Stream of upstreams that may have crashed, where it
            matters whether they have.
        upstream_changes: Stream of changes of the upstreams' rows.
        snapshot_versions: Stream of the positions that this VM has read from
            the store.
        directory_reads: Stream of the positions of the directory that was read
            last, by this VM or another one.
        removed_vms: Stream of the names of removed VMs.
        room_changes: Stream of what may have given room at upstreams: ends of
            requests of this VM, and reports of others.
        proofs_wanted: Stream of upstreams that will be of use once they have
            proven their address.
        silent_connection_hints: Stream of what suggests that open connections
            of this VM have gone silent.
        pauses: Stream of the ends of pauses in which this process did not
            run.
        configuration_updates: Stream of what is learned about the newest
            configuration.
        store_returns: Stream of the returns of the store from a copy.
        store_settled: Stream of the times when its lost rows count as
            written again.
    """

    settings: edge_settings.EdgeSettings
    clock: clocks.Clock
    rng: random.Random
    routes: route_table.RouteTable
    freshness: freshnesses.Freshness
    store_era: store_eras.StoreEra
    evacuations: evacuation_sets.Evacuations
    upstreams: directories.UpstreamDirectory
    load: loads.LoadView
    outliers: outlier_detection.OutlierDetector
    permissions: sending_permissions.SendingPermissions
    recent_objects: recent_objects.RecentObjects
    idle_connections: idle_connections.IdleConnectionPolicy
    warmup_limiter: warmup.WarmupLimiter
    service_times: service_times.ServiceTimes
    round_trips: round_trips.RoundTripTimes
    fleet: fleet.Fleet
    links: fleet_links.Links
    lookup_answers: lookups.LookupCache
    demand: demand.Demand
    crash_ledger: crashes.CrashLedger
    placement: placement.Placement
    retry_after: admission.RetryAfterSampler
    key_permission: key_permission.KeyPermission
    token_ledger: ledgers.Ledger
    holdings: holdings.Holdings
    memory: memories.MemoryBudget
    pressure: pressures.PressureView
    expected_retries: retry_schedule.RetrySchedule
    durations: duration_curves.Durations = attrs.field(
        factory=duration_curves.Durations
    )
    waiting_room: waiting_rooms.WaitingRoom = attrs.field(
        factory=waiting_rooms.WaitingRoom
    )
    lag: lags.LagMonitor = attrs.field(factory=lags.LagMonitor)
    planned_stop: planned_stops.PlannedStop | None = None
    packed_configuration: bytes = b''
    configuration_since: float = float('-inf')
    region_mixes: dict[
        tuple[str, str, frozenset[str]], region_mix.RegionMix
    ] = attrs.field(factory=dict)
    service_rotations: dict[str, weighted_round_robin.WeightedRoundRobin] = (
        attrs.field(factory=dict)
    )
    retry_budgets: dict[str, shared_budget.SharedRetryBudget] = attrs.field(
        factory=dict
    )
    registered: asyncio.Event = attrs.field(factory=asyncio.Event)
    upstreams_needed: asyncio.Event = attrs.field(factory=asyncio.Event)
    is_designated_reader: bool = False
    lacks_only_own_proof: bool = False
    upstream_changes: reactivex.Subject[directories.Change] = attrs.field(
        factory=reactivex.Subject
    )
    snapshot_versions: reactivex.Subject[positions.Position] = attrs.field(
        factory=reactivex.Subject
    )
    directory_reads: reactivex.Subject[positions.Position] = attrs.field(
        factory=reactivex.Subject
    )
    removed_vms: reactivex.Subject[str] = attrs.field(
        factory=reactivex.Subject
    )
    room_changes: reactivex.Subject[None] = attrs.field(
        factory=reactivex.Subject
    )
    possible_crashes: reactivex.Subject[upstreams.Upstream] = attrs.field(
        factory=reactivex.Subject
    )
    proofs_wanted: reactivex.Subject[upstreams.Upstream] = attrs.field(
        factory=reactivex.Subject
    )
    silent_connection_hints: reactivex.Subject[SilentConnectionHint] = (
        attrs.field(factory=reactivex.Subject)
    )
    pauses: reactivex.Subject[None] = attrs.field(factory=reactivex.Subject)
    configuration_updates: reactivex.Subject[None] = attrs.field(
        factory=reactivex.Subject
    )
    store_returns: reactivex.Subject[store_eras.EraChange] = attrs.field(
        factory=reactivex.Subject
    )
    store_settled: reactivex.Subject[None] = attrs.field(
        factory=reactivex.Subject
    )
    reservations: reservation.Reservations = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Let reservations change the same load that decisions see."""
        self.reservations = reservation.Reservations(
            self.load,
            self.outliers,
            self.warmup_limiter,
            lambda: self.room_changes.on_next(None),
        )

    def observe_running(self) -> None:
        """Record that the process runs, before decisions and periodically.

        A process that was suspended continues with what it knew, and what
        waits in its sockets may be read before any news.
        """
        if self.freshness.observe(self.settings.bounds.freshness_terms):
            self.fleet.resume()
            self.pauses.on_next(None)

    def distrust_store(self) -> None:
        """Forget what was read since this VM started, beside a return.

        The configuration that it read may be that of the copy.
        """
        self.key_permission.forget()
        self.freshness.doubt()
        self.configuration_updates.on_next(None)

    @property
    def operators_position(self) -> positions.Position:
        """Position in the store's changes of the evacuations."""
        return self.evacuations.position

    def confirm_configuration(
        self, at: float, source: freshnesses.Source
    ) -> None:
        """Record that the newest configuration of a source was applied.

        Args:
            at: Time before the source was asked, monotonic seconds.
            source: The source.
        """
        self.freshness.confirm(at, source)
        self.configuration_updates.on_next(None)

    @property
    def configuration_unconfirmed(self) -> bool:
        """Whether the configuration has to be confirmed before use."""
        return self.freshness.is_unconfirmed(
            self.settings.bounds.freshness_terms
        )

    @property
    def configuration_behind(self) -> bool:
        """Whether another VM has just reported a newer configuration."""
        return self.freshness.is_behind(
            self.routes.version, self.settings.bounds.freshness_terms
        )

    @property
    def keys_must_be_current(self) -> bool:
        """Whether keys may be served only while they are proven to hold."""
        return (
            self.settings.bounds.strict_revoke
            and self.routes.accounts.requires_keys
        )

    @property
    def request_limits(self) -> routes.RequestLimits:
        """Limits on clients, the defaults before a configuration is known."""
        active = self.routes.active
        return active.limits if active else routes.RequestLimits()

    @property
    def configuration_age_s(self) -> float:
        """For how long this VM has had its active configuration, seconds."""
        return self.clock.monotonic() - self.configuration_since

    @property
    def may_deny(self) -> bool:
        """Whether clients may be told that their requests are wrong.

        They do not repeat such requests, also where another VM or a later
        configuration would accept them.
        """
        return self.routes.active is not None and self.freshness.may_deny(
            self.routes.version, self.settings.bounds.freshness_terms
        )

    def may_begin(self, deadline: float) -> bool:
        """Return whether a request may be sent before a planned stop ends.

        Args:
            deadline: Time when it is answered at the latest.
        """
        return self.planned_stop is None or self.planned_stop.may_begin(
            self.clock.monotonic(), deadline
        )

    def retry_budget(self, service: str) -> shared_budget.SharedRetryBudget:
        """Return the budget for retries and hedges of a service.

        Args:
            service: Name of the service.
        """
        if service not in self.retry_budgets:
            bounds = self.settings.bounds
            self.retry_budgets[service] = shared_budget.SharedRetryBudget(
                bounds.retry_ratio,
                bounds.retry_extra,
                bounds.retry_window_s,
                refilled_at=self.clock.monotonic(),
            )
        return self.retry_budgets[service]

    def region_mix_of(
        self, route: routes.Route, service: str
    ) -> region_mix.RegionMix:
        """Return the shares of the regions for a route and a service.

        Args:
            route: The route, with the home regions of the request.
            service: Name of the service.
        """
        key = route.key, service, route.home_regions
        if key not in self.region_mixes:
            self.region_mixes[key] = region_mix.RegionMix(
                self.clock, self.settings.bounds.shift_share
            )
        return self.region_mixes[key]

    def discard_removed_routes(self) -> None:
        """Discard the state of routes that are no longer configured."""
        keys = {route.key for route in self.routes.active.routes}
        self.region_mixes = {
            key: mix
            for key, mix in self.region_mixes.items()
            if key[0] in keys
        }
        self.service_rotations = {
            key: rotation
            for key, rotation in self.service_rotations.items()
            if key in keys
        }
        self.service_times.retain_routes(keys)
        self.durations.retain_routes(keys)
        self.placement.costs.retain_routes(keys)

    def discard_outdated(self, change: directories.Change) -> None:
        """Discard statistics of an upstream that was removed or restarted.

        Args:
            change: Change of its row.
        """
        if change.kind in ('gone', 'restarted'):
            self.outliers.discard(change.upstream.name)
            self.recent_objects.discard(change.upstream.name)
            self.load.discard(change.upstream.name)
        if change.kind == 'restarted':
            self.crash_ledger.record_restart(
                change.upstream.name, change.upstream.incarnation
            )


def build_state(
    settings: edge_settings.EdgeSettings,
    clock: clocks.Clock,
    rng: random.Random,
) -> ProcessState:
    """Return the state of a process that has just started.

    Args:
        settings: Settings of the process.
        clock: Source of time.
        rng: Source of randomness.
    """
    bounds = settings.bounds
    local_vm = fleet.Vm(
        settings.vm,
        int(clock.wall().timestamp() * 1000),
        settings.peers,
        settings.callers,
        settings.region,
        settings.failure_domain,
        settings.cores,
    )
    vms = fleet.Fleet(clock, local_vm)
    store_era = store_eras.StoreEra(clock, bounds.reconnect_s)
    upstreams = directories.UpstreamDirectory(clock, store_era)
    upstreams.addresses.reuse_s = bounds.address_reuse_s
    load = loads.LoadView(clock)
    outliers = outlier_detection.OutlierDetector(clock)
    permissions = sending_permissions.SendingPermissions(clock)
    objects = recent_objects.RecentObjects()
    warmup_limiter = warmup.WarmupLimiter(
        clock, settings.vm, bounds.warmup_excess, bounds.warmup_margin
    )
    times = service_times.ServiceTimes()
    round_trip_times = round_trips.RoundTripTimes(
        settings.region, settings.failure_domain
    )
    state = ProcessState(
        settings=settings,
        clock=clock,
        rng=rng,
        routes=route_table.RouteTable(),
        freshness=freshnesses.start(clock),
        store_era=store_era,
        evacuations=evacuation_sets.Evacuations(store_era),
        upstreams=upstreams,
        load=load,
        outliers=outliers,
        permissions=permissions,
        recent_objects=objects,
        idle_connections=idle_connections.IdleConnectionPolicy(clock),
        warmup_limiter=warmup_limiter,
        service_times=times,
        round_trips=round_trip_times,
        fleet=vms,
        links=fleet_links.Links(vms),
        lookup_answers=lookups.LookupCache(vms),
        demand=demand.Demand(clock, settings.region),
        crash_ledger=crashes.CrashLedger(clock),
        placement=placement.Placement(
            clock,
            upstreams,
            load,
            outliers,
            permissions,
            objects,
            warmup_limiter,
            times,
            round_trip_times.to_upstream,
            rng,
        ),
        retry_after=admission.RetryAfterSampler(rng),
        key_permission=key_permission.KeyPermission(clock),
        token_ledger=ledgers.Ledger(
            clock, ownership.Ownership(vms, settings.regions)
        ),
        holdings=holdings.Holdings(clock),
        memory=memories.MemoryBudget(
            memories.traffic_bytes(settings.memory_bytes)
        ),
        pressure=pressures.PressureView(clock),
        expected_retries=retry_schedule.RetrySchedule(clock, rng),
    )
    state.upstream_changes.subscribe(state.discard_outdated)
    state.removed_vms.subscribe(state.demand.reports.discard)
    state.removed_vms.subscribe(state.pressure.reports.discard)
    return state
