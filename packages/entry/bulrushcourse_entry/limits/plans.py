"""Task that steps shift plans by measurements of the receiving regions."""

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

STEP_INTERVAL_S = 1.0
# Weight of one request in the moving mean of a region's service time.
TYPICAL_TIME_WEIGHT = 0.02
MIN_TYPICAL_TIME_S = 0.001
FAILURE_OUTCOMES = frozenset(
    (
        requests.ReleaseOutcome.LOST,
        requests.ReleaseOutcome.SHED,
        requests.ReleaseOutcome.UNREACHABLE,
    )
)


class PoolLoads(typing.Protocol):
    """Provides the loads of pools."""

    def loads(self, service: str) -> dict[str, router.RegionLoad]:
        """Return the load of a service's pools by region."""
        ...


@attrs.define
class ServiceTimes:
    """Service times of a service in a region, as this entry measured them.

    Attributes:
        succeeded: Requests that succeeded since the last step.
        failed: Requests that failed since the last step.
        total_s: Sum of the service times of the succeeded requests.
        typical_s: Exponential moving mean of the service time.
        min_s: Shortest service time; a far region adds its network delay.
    """

    succeeded: int = 0
    failed: int = 0
    total_s: float = 0.0
    typical_s: float = 0.0
    min_s: float = float('inf')

    def add(self, outcome: requests.ReleaseOutcome, time_s: float) -> None:
        """Add a finished request.

        Args:
            outcome: How its work ended.
            time_s: How long the work took, in seconds.
        """
        if outcome in FAILURE_OUTCOMES:
            self.failed += 1
        if outcome is not requests.ReleaseOutcome.DONE:
            return
        self.succeeded += 1
        self.total_s += time_s
        self.min_s = min(self.min_s, time_s)
        weight = TYPICAL_TIME_WEIGHT if self.typical_s else 1.0
        self.typical_s += weight * (time_s - self.typical_s)


@attrs.define(eq=False)
class PlanRunner:
    """Steps the shift plans of the active configuration.

    Attributes:
        region: Region of this entry.
        clock: Source of time.
        loads: Loads of pools.
        plans: Plans by name.
        configuration: The active configuration.
        times: Service times by service and region.
        capped_regions: Regions whose shift cap was reached since the last
            step.
        request_counts: Number of requests since the last step, by service.
    """

    region: str
    clock: clocks.Clock
    loads: PoolLoads
    plans: dict[str, shift_plan.ShiftPlan] = attrs.field(factory=dict)
    configuration: configuration_set.ConfigurationSet | None = None
    times: dict[tuple[str, str], ServiceTimes] = attrs.field(factory=dict)
    capped_regions: set[str] = attrs.field(factory=set)
    request_counts: dict[str, int] = attrs.field(factory=dict)

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Apply the plans of a configuration; unchanged plans continue.

        Args:
            configuration: The active configuration.
        """
        self.configuration = configuration
        active = {}
        for plan in configuration.objects.plans:
            shift = self.plans.get(plan.name)
            if shift is None or shift.plan != plan:
                shift = shift_plan.ShiftPlan(plan)
            active[plan.name] = shift
        self.plans = active

    def choose_target(
        self, service: str, sample: float
    ) -> tuple[str, frozenset[str]]:
        """Return the region a plan moves a request to, and drained regions.

        Args:
            service: Name of the request's service.
            sample: Random number from 0 to 1.

        Returns:
            The region, empty if no plan moves the request, and the regions to
            avoid because a plan drains them.
        """
        self.request_counts[service] = self.request_counts.get(service, 0) + 1
        planned = ''
        drained = set()
        for shift in self.plans.values():
            plan = shift.plan
            if (
                plan.service not in ('', service)
                or sample >= shift.moved_share
            ):
                continue
            if plan.kind is objects.PlanKind.DRAIN:
                drained.add(plan.source)
            elif plan.source == self.region:
                planned = plan.target
        return planned, frozenset(drained)

    def record_cap_reached(self, target: str) -> None:
        """Record that a shift cap left no room for a request.

        Args:
            target: Region that the request would have entered.
        """
        self.capped_regions.add(target)

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
        self.times.setdefault((service, region), ServiceTimes()).add(
            outcome, time_s
        )

    async def run(self) -> None:
        """Step all plans until cancelled."""
        while True:
            await asyncio.sleep(STEP_INTERVAL_S)
            self.step()

    def step(self) -> None:
        """Step all plans once."""
        now = self.clock.wall()
        for shift in self.plans.values():
            before = shift.state
            shift.step(now, self.measurements(shift.plan))
            if shift.state is not before:
                events.emit(
                    events.Event.PLAN_CHANGED,
                    plan=shift.plan.name,
                    state=shift.state.value,
                    report=shift.report,
                )
        for times in self.times.values():
            times.succeeded, times.failed, times.total_s = 0, 0, 0.0
        self.capped_regions.clear()
        self.request_counts.clear()

    def measurements(self, plan: objects.Plan) -> shift_plan.RampMeasurements:
        """Return the state of a plan's receiving regions since the last step.

        Args:
            plan: The plan.
        """
        services = (
            [plan.service] if plan.service else list(self.request_counts)
        )
        targets = (
            {plan.target} if plan.target else self._other_regions(plan.source)
        )
        observed = [
            self.times[service, region]
            for service in services
            for region in targets
            if (service, region) in self.times
        ]
        ratios = [
            r for s in services for r in self._time_ratios(s, plan, targets)
        ]
        loads = [self.loads.loads(service) for service in services]
        finished = sum(times.succeeded + times.failed for times in observed)
        return shift_plan.RampMeasurements(
            max(ratios, default=None),
            sum(times.failed for times in observed) / max(1, finished),
            min((self._headroom(load, targets) for load in loads), default=1),
            bool(self.capped_regions & targets),
            sum(
                load[plan.source].in_flight
                for load in loads
                if plan.source in load
            ),
            sum(self.request_counts.get(service, 0) for service in services),
        )

    def _other_regions(self, source: str) -> set[str]:
        return set(self.configuration.regions.values()) - {source}

    def _headroom(
        self, loads: dict[str, router.RegionLoad], targets: set[str]
    ) -> float:
        return max(
            (loads[t].headroom for t in targets if t in loads), default=0.0
        )

    def _time_ratios(
        self, service: str, plan: objects.Plan, targets: set[str]
    ) -> typing.Iterator[float]:
        """Yield each target's mean service time relative to the source.

        The network delay is subtracted from the mean, and the result divided
        by the source's typical time. The difference of the shortest times
        estimates the delay.
        """
        source_times = self.times.get((service, plan.source), ServiceTimes())
        for target in targets:
            times = self.times.get((service, target))
            if times is None or not times.succeeded:
                continue
            delay_s = max(0.0, times.min_s - source_times.min_s)
            mean_s = times.total_s / times.succeeded - delay_s
            typical_s = source_times.typical_s or times.typical_s
            yield mean_s / max(typical_s, MIN_TYPICAL_TIME_S)

    def dump(self) -> dict[str, typing.Any]:
        """Return the progress of the plans for a state dump."""
        return {
            name: {
                'state': shift.state.value,
                'part': shift.moved_share,
                'report': shift.report,
            }
            for name, shift in self.plans.items()
        }
