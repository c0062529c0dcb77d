"""Run the soak while the platform's store comes back from copies."""

import random

import attrs

from bulrushcourse_testkit.platform import soak_drill_checks
from bulrushcourse_testkit.platform import soak_drill_faults
from bulrushcourse_testkit.platform import soak_drill_history
from bulrushcourse_testkit.platform import soak_drill_standins
from bulrushcourse_testkit.platform import soak_observations
from bulrushcourse_testkit.platform import soak_stop_callers
from bulrushcourse_testkit.platform import soak_stop_checks
from bulrushcourse_testkit.platform import soak_stop_run


@attrs.define(eq=False, repr=False)
class DrillSoak(soak_stop_run.StopSoak):
    """A run in which the store loses what it has acknowledged.

    Attributes:
        history: Configurations, evacuations and disruptions, and what the
            store lost.
    """

    history: soak_drill_history.DrillHistory = attrs.field(
        init=False, factory=soak_drill_history.DrillHistory
    )

    def __attrs_post_init__(self) -> None:
        """Create operator, fleet, callers and fault injector."""
        super().__attrs_post_init__()
        # With a source for each part, its choices don't depend on how often
        # the others choose meanwhile.
        operator, fleet, callers, injector, drills = (
            random.Random(self.rng.random()) for _ in range(5)
        )
        self.operator = soak_drill_standins.DrillOperator(
            operator, self.cluster, history=self.history
        )
        self.fleet = soak_drill_standins.DrillFleet(
            fleet, self.cluster, history=self.history
        )
        self.callers = soak_stop_callers.StopCallerGroup(
            callers, self.vms, self.operator
        )
        self.injector = soak_drill_faults.DrillInjector(
            injector,
            self.cluster,
            self.vms,
            self.operator.publish,
            self.started,
            self.fault_set,
            history=self.history,
            fleet=self.fleet,
            operator=self.operator,
            callers=self.callers,
            drill_rng=drills,
        )

    @classmethod
    def checks(cls) -> tuple[soak_observations.Check, ...]:
        """Return the checks of the run."""
        others = tuple(
            check
            for check in super().checks()
            if check is not soak_stop_checks.loss_violations
        )
        return (
            *others,
            soak_drill_checks.drain_violations,
            soak_drill_checks.loss_violations,
        )

    def figures(self) -> list[str]:
        """Return the figures of the stops and the number of returns."""
        history = self.history
        in_touch = sum(
            history.in_touch(request.vm, request.sent_at, request.ended_at)
            for request in self.callers.sent
        )
        return [
            *super().figures(),
            f'  {len(history.returns)} returns from a copy,'
            f' {len(history.lost_versions)} versions lost,'
            f' {len(history.leaves)} leaves acknowledged,'
            f' {in_touch} requests at VMs in touch',
        ]

    def notes(self) -> list[str]:
        """Return the history of the run."""
        return [
            *super().notes(),
            *self.history.returns,
            *map(str, self.history.leaves),
            *map(str, self.history.lost_versions),
        ]
