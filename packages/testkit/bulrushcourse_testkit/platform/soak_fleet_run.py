"""Run the soak with upstreams, homes and routes that come and go."""

import asyncio
import pathlib
import time

import attrs

from bulrushcourse_testkit.platform import soak_callers
from bulrushcourse_testkit.platform import soak_checks
from bulrushcourse_testkit.platform import soak_fleet
from bulrushcourse_testkit.platform import soak_fleet_faults
from bulrushcourse_testkit.platform import soak_history
from bulrushcourse_testkit.platform import soak_observations
from bulrushcourse_testkit.platform import soak_operator
from bulrushcourse_testkit.platform import soak_run
from bulrushcourse_testkit.platform import soak_run_checks
from bulrushcourse_testkit.platform import soak_stop_checks

CALLERS_PER_VM = 4
LAG_INTERVAL_S = 0.05
# As in the users' deployments, where they differ from the defaults.
BOUNDS = {
    'contact': '3s',
    'drain': '2s',
    'config_apply': '2s',
    'evacuate': '5s',
    'addr_reuse': '2s',
    'max_skew': '5s',
}
CHECKS = (
    soak_checks.home_violations,
    soak_checks.denial_violations,
    soak_checks.route_violations,
    soak_checks.evacuation_violations,
    soak_run_checks.run_violations,
    soak_run_checks.refusal_violations,
    soak_run_checks.answer_violations,
    soak_run_checks.reversion_violations,
    soak_stop_checks.loss_violations,
)


@attrs.define(eq=False, repr=False)
class FleetSoak(soak_run.Soak):
    """A run in which upstreams, homes and routes come and go.

    Attributes:
        history: Configurations, evacuations and disruptions.
        operator: Writes configurations and evacuations.
        fleet: The upstreams.
        callers: The callers.
        max_lag_s: Largest delay of this process's event loop in seconds.
            Times in the findings are exact up to this delay.
    """

    history: soak_history.History = attrs.field(
        init=False, factory=soak_history.History
    )
    operator: soak_operator.Operator = attrs.field(init=False)
    fleet: soak_fleet.UpstreamFleet = attrs.field(init=False)
    callers: soak_callers.CallerGroup = attrs.field(init=False)
    max_lag_s: float = attrs.field(init=False, default=0.0)

    def __attrs_post_init__(self) -> None:
        """Create operator, fleet and fault injector."""
        self.operator = soak_operator.Operator(
            self.rng, self.cluster, self.history
        )
        self.fleet = soak_fleet.UpstreamFleet(self.rng, self.cluster)
        self.callers = soak_callers.CallerGroup(
            self.rng, self.vms, self.operator
        )
        self.injector = soak_fleet_faults.FleetFaultInjector(
            self.rng,
            self.cluster,
            self.vms,
            self.operator.publish,
            self.started,
            self.fault_set,
            self.history,
            fleet=self.fleet,
            operator=self.operator,
            callers=self.callers,
        )

    @classmethod
    def callers_per_vm(cls) -> int:
        """Return the number of callers for each VM."""
        return CALLERS_PER_VM

    @classmethod
    def bounds(cls) -> dict[str, str]:
        """Return the bounds of the users' deployments."""
        return BOUNDS

    @classmethod
    def checks(cls) -> tuple[soak_observations.Check, ...]:
        """Return the checks of the run."""
        return CHECKS

    @property
    def statuses(self) -> list[int]:
        """Statuses that the callers got."""
        return [request.status for request in self.callers.sent]

    def notes(self) -> list[str]:
        """Return the history of the run."""
        return [
            f'max lag {self.max_lag_s:.3f} s',
            *map(str, self.history.versions),
            *map(str, self.history.evacuations),
            *map(str, self.history.disruptions),
            *map(str, self.history.outages),
            *(
                f'{upstream.name} {upstream.service}'
                f' {upstream.failure_domain} {upstream.address}'
                f' born {upstream.incarnation}'
                for upstream in self.fleet.started
            ),
            f'unix - monotonic = {time.time() - time.monotonic():.3f}',
        ]

    async def run(self, folder: pathlib.Path) -> None:
        """Start the cluster, inject faults, and check the guarantees.

        Args:
            folder: Directory of the settings and log files.
        """
        self.fleet.run_in_background(self._measure_lag())
        try:
            await super().run(folder)
        finally:
            await self.fleet.stop()

    async def _start_upstreams(self) -> None:
        await self.operator.publish()
        await self.fleet.start()
        for vm in self.cluster.vms:
            vm.document['platform']['heartbeat'] = (
                f'{self.fleet.heartbeat_s * 1000:g}ms'
            )

    def _start_callers(self) -> list[asyncio.Task[None]]:
        # The first start of the VMs is a disruption too.
        with self.history.disruption():
            pass
        return self.callers.start(self.callers_per_vm() * len(self.vms))

    async def _end_faults(self) -> None:
        await super()._end_faults()
        await self.fleet.fill()

    async def _has_recovered(self) -> bool:
        for vm in self.vms:
            await vm.start()
        self.missing = 'VMs that are ready and list each other'
        if not await self.cluster.all_ready():
            return False
        prefixes = (
            soak_operator.version_prefix(self.operator.version),
            '/browse/',
            '/order/',
            *soak_operator.MOVING_HOMES,
        )
        for number in range(len(self.vms)):
            for prefix in prefixes:
                reply = await self.cluster.send(
                    f'{prefix}x', vm=number, **{'Api-Key': 'key-anywhere'}
                )
                if not reply.is_own_answer:
                    self.missing = f'{prefix} at vm-{number}, {reply.status}'
                    return False
        return True

    def _check(self) -> None:
        observed = soak_observations.Observations(
            self.callers.sent, list(self.fleet.received()), self.history
        )
        found = [
            finding for check in self.checks() for finding in check(observed)
        ]
        found.sort(key=lambda finding: finding.at)
        self.findings.extend(map(str, found))

    async def _measure_lag(self) -> None:
        while True:
            due = time.monotonic() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            now = time.monotonic()
            self.max_lag_s = max(self.max_lag_s, now - due)
            if now - due > LAG_INTERVAL_S:
                self.history.stalls.append(
                    soak_history.Disruption(soak_history.ALL_VMS, due, now)
                )
