"""Choice of the service and the region that serve a request."""

import typing

import attrs

from bulrushcourse_domain.placement import allocation
from bulrushcourse_domain.placement import object_division
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.routes import weighted_round_robin
from bulrushcourse_entry.edge import process_state

# Share of a cold upstream's slots that counts as capacity, since it is sent
# only a few requests.
COLD_CAPACITY_RATIO = 0.25
# The shares of the regions change by at most 3% a second, so their target need
# not be recomputed for each request.
MAX_TARGET_AGE_S = 0.1


@attrs.frozen
class RegionTarget:
    """Target distribution over regions for one route and service.

    Attributes:
        computed_at: Time of the computation, monotonic seconds.
        shares: Target share of each region.
        capacity: Usable slots of each region.
        divided: Whether the shares are those of the objects, the same in all
            regions.
    """

    computed_at: float
    shares: typing.Mapping[str, float]
    capacity: typing.Mapping[str, float]
    divided: bool = False


@attrs.define(eq=False)
class DestinationSelector:
    """Distributes the requests of a route over services and regions.

    Attributes:
        state: The process state.
        targets: Cached targets by route, service and home regions.
        configuration_version: Version of the configuration behind them.
    """

    state: process_state.ProcessState
    targets: dict[tuple[str, str, frozenset[str]], RegionTarget] = attrs.field(
        factory=dict
    )
    configuration_version: int = 0

    def choose_service(self, route: routes.Route) -> str:
        """Return the service for a route's next request.

        Args:
            route: The route.

        Returns:
            Name of the service, empty if the route is defective.
        """
        if route.is_defective:
            return ''
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        rotation = self.state.service_rotations.setdefault(
            route.key, weighted_round_robin.WeightedRoundRobin()
        )
        return rotation.next_choice(
            {
                weighted.service: weighted.weight
                for weighted in route.weighted_services
            }
        )

    def choose_region(
        self, route: routes.Route, service: str, object_key: str = ''
    ) -> str:
        """Return the region for a route's next request.

        Args:
            route: The route.
            service: Service of the request.
            object_key: Affinity object of the request, empty for none.

        Returns:
            Name of the region, empty if none can serve the request.
        """
        state = self.state
        key = route.key, service, route.home_regions
        now = state.clock.monotonic()
        if self.configuration_version != state.routes.version:
            self.configuration_version = state.routes.version
            self.targets.clear()
        target = self.targets.get(key)
        if target is None or now - target.computed_at > MAX_TARGET_AGE_S:
            target = self._compute_target(route, service, now)
            self.targets[key] = target
        if not target.shares:
            return ''
        return state.region_mix_of(route, service).choose_region(
            target.shares, target.capacity, object_key, target.divided
        )

    def expected_regions(
        self, route: routes.Route, service: str
    ) -> dict[str, float]:
        """Return the shares of the regions without choosing one.

        Args:
            route: The route.
            service: Service of the requests.

        Returns:
            The shares of the latest requests, or the target without any.
        """
        key = route.key, service, route.home_regions
        mix = self.state.region_mixes.get(key)
        if mix is not None and mix.shares:
            return dict(mix.shares)
        now = self.state.clock.monotonic()
        return dict(self._compute_target(route, service, now).shares)

    def _compute_target(
        self, route: routes.Route, service: str, now: float
    ) -> RegionTarget:
        state = self.state
        capacity = self._capacity(route, service)
        divided = route.affinity and self._divides_objects(
            route, service, capacity
        )
        state.placement.set_divided(route, service, divided)
        if divided:
            return RegionTarget(
                now, object_division.division(capacity), capacity, True
            )
        demand = state.demand.by_region(service)
        if now < state.demand.settled_at:
            demand = allocation.default_demand(
                capacity, set(state.settings.regions.values())
            )
        shares = allocation.allocate(demand, capacity)
        return RegionTarget(
            now, shares.get(state.settings.region, {}), capacity
        )

    def _divides_objects(
        self,
        route: routes.Route,
        service: str,
        capacity: typing.Mapping[str, float],
    ) -> bool:
        state = self.state
        times = state.service_times.route_times(
            route.key, service, route.objective_s
        )
        round_trip_s = max(
            (
                state.round_trips.to_upstream(upstream)
                for upstream in state.upstreams.candidates.usable(service)
                if upstream.region in capacity
            ),
            default=0.0,
        )
        slots = min(
            (u.slots for u in state.upstreams.candidates.usable(service)),
            default=0,
        )
        return object_division.should_divide(
            capacity, slots, times.cold_s - times.warm_s, round_trip_s
        )

    def _capacity(self, route: routes.Route, service: str) -> dict[str, float]:
        state = self.state
        capacity: dict[str, float] = {}
        withheld = state.upstreams.addresses.withheld(bool(route.home_regions))
        for upstream in state.upstreams.candidates.usable(service):
            if (
                not route.may_run_in(upstream.region)
                or state.outliers.is_ejected(upstream.name)
                or not state.permissions.may_send(upstream)
                or upstream.name in withheld
            ):
                continue
            slots = float(upstream.slots)
            if state.upstreams.cold.is_cold(upstream.name):
                slots *= COLD_CAPACITY_RATIO
            region = upstream.region
            capacity[region] = capacity.get(region, 0.0) + slots
        return capacity
