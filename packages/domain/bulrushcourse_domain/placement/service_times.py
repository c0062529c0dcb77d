"""Expected service times of routes, as measured by this VM."""

import enum
import math
import typing

import attrs

# Until a service time is measured, it is assumed to be this share of the
# route's objective: many objectives are shorter than the mean service time.
INITIAL_WORK_SHARE = 1.0
# Assumed ratio of the service times of warm and cold objects until measured.
INITIAL_WARM_RATIO = 0.45
SAMPLE_WEIGHT = 0.05
INITIAL_SAMPLE_WEIGHT = 0.25
INITIAL_SAMPLES = 12
# Service times far above the mean are rare and say little about the next
# request, so samples are clipped at this multiple of the mean.
MAX_SAMPLE_FACTOR = 3.0
# Factor on the cost of an eviction: the evicted object is cold at its next
# request, whose work may evict further objects in turn.
DISPLACEMENT_WEIGHT = 6.0


class Affinity(enum.Enum):
    """Relation of an upstream to an object that it may have in memory.

    ``FIRST`` and ``SECOND`` are the preferred upstreams of the object, and
    ``SEEN`` is another one that handled it recently.
    """

    FIRST = 'first'
    SECOND = 'second'
    SEEN = 'seen'
    NONE = 'none'


# Assumed share of requests that find the object warm, until measured.
_INITIAL_HIT_RATIOS = {
    Affinity.FIRST: 0.8,
    Affinity.SECOND: 0.4,
    Affinity.SEEN: 0.5,
    Affinity.NONE: 0.1,
}


@attrs.define
class RouteTimes:
    """Service times of one route at an upstream of typical speed.

    A response does not say whether the object was warm. Each measurement is
    attributed to the nearer of the two means.

    Attributes:
        cold_s: Mean for cold objects.
        warm_s: Mean for objects that the upstream has in memory.
        typical_s: Mean of all requests.
        samples: Number of measurements so far.
        hit_ratios: Share of requests that find the object warm, by affinity.
    """

    cold_s: float
    warm_s: float
    typical_s: float
    samples: int = 0
    hit_ratios: dict[Affinity, float] = attrs.field(
        factory=lambda: dict(_INITIAL_HIT_RATIOS)
    )

    def expected_s(self, affinity: Affinity) -> float:
        """Return the mean service time at an upstream.

        Args:
            affinity: Affinity of the upstream to the object.
        """
        hit_ratio = self.hit_ratios[affinity]
        return hit_ratio * self.warm_s + (1.0 - hit_ratio) * self.cold_s

    def displacement_s(self) -> float:
        """Return the cost of sending an object to a non-preferred upstream.

        An upstream keeps a bounded number of objects in memory, so such an
        object may evict one for which the upstream is preferred. This is
        likely where preferred upstreams often find their objects cold.
        """
        miss_ratio = 1.0 - self.hit_ratios[Affinity.FIRST]
        return DISPLACEMENT_WEIGHT * miss_ratio * (self.cold_s - self.warm_s)

    def add(self, seconds: float, affinity: Affinity) -> None:
        """Update the means with a measurement.

        Args:
            seconds: Service time, divided by the upstream's slowness.
            affinity: Affinity of the upstream to the object.
        """
        was_warm = seconds < math.sqrt(self.cold_s * self.warm_s)
        self.samples += 1
        weight = (
            INITIAL_SAMPLE_WEIGHT
            if self.samples < INITIAL_SAMPLES
            else SAMPLE_WEIGHT
        )
        clipped = min(seconds, self.typical_s * MAX_SAMPLE_FACTOR)
        self.typical_s += weight * (clipped - self.typical_s)
        mean = self.warm_s if was_warm else self.cold_s
        mean += weight * (min(seconds, mean * MAX_SAMPLE_FACTOR) - mean)
        if was_warm:
            self.warm_s = mean
        else:
            self.cold_s = mean
        hit_ratio = self.hit_ratios[affinity]
        self.hit_ratios[affinity] = hit_ratio + weight * (was_warm - hit_ratio)


@attrs.define
class ServiceTimes:
    """Service times by route and service.

    Attributes:
        by_route: Times by route key and service name.
        by_service: Times of all routes of a service together.
    """

    by_route: dict[tuple[str, str], RouteTimes] = attrs.field(factory=dict)
    by_service: dict[str, RouteTimes] = attrs.field(factory=dict)

    def route_times(
        self, route: str, service: str, objective_s: float
    ) -> RouteTimes:
        """Return the times of a route at a service.

        Args:
            route: Key of the route.
            service: Name of the service.
            objective_s: Latency objective of the route, for the initial
                estimate.
        """
        times = self.by_route.get((route, service))
        if times is None:
            times = self._initial_times(service, objective_s)
            self.by_route[route, service] = times
        return times

    def _initial_times(self, service: str, objective_s: float) -> RouteTimes:
        """Estimate from the service's other routes, else the objective."""
        similar = self.by_service.get(service)
        if similar is not None:
            return RouteTimes(
                similar.cold_s, similar.warm_s, similar.typical_s
            )
        initial_s = objective_s * INITIAL_WORK_SHARE
        return RouteTimes(initial_s, initial_s * INITIAL_WARM_RATIO, initial_s)

    def retain_routes(self, routes: typing.Container[str]) -> None:
        """Discard the times of all other routes.

        Args:
            routes: Keys of the routes that are configured.
        """
        self.by_route = {
            key: times
            for key, times in self.by_route.items()
            if key[0] in routes
        }

    def add(  # noqa: PLR0913
        self,
        route: str,
        service: str,
        objective_s: float,
        seconds: float,
        affinity: Affinity,
    ) -> None:
        """Update the means of a route with a measurement.

        Args:
            route: Key of the route.
            service: Name of the service.
            objective_s: Latency objective of the route, for the initial
                estimate.
            seconds: Service time, divided by the upstream's slowness.
            affinity: Affinity of the upstream to the object.
        """
        self.route_times(route, service, objective_s).add(seconds, affinity)
        if service not in self.by_service:
            self.by_service[service] = RouteTimes(seconds, seconds, seconds)
        self.by_service[service].add(seconds, affinity)
