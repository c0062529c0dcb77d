"""Inject drills of the store beside stops, releases and faults of VMs."""

import asyncio
import contextlib
import random
import time

import attrs

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import soak_drill_history
from bulrushcourse_testkit.platform import soak_drill_standins
from bulrushcourse_testkit.platform import soak_drills
from bulrushcourse_testkit.platform import soak_fleet
from bulrushcourse_testkit.platform import soak_stop_faults
from bulrushcourse_testkit.platform import soak_vms

# Time after a drill until the next one may begin, in seconds. Rules with a
# time bound hold only once the store has been stable for the contact time.
CALM_S = (6.0, 9.0)
# Time from the first changes to the drill that follows them, and longest time
# between two changes, in seconds.
LEAD_S = (0.0, 3.0)
CHANGES_S = 0.5
EVACUATION_SHARE = 0.5
# Time until the first drill in seconds.
FIRST_DRILL_S = (1.0, 4.0)
# Time for which a failure domain is evacuated, in seconds.
EVACUATION_S = (2.0, 14.0)
# Longest time for which a planned start waits for its VM, in seconds. One that
# takes longer is a finding if it is not ready at the end of the run.
READY_S = 20.0


@attrs.define(eq=False)
class DrillInjector(soak_stop_faults.StopInjector):
    """Injects drills, one at a time, beside the faults of the other sets.

    Attributes:
        history: Where it records the disruptions.
        fleet: The upstreams.
        operator: Writes configurations and evacuations.
        drill_rng: Source of randomness of the drills.
        oldest_copy: Monotonic time of the oldest copy of the store in seconds.
        drill_lock: Held from the start of a drill until the next may begin.
    """

    history: soak_drill_history.DrillHistory = attrs.field(kw_only=True)
    fleet: soak_drill_standins.DrillFleet = attrs.field(kw_only=True)
    operator: soak_drill_standins.DrillOperator = attrs.field(kw_only=True)
    drill_rng: random.Random = attrs.field(kw_only=True)
    oldest_copy: float = attrs.field(init=False, default=0.0)
    drill_lock: asyncio.Lock = attrs.field(init=False, factory=asyncio.Lock)

    async def inject(self) -> None:
        """Inject overlapping faults and wait until all have ended."""
        self.oldest_copy = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(super().inject())
            # A run has a drill whatever else it chooses.
            await asyncio.sleep(self.drill_rng.uniform(*FIRST_DRILL_S))
            await self._drill()

    async def _drill(self) -> None:
        """Change rows, let the store come back from copies, change again."""
        if self.drill_lock.locked():
            return
        async with asyncio.TaskGroup() as tasks, self.drill_lock:
            tasks.create_task(self._change_rows())
            await asyncio.sleep(self.drill_rng.uniform(*LEAD_S))
            drill = soak_drills.StoreDrill(
                self.drill_rng,
                self.cluster,
                self.vms,
                self.history,
                self.operator,
                self.fleet,
                self.oldest_copy,
            )
            await drill.run(soak_drills.choose_drill(self.drill_rng))
            tasks.create_task(self._change_rows())
            await asyncio.sleep(self.drill_rng.uniform(*CALM_S))

    async def _change_rows(self) -> None:
        """Change the configuration and let upstreams leave."""
        work = [self._change_configuration, self._release]
        if self.rng.random() < EVACUATION_SHARE:
            work.append(self._evacuate)
        async with asyncio.TaskGroup() as tasks:
            for action in work:
                await asyncio.sleep(self.rng.uniform(0.0, CHANGES_S))
                tasks.create_task(action())

    async def _evacuate(self) -> None:
        domain = self.rng.choice(list(clusters.REGIONS))
        duration_s = self.rng.uniform(*EVACUATION_S)
        await self.operator.evacuate(domain, duration_s)

    async def _drain_upstream(self) -> None:
        upstream = soak_drill_standins.pick_ready(self.rng, self.fleet)
        if upstream is not None:
            await self.fleet.drain(upstream)
            await self.fleet.replace(upstream)

    async def _release(self) -> None:
        """Start an upstream, then let one of its kind leave."""
        upstream = soak_drill_standins.pick_ready(self.rng, self.fleet)
        if upstream is None or (
            len(self.fleet.running) > soak_fleet.MAX_UPSTREAMS
        ):
            return
        await self.fleet.add(
            service=upstream.service, failure_domain=upstream.failure_domain
        )
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        leave = self.rng.choice((self.fleet.drain, self.fleet.withdraw))
        await leave(upstream)

    def _running(self) -> list[soak_vms.SoakVm]:
        # A process that was just started has no handler of SIGHUP yet.
        return [
            vm for vm in super()._running() if self.history.is_calm(vm.vm.name)
        ]

    async def _wait_until_ready(self, vm: soak_vms.SoakVm) -> None:
        with contextlib.suppress(TimeoutError):
            await self.cluster.wait_until(lambda: self._is_ready(vm), READY_S)
