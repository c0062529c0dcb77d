"""Choice of the region of a request within shares and plans."""

import asyncio
import random
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.limits import rate_window
from bulrushcourse_domain.routing import region_failures
from bulrushcourse_domain.routing import router
from bulrushcourse_domain.slots import requests
from bulrushcourse_entry.limits import held_limit
from bulrushcourse_entry.limits import keeper as limit_keeper
from bulrushcourse_entry.limits import pacer as link_pacers
from bulrushcourse_entry.limits import plans as plan_runner

SHARE_CHECK_S = 0.25
# A request waits this long for its share of a shift; then it is routed anew.
ADMISSION_WAIT_S = 1.0


class PoolLoads(typing.Protocol):
    """Knows the load of pools."""

    def loads(self, service: str) -> dict[str, router.RegionLoad]:
        """Return the load of a service's pools by region."""
        ...


@attrs.define(eq=False)
class RegionSelector:
    """Chooses regions and charges what crosses between them.

    Attributes:
        region: Region of this entry.
        clock: Source of time.
        random: Source that picks the part of requests that a plan moves.
        keeper: Shares of limits.
        loads: Loads of pools.
        plans: Plans in force.
        configuration: Configuration in force.
        pacers: Pacers of links by name of the limit.
        last_routes: Last decision by service, for ``explain``.
        failures: What this entry saw, by service and region.
    """

    region: str
    clock: clocks.Clock
    random: random.Random
    keeper: limit_keeper.LimitKeeper
    loads: PoolLoads
    plans: plan_runner.PlanRunner
    configuration: configuration_set.ConfigurationSet | None = None
    pacers: dict[str, link_pacers.LinkPacer] = attrs.field(factory=dict)
    last_routes: dict[str, router.RoutingDecision] = attrs.field(factory=dict)
    failures: dict[tuple[str, str], region_failures.RegionFailures] = (
        attrs.field(factory=dict)
    )

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Take up a configuration.

        Args:
            configuration: The configuration that is now in force.
        """
        self.configuration = configuration
        long_priority = max(
            (c.priority for c in configuration.objects.request_classes),
            default=0,
        )
        for name, held in self.keeper.limits.items():
            if held.limit.kind is not objects.LimitKind.LINK:
                continue
            if name not in self.pacers:
                self.pacers[name] = link_pacers.open_pacer(
                    self.clock,
                    held,
                    long_priority,
                    self.keeper.request_renewal,
                )
            self.pacers[name].queue.long_priority = long_priority

    def choose(self, service: str, request_class: str) -> str | None:
        """Return the region to ask for a slot, ``None`` to shed.

        Args:
            service: Name of the service.
            request_class: Name of the request's class.
        """
        configuration = self.configuration
        if configuration is None:
            return None
        classes = configuration.request_classes
        planned, drained = self.plans.choose_target(
            service, self.random.random()
        )
        request = router.RoutingRequest(
            self.region,
            classes[request_class].priority,
            max(c.priority for c in classes.values()) + 1,
            planned,
            drained,
        )
        route = router.Router(self, self.near).route(
            request, self._admitted_loads(service)
        )
        self.last_routes[service] = route
        return route.region

    def record_outcome(
        self,
        service: str,
        region: str,
        outcome: requests.ReleaseOutcome,
        time_s: float,
    ) -> None:
        """Take up how a request ended.

        Args:
            service: Name of its service.
            region: Region of its instance.
            outcome: How its work ended.
            time_s: How long the work took, in seconds.
        """
        self._failures(service, region).record_outcome(outcome)
        self.plans.record_outcome(service, region, outcome, time_s)

    def _failures(
        self, service: str, region: str
    ) -> region_failures.RegionFailures:
        return self.failures.setdefault(
            (service, region), region_failures.RegionFailures(self.clock)
        )

    def _admitted_loads(self, service: str) -> dict[str, router.RegionLoad]:
        return {
            region: load
            if self._failures(service, region).admits()
            else attrs.evolve(load, healthy=0)
            for region, load in self.loads.loads(service).items()
        }

    @property
    def near(self) -> tuple[str, ...]:
        """Other regions, nearest first."""
        stated = self.configuration.nearness.get(self.region, ())
        others = sorted(set(self.configuration.regions.values()))
        return stated + tuple(
            r for r in others if r != self.region and r not in stated
        )

    def blocked_by(self, source: str, target: str) -> router.Reason | None:
        """Return the kind of cap without room, ``None`` if there is room.

        The cap of a region is kept by the owners of its pools.

        Args:
            source: Region of this entry.
            target: Region that is considered.
        """
        if source == target:
            return None
        for held in self._shifts(source, target):
            if held.window.wait_s(1, held.shares.usable) > 0:
                held.note_use(True)
                self.plans.record_cap_reached(target)
                self.keeper.request_renewal()
                return router.Reason.SHIFT_CAP
        crossed = self._pacers(source, target) + self._pacers(target, source)
        if any(pacer.is_blocked for pacer in crossed):
            for pacer in crossed:
                pacer.held.note_use(True)
            self.keeper.request_renewal()
            return router.Reason.LINK_CAP
        return None

    async def admit(
        self, target: str, priority: int, deadline: float
    ) -> tuple[bool, link_pacers.PacedLink | None]:
        """Charge a request that is about to be sent to a region.

        Args:
            target: Region of the instance.
            priority: Priority of the request's class.
            deadline: Clock seconds when it no longer needs to be sent.

        Returns:
            Whether it may be sent, and the link that its bytes cross.
        """
        if target == self.region:
            return True, None
        until = min(deadline, self.clock.monotonic() + ADMISSION_WAIT_S)
        for held in self._shifts(self.region, target):
            if not await self._charge(held, until):
                return False, None
        return True, link_pacers.PacedLink(
            tuple(self._pacers(self.region, target)),
            tuple(self._pacers(target, self.region)),
            priority,
        )

    async def _charge(self, held: held_limit.HeldLimit, until: float) -> bool:
        while not held.charge(1):
            left_s = until - self.clock.monotonic()
            wait_s = held.window.wait_s(1, held.shares.usable)
            self.keeper.request_renewal()
            if left_s <= 0:
                return False
            await asyncio.sleep(
                min(wait_s, left_s, SHARE_CHECK_S) + rate_window.ROUNDING_S
            )
        return True

    def _shifts(self, source: str, target: str) -> list[held_limit.HeldLimit]:
        return self.keeper.find(objects.LimitKind.SHIFT, source, target)

    def _pacers(self, source: str, target: str) -> list[link_pacers.LinkPacer]:
        found = self.keeper.find(objects.LimitKind.LINK, source, target)
        return [self.pacers[held.limit.name] for held in found]

    async def stop(self) -> None:
        """End the tasks of all pacers."""
        for pacer in self.pacers.values():
            await pacer.stop()

    def dump(self) -> dict[str, typing.Any]:
        """Return the last route of each service for a state dump."""
        return {
            service: {
                'region': route.region,
                'reason': route.reason.value,
                'passed_over': {
                    region: reason.value
                    for region, reason in route.passed_over
                },
            }
            for service, route in self.last_routes.items()
        }
