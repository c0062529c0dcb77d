"""Selection of a request's region within limits and shift plans."""

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
from bulrushcourse_entry.limits import limit_manager as limit_managers
from bulrushcourse_entry.limits import local_limit as local_limits
from bulrushcourse_entry.limits import pacer as link_pacers
from bulrushcourse_entry.limits import plans as plan_runner

SHARE_CHECK_INTERVAL_S = 0.25
# A request waits at most this long for a shift limit before it is rerouted.
MAX_ADMISSION_WAIT_S = 1.0


class PoolLoads(typing.Protocol):
    """Provides the loads of pools."""

    def loads(self, service: str) -> dict[str, router.RegionLoad]:
        """Return the load of a service's pools by region."""
        ...


@attrs.define(eq=False)
class RegionSelector:
    """Chooses regions and charges traffic between regions to limits.

    Attributes:
        region: Region of this entry.
        clock: Source of time.
        rng: Samples the requests that a plan moves.
        limit_manager: Limits with this entry's shares.
        loads: Loads of pools.
        plans: Active shift plans.
        configuration: The active configuration.
        pacers: Link pacers by limit name.
        last_decisions: Last decision by service, for ``explain``.
        failures: Failures observed by this entry, by service and region.
    """

    region: str
    clock: clocks.Clock
    rng: random.Random
    limit_manager: limit_managers.LimitManager
    loads: PoolLoads
    plans: plan_runner.PlanRunner
    configuration: configuration_set.ConfigurationSet | None = None
    pacers: dict[str, link_pacers.LinkPacer] = attrs.field(factory=dict)
    last_decisions: dict[str, router.RoutingDecision] = attrs.field(
        factory=dict
    )
    failures: dict[tuple[str, str], region_failures.RegionFailures] = (
        attrs.field(factory=dict)
    )

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Apply a configuration and create pacers for its link limits.

        Args:
            configuration: The active configuration.
        """
        self.configuration = configuration
        long_priority = max(
            (c.priority for c in configuration.objects.request_classes),
            default=0,
        )
        for name, local_limit in self.limit_manager.limits.items():
            if local_limit.limit.kind is not objects.LimitKind.LINK:
                continue
            if name not in self.pacers:
                self.pacers[name] = link_pacers.build_pacer(
                    self.clock,
                    local_limit,
                    long_priority,
                    self.limit_manager.request_renewal,
                )
            self.pacers[name].queue.long_priority = long_priority

    def choose(self, service: str, request_class: str) -> str | None:
        """Return the region to request a slot in, ``None`` to shed.

        Args:
            service: Name of the service.
            request_class: Name of the request's class.
        """
        configuration = self.configuration
        if configuration is None:
            return None
        classes = configuration.request_classes
        planned, drained = self.plans.choose_target(service, self.rng.random())
        request = router.RoutingRequest(
            self.region,
            classes[request_class].priority,
            max(c.priority for c in classes.values()) + 1,
            planned,
            drained,
        )
        decision = router.Router(self, self.nearest_regions).route(
            request, self._admitted_loads(service)
        )
        self.last_decisions[service] = decision
        return decision.region

    def record_outcome(
        self,
        service: str,
        region: str,
        outcome: requests.ReleaseOutcome,
        time_s: float,
    ) -> None:
        """Record the outcome of a request.

        Args:
            service: Name of its service.
            region: Region of its instance.
            outcome: How its work ended.
            time_s: How long the work took, in seconds.
        """
        self._failures_in(service, region).record_outcome(outcome)
        self.plans.record_outcome(service, region, outcome, time_s)

    def _failures_in(
        self, service: str, region: str
    ) -> region_failures.RegionFailures:
        return self.failures.setdefault(
            (service, region), region_failures.RegionFailures(self.clock)
        )

    def _admitted_loads(self, service: str) -> dict[str, router.RegionLoad]:
        return {
            region: load
            if self._failures_in(service, region).admits()
            else attrs.evolve(load, healthy=0)
            for region, load in self.loads.loads(service).items()
        }

    @property
    def nearest_regions(self) -> tuple[str, ...]:
        """Other regions, nearest first."""
        configured_order = self.configuration.nearest_regions.get(
            self.region, ()
        )
        others = sorted(set(self.configuration.regions.values()))
        return configured_order + tuple(
            r for r in others if r != self.region and r not in configured_order
        )

    def blocked_by(self, source: str, target: str) -> router.Reason | None:
        """Return which kind of cap is exhausted, ``None`` if there is room.

        The cap of a region itself is enforced by the owners of its pools.

        Args:
            source: Region of this entry.
            target: Candidate region.
        """
        if source == target:
            return None
        for local_limit in self._shift_limits(source, target):
            if local_limit.window.wait_s(1, local_limit.shares.usable) > 0:
                local_limit.record_use(True)
                self.plans.record_cap_reached(target)
                self.limit_manager.request_renewal()
                return router.Reason.SHIFT_CAP
        pacers = self._link_pacers(source, target) + self._link_pacers(
            target, source
        )
        if any(pacer.is_blocked for pacer in pacers):
            for pacer in pacers:
                pacer.limit.record_use(True)
            self.limit_manager.request_renewal()
            return router.Reason.LINK_CAP
        return None

    async def admit(
        self, target: str, priority: int, deadline: float
    ) -> tuple[bool, link_pacers.PacedLink | None]:
        """Charge a request to the shift limits before it is sent.

        Args:
            target: Region of the instance.
            priority: Priority of the request's class.
            deadline: Clock seconds when the request no longer needs sending.

        Returns:
            Whether it may be sent, and the throttle for its bytes if it leaves
            this region.
        """
        if target == self.region:
            return True, None
        until = min(deadline, self.clock.monotonic() + MAX_ADMISSION_WAIT_S)
        for local_limit in self._shift_limits(self.region, target):
            if not await self._charge(local_limit, until):
                return False, None
        return True, link_pacers.PacedLink(
            tuple(self._link_pacers(self.region, target)),
            tuple(self._link_pacers(target, self.region)),
            priority,
        )

    async def _charge(
        self, local_limit: local_limits.LocalLimit, until: float
    ) -> bool:
        while not local_limit.try_charge(1):
            left_s = until - self.clock.monotonic()
            wait_s = local_limit.window.wait_s(1, local_limit.shares.usable)
            self.limit_manager.request_renewal()
            if left_s <= 0:
                return False
            await asyncio.sleep(
                min(wait_s, left_s, SHARE_CHECK_INTERVAL_S)
                + rate_window.ROUNDING_MARGIN_S
            )
        return True

    def _shift_limits(
        self, source: str, target: str
    ) -> list[local_limits.LocalLimit]:
        return self.limit_manager.limits_between(
            objects.LimitKind.SHIFT, source, target
        )

    def _link_pacers(
        self, source: str, target: str
    ) -> list[link_pacers.LinkPacer]:
        found = self.limit_manager.limits_between(
            objects.LimitKind.LINK, source, target
        )
        return [self.pacers[local_limit.limit.name] for local_limit in found]

    async def stop(self) -> None:
        """Stop all pacers."""
        for pacer in self.pacers.values():
            await pacer.stop()

    def dump(self) -> dict[str, typing.Any]:
        """Return the last routing decision per service for a state dump."""
        return {
            service: {
                'region': decision.region,
                'reason': decision.reason.value,
                'passed_over': {
                    region: reason.value
                    for region, reason in decision.passed_over
                },
            }
            for service, decision in self.last_decisions.items()
        }
