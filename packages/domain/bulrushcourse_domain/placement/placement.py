"""Selection of the upstream with the lowest expected cost for a request."""

import random
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.costs import key_costs
from bulrushcourse_domain.placement import connections
from bulrushcourse_domain.placement import service_times
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.upstreams import directory as directories
from bulrushcourse_domain.upstreams import loads
from bulrushcourse_domain.upstreams import outlier_detection
from bulrushcourse_domain.upstreams import recent_objects
from bulrushcourse_domain.upstreams import sending_permissions
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_domain.upstreams import warmup

# Factor on the service time at an upstream that is still warming up.
COLD_FACTOR = 2.0
Affinity = service_times.Affinity
# Affinities of the preferred upstreams of an object, best first.
PREFERRED_AFFINITIES = (Affinity.FIRST, Affinity.SECOND)

# Cost of a failed request, which is retried or lost, as a multiple of the
# route's latency objective.
FAILURE_COST = 2.0
# Cost of a fully used upstream, as a share of the service time, so that the
# less used of two similar upstreams is chosen.
UTILIZATION_COST = 0.15
# Costs that differ by less than this share of the objective are a tie, which
# is broken at random so that VMs in the same state do not all choose the same
# upstream.
TIE_SHARE = 0.04


@attrs.frozen
class PlacementRequest:
    """Constraints on the upstream of a request.

    Attributes:
        route: Route of the request.
        service: Name of the service that must run it.
        object_key: Affinity object of the request, empty if it has none.
        region: Region that must run it, empty for any.
        tried: Names of the upstreams that have already been tried.
        proven_only: Whether the address of the upstream must be proven now.
    """

    route: routes.Route
    service: str
    object_key: str = ''
    region: str = ''
    tried: frozenset[str] = frozenset()
    proven_only: bool = False


@attrs.frozen
class Choice:
    """A chosen upstream and the estimates behind the choice.

    Attributes:
        upstream: The upstream.
        completion_s: Expected seconds until its response.
        work_s: Expected service time, which is ``completion_s`` without
            network and queueing delays.
        affinity: Affinity of the upstream to the object.
        queued: Requests in flight beyond its slots, at least 0.
        cold: Whether it is still warming up.
    """

    upstream: upstreams.Upstream
    completion_s: float
    work_s: float
    affinity: service_times.Affinity
    queued: int
    cold: bool = False


@attrs.define
class Placement:
    """Chooses upstreams by expected completion time and failure rate.

    Attributes:
        clock: Source of time.
        directory: Registered upstreams.
        load: Load of the upstreams.
        outliers: Failures of the upstreams.
        permissions: Bans that upstreams asked for.
        objects: Objects that each upstream handled recently.
        warmup_limiter: Rate limits of cold upstreams.
        times: Service times by route and service.
        round_trip_s: Function that returns the round-trip time to an
            upstream's failure domain in seconds.
        rng: Source of randomness for breaking ties.
        sharing_vm_count: Number of VMs that may use the same upstreams.
        divided: Route, service and home regions whose objects are divided
            over all regions.
        costs: Work of requests by object, relative to their route's.
    """

    clock: clocks.Clock
    directory: directories.UpstreamDirectory
    load: loads.LoadView
    outliers: outlier_detection.OutlierDetector
    permissions: sending_permissions.SendingPermissions
    objects: recent_objects.RecentObjects
    warmup_limiter: warmup.WarmupLimiter
    times: service_times.ServiceTimes
    round_trip_s: typing.Callable[[upstreams.Upstream], float]
    rng: random.Random
    sharing_vm_count: int = 1
    divided: set[tuple[str, str, frozenset[str]]] = attrs.field(factory=set)
    costs: key_costs.CostModel = attrs.field(factory=key_costs.CostModel)

    def set_divided(
        self, route: routes.Route, service: str, divided: bool
    ) -> None:
        """Set whether a route's objects are divided over all regions.

        Args:
            route: The route.
            service: Service of the requests.
            divided: Whether each object is served in one region only.
        """
        key = route.key, service, route.home_regions
        if divided:
            self.divided.add(key)
        else:
            self.divided.discard(key)

    def choose(
        self, request: PlacementRequest, service: routes.Service
    ) -> Choice | None:
        """Return the cheapest usable upstream, ``None`` if there is none.

        Args:
            request: Constraints of the request.
            service: The service that must run it.
        """
        candidates = self._candidates(request, service)
        if not candidates:
            return None
        scoring = self._scoring(request, candidates)
        best = min(candidates, key=scoring.cost)
        return scoring.choice(best)

    def rank(
        self, request: PlacementRequest, service: routes.Service
    ) -> list[Choice]:
        """Return all usable upstreams, the cheapest first.

        Args:
            request: Constraints of the request.
            service: The service that must run it.
        """
        candidates = self._candidates(request, service)
        scoring = self._scoring(request, candidates)
        return [
            scoring.choice(upstream)
            for upstream in sorted(candidates, key=scoring.cost)
        ]

    def _scoring(
        self, request: PlacementRequest, candidates: list[upstreams.Upstream]
    ) -> '_Scoring':
        key = request.route.key, request.service, request.route.home_regions
        # Where each object takes memory in one region only, there is room for
        # it at both preferred upstreams.
        uncharged = PREFERRED_AFFINITIES[: 2 if key in self.divided else 1]
        return _Scoring(
            self,
            request,
            self.times.route_times(
                request.route.key, request.service, request.route.objective_s
            ),
            self.costs.factor(
                request.route.key, request.service, request.object_key
            ),
            self._affinities(request, candidates),
            uncharged,
        )

    def _candidates(
        self, request: PlacementRequest, service: routes.Service
    ) -> list[upstreams.Upstream]:
        allowed_each = connections.allowed_connections(
            service.max_connections, self.sharing_vm_count
        )
        excluded = request.tried | self.directory.addresses.withheld(
            bool(request.route.home_regions)
        )
        eligible = [
            u
            for u in self.directory.candidates.usable(
                request.service, request.region
            )
            if request.route.may_run_in(u.region)
            and self.load.own_in_flight.get(u.name, 0) < allowed_each
            and u.name not in excluded
            and self.permissions.may_send(u)
            and not (
                request.proven_only
                and not self.directory.addresses.is_proven(u)
            )
        ]
        allowed = [
            u
            for u in eligible
            if not self.directory.cold.is_cold(u.name)
            or self.warmup_limiter.may_send(u.name, service.warmup_per_s)
        ]
        healthy = [u for u in allowed if not self.outliers.is_ejected(u.name)]
        # If every upstream is ejected, the fault is more likely at this VM.
        return healthy or allowed

    def _affinities(
        self, request: PlacementRequest, candidates: list[upstreams.Upstream]
    ) -> dict[str, Affinity]:
        if not request.object_key:
            return dict.fromkeys((u.name for u in candidates), Affinity.NONE)
        affinities = {
            u.name: self._past_affinity(u.name, request.object_key)
            for u in candidates
        }
        # Upstreams that are ejected or cold remain preferred, so that their
        # objects do not move to other upstreams for a short time.
        preferred = self.directory.candidates.preferred(
            request.service, request.region, request.object_key
        )
        return affinities | dict(
            zip(preferred, PREFERRED_AFFINITIES, strict=False)
        )

    def _past_affinity(self, upstream: str, object_key: str) -> Affinity:
        handled = self.objects.has_handled(upstream, object_key)
        return Affinity.SEEN if handled else Affinity.NONE


