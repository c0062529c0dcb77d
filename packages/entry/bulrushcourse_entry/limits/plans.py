"""The task that steps plans by what the receiving side shows."""

import asyncio
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.routing import router
from bulrushcourse_domain.routing import shift_plan
from bulrushcourse_domain.slots import requests
from bulrushcourse_entry import events

STEP_S = 1.0
# Weight of one request in the usual service time of the source region.
USUAL_WEIGHT = 0.02
SMALLEST_TIME_S = 0.001
FAILED = frozenset(
    (
        requests.ReleaseOutcome.LOST,
        requests.ReleaseOutcome.SHED,
        requests.ReleaseOutcome.UNREACHABLE,
    )
)


class PoolLoads(typing.Protocol):
    """Knows the load of pools."""

    def loads(self, service: str) -> dict[str, router.RegionLoad]:
        """Return the load of a service's pools by region."""
        ...


@attrs.define
class Times:
    """Service times of a service in a region, as this entry saw them.

    Attributes:
        ended: Requests that ended since the last step.
        failed: Requests that failed since the last step.
        total_s: Sum of their service times.
        usual_s: Slowly moving mean.
        fastest_s: Shortest time seen; a far region adds its network delay.
    """

    ended: int = 0
    failed: int = 0
    total_s: float = 0.0
    usual_s: float = 0.0
    fastest_s: float = float('inf')

    def add(self, outcome: requests.ReleaseOutcome, time_s: float) -> None:
        """Add a request that ended.

        Args:
            outcome: How its work ended.
            time_s: How long the work took.
        """
        if outcome in FAILED:
            self.failed += 1
        if outcome is not requests.ReleaseOutcome.DONE:
            return
        self.ended += 1
        self.total_s += time_s
        self.fastest_s = min(self.fastest_s, time_s)
        weight = USUAL_WEIGHT if self.usual_s else 1.0
        self.usual_s += weight * (time_s - self.usual_s)


@attrs.define(eq=False)
class PlanRunner:
    """Steps the plans of the configuration in force.

    Attributes:
        region: Region of this entry.
        clock: Source of time.
        loads: Loads of pools.
        plans: Plans by name.
        configuration: Configuration in force.
        times: Service times by service and region.
        capped: Regions whose shift cap turned requests away since the step.
        offered: Requests since the last step by service.
    """

    region: str
    clock: clocks.Clock
    loads: PoolLoads
    plans: dict[str, shift_plan.ShiftPlan] = attrs.field(factory=dict)
    configuration: configuration_set.ConfigurationSet | None = None
    times: dict[tuple[str, str], Times] = attrs.field(factory=dict)
    capped: set[str] = attrs.field(factory=set)
    offered: dict[str, int] = attrs.field(factory=dict)

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Take up the plans of a configuration; unchanged ones go on.

        Args:
            configuration: The configuration that is now in force.
        """
        self.configuration = configuration
        kept = {}
        for plan in configuration.objects.plans:
            held = self.plans.get(plan.name)
            if held is None or held.plan != plan:
                held = shift_plan.ShiftPlan(plan)
            kept[plan.name] = held
        self.plans = kept

    def choose_target(
        self, service: str, drawn: float
    ) -> tuple[str, frozenset[str]]:
        """Return where plans move a request, and regions that they drain.

        Args:
            service: Name of the request's service.
            drawn: Random number from 0 to 1.
        """
        self.offered[service] = self.offered.get(service, 0) + 1
        planned = ''
        drained = set()
        for held in self.plans.values():
            plan = held.plan
            if plan.service not in ('', service) or drawn >= held.moved_share:
                continue
            if plan.kind is objects.PlanKind.DRAIN:
                drained.add(plan.source)
            elif plan.source == self.region:
                planned = plan.target
        return planned, frozenset(drained)

    def record_cap_reached(self, target: str) -> None:
        """Remember that a shift cap turned a request away.

        Args:
            target: Region that the request would have entered.
        """
        self.capped.add(target)

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
        self.times.setdefault((service, region), Times()).add(outcome, time_s)

    async def run(self) -> None:
        """Step all plans until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            self.step()

    def step(self) -> None:
        """Step all plans once."""
        now = self.clock.wall()
        for held in self.plans.values():
            before = held.state
            held.step(now, self.evidence(held.plan))
            if held.state is not before:
                events.emit(
                    events.Event.PLAN_CHANGED,
                    plan=held.plan.name,
                    state=held.state.value,
                    report=held.report,
                )
        for times in self.times.values():
            times.ended, times.failed, times.total_s = 0, 0, 0.0
        self.capped.clear()
        self.offered.clear()

    def evidence(self, plan: objects.Plan) -> shift_plan.Evidence:
        """Return what the receiving side of a plan has shown.

        Args:
            plan: The plan.
        """
        services = [plan.service] if plan.service else list(self.offered)
        targets = {plan.target} if plan.target else self._others(plan.source)
        seen = [
            self.times[service, region]
            for service in services
            for region in targets
            if (service, region) in self.times
        ]
        ratios = [r for s in services for r in self._ratios(s, plan, targets)]
        loads = [self.loads.loads(service) for service in services]
        ended = sum(times.ended + times.failed for times in seen)
        return shift_plan.Evidence(
            max(ratios, default=None),
            sum(times.failed for times in seen) / max(1, ended),
            min((self._headroom(load, targets) for load in loads), default=1),
            bool(self.capped & targets),
            sum(
                load[plan.source].in_flight
                for load in loads
                if plan.source in load
            ),
            sum(self.offered.get(service, 0) for service in services),
        )

    def _others(self, source: str) -> set[str]:
        return set(self.configuration.regions.values()) - {source}

    def _headroom(
        self, loads: dict[str, router.RegionLoad], targets: set[str]
    ) -> float:
        return max(
            (loads[t].headroom for t in targets if t in loads), default=0.0
        )

    def _ratios(
        self, service: str, plan: objects.Plan, targets: set[str]
    ) -> typing.Iterator[float]:
        """Yield service times of the targets by those usual at the source.

        The difference of the fastest times stands for the network delay.
        """
        usual = self.times.get((service, plan.source), Times())
        for target in targets:
            times = self.times.get((service, target))
            if times is None or not times.ended:
                continue
            delay_s = max(0.0, times.fastest_s - usual.fastest_s)
            mean_s = times.total_s / times.ended - delay_s
            usual_s = usual.usual_s or times.usual_s
            yield mean_s / max(usual_s, SMALLEST_TIME_S)

    def dump(self) -> dict[str, typing.Any]:
        """Return how plans stand for a state dump."""
        return {
            name: {
                'state': held.state.value,
                'part': held.moved_share,
                'report': held.report,
            }
            for name, held in self.plans.items()
        }
