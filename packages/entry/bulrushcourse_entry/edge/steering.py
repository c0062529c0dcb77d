"""Chooses the service and the region of a request."""

import attrs

from bulrushcourse_domain.placement import allocation
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.routes import split
from bulrushcourse_entry.edge import knowledge as knowledges

# A cold upstream takes few requests, so that it counts for little room.
COLD_ROOM = 0.25


@attrs.define(eq=False)
class Steering:
    """Divides the requests of a route over services and regions.

    Attributes:
        known: What this process believes.
    """

    known: knowledges.Knowledge

    def choose_service(self, route: routes.Route) -> str:
        """Return the service that runs a route's next request.

        Args:
            route: The route.
        """
        if len(route.parts) == 1:
            return route.parts[0].service
        turns = self.known.splits.setdefault(route.key, split.WeightedTurns())
        return turns.take({p.service: p.weight for p in route.parts})

    def choose_region(
        self, route: routes.Route, service: str, thing: str = ''
    ) -> str:
        """Return the region that runs a route's next request.

        Args:
            route: The route.
            service: Service that runs it.
            thing: Object that the request concerns, empty if it names none.

        Returns:
            Name of the region, empty if none can.
        """
        known = self.known
        capacity: dict[str, float] = {}
        for upstream in known.upstreams.usable(service):
            if not route.may_run_in(upstream.region):
                continue
            slots = float(upstream.slots)
            if known.upstreams.is_cold(upstream.name):
                slots *= COLD_ROOM
            if known.troubles.is_paused(upstream.name):
                slots = 0.0
            region = upstream.region
            capacity[region] = capacity.get(region, 0.0) + slots
        capacity = {r: slots for r, slots in capacity.items() if slots > 0}
        here = known.settings.region
        demand = known.demand.by_region(service)
        if known.clock.monotonic() < known.demand.settled_at:
            demand = allocation.usual_demand(
                capacity, set(known.settings.regions.values())
            )
        shares = allocation.allocate(demand, capacity).get(here, {})
        if not shares:
            return ''
        return known.mix(route.key, service).take(shares, capacity, thing)