@attrs.frozen
class _Scoring:
    """Estimates for one request at the candidates.

    Attributes:
        placement: Facts about the upstreams.
        request: Constraints of the request.
        times: Service times of its route.
        factor: Work of its object relative to the route's.
        affinities: Affinity of each candidate to its object.
        uncharged: Affinities that displace no other object.
    """

    placement: Placement
    request: PlacementRequest
    times: service_times.RouteTimes
    factor: float
    affinities: typing.Mapping[str, Affinity]
    uncharged: tuple[Affinity, ...]

    def choice(self, upstream: upstreams.Upstream) -> Choice:
        """Return an upstream with its estimates."""
        facts = self.placement
        work, wait, queued = self._estimate(upstream)
        return Choice(
            upstream,
            facts.round_trip_s(upstream) + wait + work,
            work,
            self.affinities[upstream.name],
            queued,
            facts.directory.cold.is_cold(upstream.name),
        )

    def cost(self, upstream: upstreams.Upstream) -> float:
        """Return the expected cost in seconds, with ties broken at random."""
        facts = self.placement
        objective_s = self.request.route.objective_s
        work, wait, _ = self._estimate(upstream)
        failure_share = facts.outliers.failure_share(upstream.name)
        utilization = facts.load.in_flight(upstream.name) / upstream.slots
        cost = (
            facts.round_trip_s(upstream)
            + wait
            + work
            + failure_share * FAILURE_COST * objective_s
            + min(1.0, utilization) * UTILIZATION_COST * work
        )
        affinity = self.affinities[upstream.name]
        if self.request.object_key and affinity not in self.uncharged:
            cost += self.times.displacement_s()
        return cost + facts.rng.random() * objective_s * TIE_SHARE

    def _estimate(
        self, upstream: upstreams.Upstream
    ) -> tuple[float, float, int]:
        """Return service time and wait in seconds, and the queue length."""
        facts = self.placement
        affinity = self.affinities[upstream.name]
        work = self.times.expected_s(affinity) * self.factor
        work *= facts.load.expected_slowness(upstream.name)
        if facts.directory.cold.is_cold(upstream.name):
            work *= COLD_FACTOR
        in_flight = facts.load.in_flight(upstream.name)
        queued = max(0, in_flight + 1 - upstream.slots)
        return (
            work,
            queued * self.times.typical_s / upstream.slots,
            queued,
        )
