"""Expected service times of routes, from this VM's own measurements."""

import attrs

# Until a route has been measured, work is expected to take this share of
# the route's objective.
FIRST_GUESS_SHARE = 0.8
# A warm object is expected to take this share of a cold one until measured.
WARM_GUESS = 0.6
WEIGHT = 0.05
FAST_WEIGHT = 0.25
FAST_SAMPLES = 12
# Work many times longer than usual is rare and says little about the next
# request, so that samples are cut at this multiple of the mean.
OUTLIER_FACTOR = 3.0


@attrs.define
class RouteTimes:
    """Mean service times of one route at an upstream of usual speed.

    Attributes:
        cold_s: Mean for objects that the upstream has not handled.
        warm_s: Mean for objects that it handled lately.
        cold_samples: Measurements behind ``cold_s``.
        warm_samples: Measurements behind ``warm_s``.
    """

    cold_s: float
    warm_s: float
    cold_samples: int = 0
    warm_samples: int = 0

    def add(self, seconds: float, warm: bool) -> None:
        """Take over a measurement.

        Args:
            seconds: Service time, divided by the upstream's slowness.
            warm: Whether the object was expected to be warm.
        """
        if warm:
            self.warm_s = _blend(self.warm_s, seconds, self.warm_samples)
            self.warm_samples += 1
        else:
            self.cold_s = _blend(self.cold_s, seconds, self.cold_samples)
            self.cold_samples += 1


@attrs.define
class ServiceTimes:
    """Service times by route and service.

    Attributes:
        by_route: Times by route and service.
    """

    by_route: dict[tuple[str, str], RouteTimes] = attrs.field(factory=dict)

    def of(self, route: str, service: str, objective_s: float) -> RouteTimes:
        """Return the times of a route at a service.

        Args:
            route: Key of the route.
            service: Name of the service.
            objective_s: Objective of the route, for a first guess.
        """
        times = self.by_route.get((route, service))
        if times is None:
            guess = objective_s * FIRST_GUESS_SHARE
            times = RouteTimes(guess, guess * WARM_GUESS)
            self.by_route[route, service] = times
        return times


def _blend(mean: float, sample: float, samples: int) -> float:
    if samples:
        sample = min(sample, mean * OUTLIER_FACTOR)
    weight = FAST_WEIGHT if samples < FAST_SAMPLES else WEIGHT
    return mean + weight * (sample - mean)
