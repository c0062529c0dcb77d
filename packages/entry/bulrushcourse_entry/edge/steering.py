"""Chooses the service and the region of a request."""

import typing

import attrs

from bulrushcourse_domain.placement import allocation
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.routes import weighted_round_robin
from bulrushcourse_entry.edge import knowledge as knowledges

# A cold upstream takes few requests, so that it counts for little room.
COLD_ROOM = 0.25
# Shares move by 3% a second at most, so that their target need not be worked
# out for each request.
TARGET_AGE_S = 0.1


@attrs.frozen
class Target:
    """Where the requests of a route at a service should run.

    Attributes:
        made_at: When it was worked out.
        shares: Wanted share of each region.
        capacity: Slots of each region that can serve.
    """

    made_at: float
    shares: typing.Mapping[str, float]
    capacity: typing.Mapping[str, float]


@attrs.define(eq=False)
class Steering:
    """Divides the requests of a route over services and regions.

    Attributes:
        known: What this process believes.
        targets: Targets by route and service.
        version: Configuration that they were worked out for.
    """

    known: knowledges.Knowledge
    targets: dict[tuple[str, str], Target] = attrs.field(factory=dict)
    version: int = 0

    def choose_service(self, route: routes.Route) -> str:
        """Return the service that runs a route's next request.

        Args:
            route: The route.
        """
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        turns = self.known.splits.setdefault(
            route.key, weighted_round_robin.WeightedRoundRobin()
        )
        return turns.next_choice(
            {p.service: p.weight for p in route.weighted_services}
        )

    def choose_region(
        self, route: routes.Route, service: str, object_key: str = ''
    ) -> str:
        """Return the region that runs a route's next request.

        Args:
            route: The route.
            service: Service that runs it.
            object_key: Object that the request concerns, empty for none.

        Returns:
            Name of the region, empty if none can.
        """
        known = self.known
        key = route.key, service
        now = known.clock.monotonic()
        if self.version != known.routes.version:
            self.version = known.routes.version
            self.targets.clear()
        target = self.targets.get(key)
        if target is None or now - target.made_at > TARGET_AGE_S:
            target = self._target(route, service, now)
            self.targets[key] = target
        if not target.shares:
            return ''
        return known.mix(route.key, service).choose_region(
            target.shares, target.capacity, object_key
        )

    def _target(self, route: routes.Route, service: str, now: float) -> Target:
        known = self.known
        capacity = self._capacity(route, service)
        demand = known.demand.by_region(service)
        if now < known.demand.settled_at:
            demand = allocation.usual_demand(
                capacity, set(known.settings.regions.values())
            )
        shares = allocation.allocate(demand, capacity)
        return Target(now, shares.get(known.settings.region, {}), capacity)

    def _capacity(self, route: routes.Route, service: str) -> dict[str, float]:
        known = self.known
        capacity: dict[str, float] = {}
        for upstream in known.upstreams.usable(service):
            if not route.may_run_in(upstream.region) or (
                known.outliers.is_ejected(upstream.name)
            ):
                continue
            slots = float(upstream.slots)
            if known.upstreams.is_cold(upstream.name):
                slots *= COLD_ROOM
            region = upstream.region
            capacity[region] = capacity.get(region, 0.0) + slots
        return capacity
