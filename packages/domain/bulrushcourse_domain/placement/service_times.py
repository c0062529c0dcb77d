"""Expected service times of routes, from this VM's own measurements."""

import enum
import math
import typing

import attrs

# Until anything has been measured, work is expected to take this share of
# the route's objective: many objectives are shorter than the mean work.
FIRST_GUESS_SHARE = 1.0
# A warm object is expected to take this share of a cold one until measured.
WARM_GUESS = 0.45
WEIGHT = 0.05
FAST_WEIGHT = 0.25
FAST_SAMPLES = 12
# Work many times longer than usual is rare and says little about the next
# request, so that samples are cut at this multiple of the mean.
OUTLIER_FACTOR = 3.0
# An object that was pushed out is cold once and may push out others in turn.
DISPLACEMENT_WEIGHT = 6.0


class Affinity(enum.Enum):
    """What an upstream has to do with an object."""

    FIRST = 'first'
    SECOND = 'second'
    SEEN = 'seen'
    NONE = 'none'


# Share of requests that find the object warm until it has been measured.
_FIRST_HIT_SHARES = {
    Affinity.FIRST: 0.8,
    Affinity.SECOND: 0.4,
    Affinity.SEEN: 0.5,
    Affinity.NONE: 0.1,
}


@attrs.define
class RouteTimes:
    """Service times of one route at an upstream of usual speed.

    An answer does not say whether the object was warm; the measurement is
    counted to the nearer mean.

    Attributes:
        cold_s: Mean for objects that the upstream has not handled.
        warm_s: Mean for objects that it handled lately.
        typical_s: Mean of all requests.
        samples: Measurements so far.
        hit_shares: Share of requests that find the object warm.
    """

    cold_s: float
    warm_s: float
    typical_s: float
    samples: int = 0
    hit_shares: dict[Affinity, float] = attrs.field(
        factory=lambda: dict(_FIRST_HIT_SHARES)
    )

    def expected_s(self, affinity: Affinity) -> float:
        """Return the mean service time at an upstream.

        Args:
            affinity: What it has to do with the object.
        """
        share = self.hit_shares[affinity]
        return share * self.warm_s + (1.0 - share) * self.cold_s

    def displacement_s(self) -> float:
        """Return the cost of an object at an upstream that does not keep it.

        An upstream remembers a bounded number of objects, so that a further
        one may push out an object that it keeps for others. That happens
        where keepers often find their own objects cold.
        """
        missing = 1.0 - self.hit_shares[Affinity.FIRST]
        return DISPLACEMENT_WEIGHT * missing * (self.cold_s - self.warm_s)

    def add(self, seconds: float, affinity: Affinity) -> None:
        """Take over a measurement.

        Args:
            seconds: Service time, divided by the upstream's slowness.
            affinity: What the upstream has to do with the object.
        """
        was_warm = seconds < math.sqrt(self.cold_s * self.warm_s)
        self.samples += 1
        weight = FAST_WEIGHT if self.samples < FAST_SAMPLES else WEIGHT
        cut = min(seconds, self.typical_s * OUTLIER_FACTOR)
        self.typical_s += weight * (cut - self.typical_s)
        mean = self.warm_s if was_warm else self.cold_s
        mean += weight * (min(seconds, mean * OUTLIER_FACTOR) - mean)
        if was_warm:
            self.warm_s = mean
        else:
            self.cold_s = mean
        share = self.hit_shares[affinity]
        self.hit_shares[affinity] = share + weight * (was_warm - share)


@attrs.define
class ServiceTimes:
    """Service times by route and service.

    Attributes:
        by_route: Times by route and service.
        by_service: Times of all routes of a service.
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
            objective_s: Objective of the route, for a first guess.
        """
        times = self.by_route.get((route, service))
        if times is None:
            times = self._guess(service, objective_s)
            self.by_route[route, service] = times
        return times

    def _guess(self, service: str, objective_s: float) -> RouteTimes:
        """Return the means of the service's other routes, if measured."""
        known = self.by_service.get(service)
        if known is not None:
            return RouteTimes(known.cold_s, known.warm_s, known.typical_s)
        guess = objective_s * FIRST_GUESS_SHARE
        return RouteTimes(guess, guess * WARM_GUESS, guess)

    def retain_routes(self, routes: typing.Container[str]) -> None:
        """Forget the times of all other routes.

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
        """Take over a measurement.

        Args:
            route: Key of the route.
            service: Name of the service.
            objective_s: Objective of the route, for a first guess.
            seconds: Service time, divided by the upstream's slowness.
            affinity: What the upstream has to do with the object.
        """
        self.route_times(route, service, objective_s).add(seconds, affinity)
        if service not in self.by_service:
            self.by_service[service] = RouteTimes(seconds, seconds, seconds)
        self.by_service[service].add(seconds, affinity)
