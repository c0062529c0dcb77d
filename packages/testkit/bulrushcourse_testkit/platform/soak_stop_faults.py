"""Stop slowed VMs as planned, in series and at the same time."""

import asyncio
import contextlib
import signal
import time
import typing

import attrs

from bulrushcourse_testkit.platform import soak_fleet_faults
from bulrushcourse_testkit.platform import soak_history
from bulrushcourse_testkit.platform import soak_stop_callers
from bulrushcourse_testkit.platform import soak_vms

SLOWED_SHARE = 0.9
# Times for which a slowed process is held, in seconds, and runs, as shares of
# these. With less it could not end within the grace time.
HELD_S = (0.02, 0.08)
RUNNING_SHARES = (0.25, 1.0)
# Longest time between two stops of a series in seconds.
SERIES_S = 2.5
# Time before SIGTERM in which late callers open their connections, in seconds.
OPENING_S = 0.6
# Time after SIGTERM in which further planned work begins, in seconds.
FURTHER_WORK_S = 3.5


@attrs.define(eq=False)
class StopInjector(soak_fleet_faults.FleetFaultInjector):
    """Stops VMs as planned beside reloads and configurations.

    Attributes:
        callers: The callers.
    """

    callers: soak_stop_callers.StopCallerGroup = attrs.field(kw_only=True)

    async def _send_sighup(self) -> None:
        # A process that starts has no handler of the signal yet.
        for vm in self._running():
            if self.rng.random() < 0.5:
                vm.send_signal(signal.SIGHUP)

    async def _stop_one(self) -> None:
        await self._restart_slowed(1, 0.0)

    async def _stop_two(self) -> None:
        await self._restart_slowed(2, 0.0)

    async def _stop_in_series(self) -> None:
        await self._restart_slowed(len(self.vms), SERIES_S)

    async def _restart_slowed(self, count: int, interval_s: float) -> None:
        running = self._running()
        chosen = self.rng.sample(running, min(count, len(running)))
        self.callers.leaving.update(vm.vm.name for vm in chosen)
        async with asyncio.TaskGroup() as tasks:
            for vm in chosen:
                tasks.create_task(self._restart(vm))
                await asyncio.sleep(self.rng.uniform(0.0, interval_s))

    def _running(self) -> list[soak_vms.SoakVm]:
        return [
            vm for vm in self.vms if vm.vm.name not in self.callers.leaving
        ]

    async def _restart(self, vm: soak_vms.SoakVm) -> None:
        with self.history.disruption(vm.vm.name, is_planned=True):
            async with self._slowed(vm):
                await self._work_beside_stop(vm)
            await vm.start()
            await self._wait_until_ready(vm)
        self.callers.leaving.discard(vm.vm.name)

    async def _wait_until_ready(self, vm: soak_vms.SoakVm) -> None:
        await self.cluster.wait_until(lambda: self._is_ready(vm))

    async def _is_ready(self, vm: soak_vms.SoakVm) -> bool:
        return await self.cluster.readiness_status(vm.vm) == 200

    @contextlib.asynccontextmanager
    async def _slowed(self, vm: soak_vms.SoakVm) -> typing.AsyncIterator[None]:
        slowing = asyncio.create_task(self._hold_repeatedly(vm))
        if self.rng.random() > SLOWED_SHARE:
            slowing.cancel()
        try:
            yield
        finally:
            slowing.cancel()
            await asyncio.gather(slowing, return_exceptions=True)

    async def _hold_repeatedly(self, vm: soak_vms.SoakVm) -> None:
        held_s = self.rng.uniform(*HELD_S)
        running_s = held_s * self.rng.uniform(*RUNNING_SHARES)
        while True:
            try:
                with self.history.hold(vm.vm.name):
                    vm.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(held_s)
            finally:
                vm.send_signal(signal.SIGCONT)
            await asyncio.sleep(running_s)

    async def _work_beside_stop(self, vm: soak_vms.SoakVm) -> None:
        term_at = time.monotonic() + OPENING_S
        self.fleet.run_in_background(self.callers.send_late(vm, term_at))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._work_beside(vm, OPENING_S, signal.SIGHUP))
            await asyncio.sleep(OPENING_S)
            tasks.create_task(self._stop_planned(vm))
            number = self.rng.choice((signal.SIGHUP, signal.SIGTERM))
            tasks.create_task(self._work_beside(vm, FURTHER_WORK_S, number))

    async def _work_beside(
        self, vm: soak_vms.SoakVm, within_s: float, number: int
    ) -> None:
        """Send a signal, write a configuration, or do nothing."""
        work = self.rng.choice(('signal', 'configuration', 'none'))
        await asyncio.sleep(self.rng.uniform(0.0, within_s))
        if work == 'signal':
            vm.send_signal(number)
        if work == 'configuration':
            await self.operator.change()

    async def _stop_planned(self, vm: soak_vms.SoakVm) -> None:
        """Stop a process as the platform does: SIGTERM, then SIGKILL."""
        term_at = time.monotonic()
        vm.send_signal(signal.SIGTERM)
        was_killed = False
        try:
            async with asyncio.timeout(soak_history.GRACE_S):
                await vm.process.wait()
        except TimeoutError:
            was_killed = True
            await vm.kill()
        self.history.stops.append(
            soak_history.Stop(
                vm.vm.name, term_at, time.monotonic(), was_killed
            )
        )
