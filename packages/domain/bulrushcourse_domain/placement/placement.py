"""The aggregate that chooses an upstream for a request or refuses it."""

import random
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.placement import connections
from bulrushcourse_domain.placement import service_times
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.upstreams import directory as directories
from bulrushcourse_domain.upstreams import loads
from bulrushcourse_domain.upstreams import outlier_detection
from bulrushcourse_domain.upstreams import recent_objects
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_domain.upstreams import warmup

# Work at a cold upstream takes about this much longer.
COLD_FACTOR = 2.0
Affinity = service_times.Affinity
# Affinities of the upstreams that are preferred for an object, in order.
PREFERRED = (Affinity.FIRST, Affinity.SECOND)

# A request that fails is repeated or lost; its cost in objectives.
FAILURE_COST = 2.0
# A busier upstream is avoided among equals, by this share of the work.
USE_COST = 0.15
# Estimates closer than this share of the objective are a draw, so that VMs
# with the same view do not all pick the same upstream.
DRAW_SHARE = 0.04


@attrs.frozen
class PlacementRequest:
    """What a request needs of an upstream.

    Attributes:
        route: The request's route.
        service: Service that shall run it.
        object_key: Object that it concerns, empty if it names none.
        region: Region that shall run it, empty for any.
        tried: Upstreams that it was sent to.
    """

    route: routes.Route
    service: str
    object_key: str = ''
    region: str = ''
    tried: frozenset[str] = frozenset()


@attrs.frozen
class Choice:
    """An upstream with what is expected of it.

    Attributes:
        upstream: The upstream.
        completion_s: Expected time until its answer.
        work_s: Part of it that is work.
        affinity: What it has to do with the object.
        busy: Requests in flight beyond its slots, at least 0.
        cold: Whether it is in its warm-up.
    """

    upstream: upstreams.Upstream
    completion_s: float
    work_s: float
    affinity: service_times.Affinity
    busy: int
    cold: bool = False


@attrs.define
class Placement:
    """Expected completion of a request at each upstream.

    Attributes:
        clock: Source of time.
        directory: Known upstreams.
        load: Their load.
        outliers: Their failures.
        objects: Objects that they have handled.
        warmup_limiter: Limits on cold upstreams.
        times: Service times.
        round_trip_s: Round trip to each failure domain in seconds.
        rng: Source of randomness for draws.
        sharing_vm_count: Number of VMs that may use the same upstreams.
    """

    clock: clocks.Clock
    directory: directories.UpstreamDirectory
    load: loads.LoadView
    outliers: outlier_detection.OutlierDetector
    objects: recent_objects.RecentObjects
    warmup_limiter: warmup.WarmupLimiter
    times: service_times.ServiceTimes
    round_trip_s: typing.Callable[[upstreams.Upstream], float]
    rng: random.Random
    sharing_vm_count: int = 1

    def choose(
        self, request: PlacementRequest, service: routes.Service
    ) -> Choice | None:
        """Return the best upstream, ``None`` if there is none.

        Args:
            request: What the request needs.
            service: The service that shall run it.
        """
        candidates = self._candidates(request, service)
        if not candidates:
            return None
        times = self.times.route_times(
            request.route.key, request.service, request.route.objective_s
        )
        objective = request.route.objective_s
        affinities = self._affinities(request, candidates)

        def rank(upstream: upstreams.Upstream) -> float:
            affinity = affinities[upstream.name]
            cost = self._cost(upstream, affinity, times, objective)
            if request.object_key and affinity is not Affinity.FIRST:
                cost += times.displacement_s()
            return cost + self.rng.random() * objective * DRAW_SHARE

        best = min(candidates, key=rank)
        affinity = affinities[best.name]
        work, wait, busy = self._expect(best, affinity, times)
        return Choice(
            best,
            self.round_trip_s(best) + wait + work,
            work,
            affinity,
            busy,
            self.directory.is_cold(best.name),
        )

    def _candidates(
        self, request: PlacementRequest, service: routes.Service
    ) -> list[upstreams.Upstream]:
        allowed_each = connections.allowed_connections(
            service.max_connections, self.sharing_vm_count
        )
        found = [
            u
            for u in self.directory.usable(request.service, request.region)
            if request.route.may_run_in(u.region)
            and self.load.own.get(u.name, 0) < allowed_each
            and u.name not in request.tried
        ]
        allowed = [
            u
            for u in found
            if not self.directory.is_cold(u.name)
            or self.warmup_limiter.may_send(u.name, service.warmup_per_s)
        ]
        sound = [u for u in allowed if not self.outliers.is_ejected(u.name)]
        # When every upstream looks bad, the fault is more likely to be here.
        return sound or allowed

    def _affinities(
        self, request: PlacementRequest, candidates: list[upstreams.Upstream]
    ) -> dict[str, Affinity]:
        if not request.object_key:
            return dict.fromkeys((u.name for u in candidates), Affinity.NONE)
        found = {
            u.name: self._seen(u.name, request.object_key) for u in candidates
        }
        # Upstreams that are set aside or cold for the moment stay preferred,
        # so that their objects do not move for a short while.
        preferred = self.directory.preferred(
            request.service, request.region, request.object_key
        )
        return found | dict(zip(preferred, PREFERRED, strict=False))

    def _seen(self, upstream: str, object_key: str) -> Affinity:
        known = self.objects.has_handled(upstream, object_key)
        return Affinity.SEEN if known else Affinity.NONE

    def _expect(
        self,
        upstream: upstreams.Upstream,
        affinity: Affinity,
        times: service_times.RouteTimes,
    ) -> tuple[float, float, int]:
        """Return work and wait in seconds and the requests over the slots."""
        work = times.expected_s(affinity)
        work *= self.load.expected_slowness(upstream.name)
        if self.directory.is_cold(upstream.name):
            work *= COLD_FACTOR
        in_flight = self.load.in_flight(upstream.name)
        busy = max(0, in_flight + 1 - upstream.slots)
        return work, busy * times.typical_s / upstream.slots, busy

    def _cost(
        self,
        upstream: upstreams.Upstream,
        affinity: Affinity,
        times: service_times.RouteTimes,
        objective_s: float,
    ) -> float:
        work, wait, _ = self._expect(upstream, affinity, times)
        failing = self.outliers.failure_share(upstream.name)
        use = self.load.in_flight(upstream.name) / upstream.slots
        return (
            self.round_trip_s(upstream)
            + wait
            + work
            + failing * FAILURE_COST * objective_s
            + min(1.0, use) * USE_COST * work
        )
