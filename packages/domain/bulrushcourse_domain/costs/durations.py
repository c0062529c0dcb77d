"""How much longer a request takes, given how long it has taken.

Answers the load in which requests that look alike differ sevenfold in their
work. What a first request costs cannot be known before it runs; that it is a
long one shows by its age. The distribution of the durations of a route tells
from which age on the time still expected exceeds that of a new run.
"""

import math
import typing

import attrs

# Durations are counted relative to their estimates. The classes grow by a
# fifth, which is finer than the spread of ordinary service times.
CLASS_GROWTH = 1.2
MIN_RATIO = 0.2
CLASS_COUNT = 28
# All counts are halved beyond this number, so that the curve follows changes
# and its memory is bounded: about 200 requests are remembered.
MAX_SAMPLES = 300.0
# Below it the curve says little about its tail, which is a few percent.
MIN_SAMPLES = 40.0


def _class_of(ratio: float) -> int:
    if ratio <= MIN_RATIO:
        return 0
    index = 1 + int(math.log(ratio / MIN_RATIO) / math.log(CLASS_GROWTH))
    return min(index, CLASS_COUNT - 1)


# Lower bound of each class.
_BOUNDS = tuple(
    0.0 if index == 0 else MIN_RATIO * CLASS_GROWTH ** (index - 1)
    for index in range(CLASS_COUNT + 1)
)


@attrs.define
class DurationCurve:
    """Distribution of durations, some of which ended early.

    The share of requests that outlast each class is the Kaplan-Meier
    estimate, so that an attempt that was cancelled counts up to its age.

    Attributes:
        ended: Attempts that were answered, by class.
        cancelled: Attempts that were given up, by class.
        samples: Sum of both.
    """

    ended: list[float] = attrs.field(factory=lambda: [0.0] * CLASS_COUNT)
    cancelled: list[float] = attrs.field(factory=lambda: [0.0] * CLASS_COUNT)
    samples: float = 0.0

    def add(self, ratio: float, answered: bool) -> None:
        """Count an attempt.

        Args:
            ratio: Its duration relative to its estimate.
            answered: Whether it was answered, rather than given up.
        """
        counts = self.ended if answered else self.cancelled
        counts[_class_of(ratio)] += 1.0
        self.samples += 1.0
        if self.samples > MAX_SAMPLES:
            self.ended = [count / 2 for count in self.ended]
            self.cancelled = [count / 2 for count in self.cancelled]
            self.samples /= 2

    def outlasting(self) -> list[float]:
        """Return the share of requests that outlast each class's bound."""
        at_risk = self.samples
        share = 1.0
        shares = []
        for ended, cancelled in zip(self.ended, self.cancelled, strict=True):
            shares.append(share)
            if at_risk > 0:
                share *= 1.0 - ended / at_risk
            at_risk -= ended + cancelled
        return [*shares, share]

    def residuals(self) -> list[tuple[float, float, float]]:
        """Return what is expected beyond each bound.

        Returns:
            For each class its lower bound, the share of requests that outlast
            it, and the mean ratio by which those outlast it.
        """
        shares = self.outlasting()
        rest = 0.0
        found = []
        for index in reversed(range(CLASS_COUNT)):
            width = _BOUNDS[index + 1] - _BOUNDS[index]
            rest += width * (shares[index] + shares[index + 1]) / 2
            if shares[index] > 1e-9:
                found.append(
                    (_BOUNDS[index], shares[index], rest / shares[index])
                )
        return found[::-1]

    def mean_ratio(self) -> float:
        """Return the mean duration relative to the estimates."""
        residuals = self.residuals()
        return residuals[0][2] if residuals else 1.0


@attrs.define
class Durations:
    """Curves by route and service, for first and for further attempts.

    Attributes:
        curves: Curve by route key, service name and whether the attempt is
            the request's first.
    """

    curves: dict[tuple[str, str, bool], DurationCurve] = attrs.field(
        factory=dict
    )

    def add(
        self,
        route: tuple[str, str],
        first: bool,
        ratio: float,
        answered: bool,
    ) -> None:
        """Count an attempt.

        Args:
            route: Key of the route, and name of the service.
            first: Whether it was the request's first attempt.
            ratio: Its duration relative to its estimate.
            answered: Whether it was answered, rather than given up.
        """
        self.curves.setdefault((*route, first), DurationCurve()).add(
            ratio, answered
        )

    def hedge_ratio(
        self,
        route: tuple[str, str],
        new_run_ratio: float,
        max_share: float,
    ) -> float | None:
        """Return the age from which on a second run is expected to be faster.

        If requests are long whichever upstream runs them, so are their second
        runs, and the age rises until none is hedged.

        Args:
            route: Key of the route, and name of the service.
            new_run_ratio: Estimate of a new run, relative to that of the
                first one.
            max_share: Largest share of the requests to hedge.

        Returns:
            Age relative to the estimate; infinite if there is none, ``None``
            if too little is known.
        """
        curve = self.curves.get((*route, True))
        if curve is None or curve.samples < MIN_SAMPLES:
            return None
        further = self.curves.get((*route, False))
        if further is not None and further.samples >= MIN_SAMPLES:
            new_run_ratio *= further.mean_ratio()
        for bound, share, rest in curve.residuals():
            if share <= max_share and bound >= 1.0 and rest >= new_run_ratio:
                return bound
        return math.inf

    def retain_routes(self, routes: typing.Container[str]) -> None:
        """Discard the curves of all other routes.

        Args:
            routes: Keys of the routes that are configured.
        """
        self.curves = {
            key: curve
            for key, curve in self.curves.items()
            if key[0] in routes
        }
