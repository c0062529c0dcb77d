"""Work of requests by a key, relative to their route's expectation.

Answers the load in which a few objects or accounts cause far more work than
others on the same route. Only frequent keys are remembered, each estimate is
drawn towards 1 by what is not known yet, and a key is used only while it
predicts better than the route alone. A first request's cost cannot be known;
it is taken for the route's.
"""

import typing

import attrs

# Keys that are remembered for each route. Those that need their own estimate
# are few; the table of a route takes some 50 KB.
MAX_KEYS = 256
# Requests of a key whose mean counts as much as the route's expectation.
PRIOR_REQUESTS = 3.0
# A key's mean follows changes over this many of its requests.
MEMORY_REQUESTS = 20.0
# Requests over which the errors of both predictions are averaged, and how
# many are needed for a comparison.
ERROR_MEMORY = 100.0
MIN_COMPARED = 30
# The key must leave less than this share of the route's squared error, so
# that chance alone does not make it count.
MAX_ERROR_RATIO = 0.8
# Ratios beyond it are single long runs, not properties of the key.
MAX_RATIO = 10.0


@attrs.define
class KeyCost:
    """Work of one key.

    Attributes:
        mean: Mean ratio of the work to the route's expectation.
        weight: Requests behind it, at most ``MEMORY_REQUESTS``.
        count: Requests, for the choice of the keys that are remembered.
    """

    mean: float = 1.0
    weight: float = 0.0
    count: float = 0.0

    @property
    def factor(self) -> float:
        """Estimated ratio, drawn towards 1 while little is known."""
        return (self.mean * self.weight + PRIOR_REQUESTS) / (
            self.weight + PRIOR_REQUESTS
        )


@attrs.define
class KeyCosts:
    """Work of the frequent keys of one route.

    Attributes:
        by_key: Work by key.
        error: Mean squared error of predictions by key.
        route_error: Mean squared error of predictions by route alone.
        compared: Predictions so far.
    """

    by_key: dict[str, KeyCost] = attrs.field(factory=dict)
    error: float = 0.0
    route_error: float = 0.0
    compared: int = 0

    @property
    def predicts(self) -> bool:
        """Whether the key predicts better than the route alone."""
        return (
            self.compared >= MIN_COMPARED
            and self.error < MAX_ERROR_RATIO * self.route_error
        )

    def factor(self, key: str) -> float:
        """Return the expected ratio of a request's work to its route's.

        Args:
            key: Its key.
        """
        known = self.by_key.get(key) if self.predicts else None
        return known.factor if known is not None else 1.0

    def add(self, key: str, ratio: float) -> None:
        """Learn from a request.

        Args:
            key: Its key.
            ratio: Its work relative to the route's expectation.
        """
        ratio = min(MAX_RATIO, ratio)
        known = self.by_key.get(key)
        if known is not None:
            self._compare(known.factor, ratio)
        else:
            known = self._remember(key)
        known.count += 1.0
        known.weight = min(MEMORY_REQUESTS, known.weight + 1.0)
        known.mean += (ratio - known.mean) / known.weight

    def _compare(self, predicted: float, ratio: float) -> None:
        self.compared += 1
        step = max(1.0 / self.compared, 1.0 / ERROR_MEMORY)
        self.error += step * ((ratio - predicted) ** 2 - self.error)
        self.route_error += step * ((ratio - 1.0) ** 2 - self.route_error)

    def _remember(self, key: str) -> KeyCost:
        """Add a key, in place of the rarest one if there is no room.

        The new key takes over its count, as in the space-saving sketch, so
        that a frequent key is remembered whenever it first appears.
        """
        count = 0.0
        if len(self.by_key) >= MAX_KEYS:
            rarest = min(self.by_key, key=lambda k: self.by_key[k].count)
            count = self.by_key.pop(rarest).count
        self.by_key[key] = KeyCost(count=count)
        return self.by_key[key]


@attrs.define
class CostModel:
    """Work by key of each route.

    Attributes:
        by_route: Work by route key and service name.
    """

    by_route: dict[tuple[str, str], KeyCosts] = attrs.field(factory=dict)

    def factor(self, route: str, service: str, key: str) -> float:
        """Return the expected ratio of a request's work to its route's.

        Args:
            route: Key of the route.
            service: Name of the service.
            key: Key of the request, empty for none.
        """
        costs = self.by_route.get((route, service)) if key else None
        return costs.factor(key) if costs is not None else 1.0

    def add(self, route: str, service: str, key: str, ratio: float) -> None:
        """Learn from a request.

        Args:
            route: Key of the route.
            service: Name of the service.
            key: Key of the request, empty for none.
            ratio: Its work relative to the route's expectation.
        """
        if key:
            self.by_route.setdefault((route, service), KeyCosts()).add(
                key, ratio
            )

    def retain_routes(self, routes: typing.Container[str]) -> None:
        """Discard the work of all other routes.

        Args:
            routes: Keys of the routes that are configured.
        """
        self.by_route = {
            key: costs
            for key, costs in self.by_route.items()
            if key[0] in routes
        }
