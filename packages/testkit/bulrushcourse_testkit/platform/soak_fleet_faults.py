"""Inject the faults of upstreams, configurations and VMs that move traffic."""

import asyncio
import signal

import attrs

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import soak_callers
from bulrushcourse_testkit.platform import soak_faults
from bulrushcourse_testkit.platform import soak_fleet
from bulrushcourse_testkit.platform import soak_history
from bulrushcourse_testkit.platform import soak_operator

Fault = soak_faults.Fault


@attrs.define(eq=False)
class FleetFaultInjector(soak_faults.FaultInjector):
    """Injects faults into a fleet of upstreams that come and go.

    Attributes:
        fleet: The upstreams.
        operator: Writes configurations and evacuations.
        callers: The callers.
    """

    fleet: soak_fleet.UpstreamFleet = attrs.field(kw_only=True)
    operator: soak_operator.Operator = attrs.field(kw_only=True)
    callers: soak_callers.CallerGroup = attrs.field(kw_only=True)

    async def _upstream_fault(self) -> None:
        running = self.fleet.running
        count = min(len(running), self.rng.randint(1, 4))
        faulty = self.rng.sample(running, count)
        fault = self.rng.choice(self.fault_set.upstream_faults)
        for upstream in faulty:
            upstream.fault = fault
        await asyncio.sleep(self.rng.uniform(0.5, 2.5))
        for upstream in faulty:
            upstream.fault = Fault.NONE

    async def _drain_upstream(self) -> None:
        if self.fleet.running:
            upstream = self.rng.choice(self.fleet.running)
            await self.fleet.drain(upstream)
            await self.fleet.replace(upstream)

    async def _reuse_address(self) -> None:
        if self.fleet.running:
            await self._reuse_and_replace(self.rng.choice(self.fleet.running))

    async def _reuse_addresses_of_region(self) -> None:
        region = self.rng.choice(('a', 'b'))
        service = self.rng.choice(soak_fleet.SERVICES)
        chosen = [
            upstream
            for upstream in self.fleet.running
            if upstream.service == service
            and clusters.REGIONS[upstream.failure_domain] == region
        ]
        await asyncio.gather(*map(self._reuse_and_replace, chosen))

    async def _reuse_and_replace(
        self, upstream: soak_fleet.UpstreamStandIn
    ) -> None:
        if len(self.fleet.running) > soak_fleet.MAX_UPSTREAMS:
            return
        await self.fleet.reuse_address(upstream)
        await asyncio.sleep(self.rng.uniform(0.0, 4.0))
        await self.fleet.replace(upstream)

    async def _restart_under_same_name(self) -> None:
        if not self.fleet.running:
            return
        upstream = self.rng.choice(self.fleet.running)
        self.fleet.end(upstream)
        await asyncio.sleep(self.rng.uniform(0.2, 3.0))
        await self.fleet.add(
            upstream.name,
            service=upstream.service,
            failure_domain=upstream.failure_domain,
        )

    async def _change_configuration(self) -> None:
        await self.operator.change()

    async def _evacuate(self) -> None:
        domain = self.rng.choice(list(clusters.REGIONS))
        await self.operator.evacuate(domain, self.rng.uniform(2.0, 9.0))

    async def _long_pause(self) -> None:
        await self._stop_vm(self._any_vm(), self.rng.uniform(2.0, 6.0))

    async def _move_homes_during_pause(self) -> None:
        vm = self._any_vm()
        duration_s = self.rng.uniform(3.0, 6.0)
        pause = asyncio.create_task(self._stop_vm(vm, duration_s))
        await asyncio.sleep(self.rng.uniform(0.1, 0.5))
        await self.operator.move_all_homes()
        # Their requests wait in the VM's sockets until it continues.
        await asyncio.sleep(soak_history.CONFIG_APPLY_S + 0.1)
        await self.callers.send_burst(vm)
        await pause

    async def _move_homes_during_cut(self) -> None:
        vm = self._any_vm()
        faults = self.rng.choice(soak_faults.LINK_FAULTS)
        duration_s = self.rng.uniform(3.0, 6.0)
        cut = asyncio.create_task(self._disturb_link(vm, faults, duration_s))
        await asyncio.sleep(self.rng.uniform(0.1, 0.5))
        await self.operator.move_all_homes()
        await asyncio.sleep(soak_history.CONFIG_APPLY_S + 0.1)
        await self.callers.send_burst(vm)
        await cut

    async def _long_store_fault(self) -> None:
        field = self.rng.choice(('down', 'silent'))
        await self._stop_store(field, self.rng.uniform(3.0, 7.0))

    async def _long_link_fault(self) -> None:
        faults = self.rng.choice(soak_faults.LINK_FAULTS)
        duration_s = self.rng.uniform(3.0, 8.0)
        await self._disturb_link(self._any_vm(), faults, duration_s)

    async def _restart_in_outage(self) -> None:
        vm = self._any_vm()
        outage = asyncio.create_task(
            self._stop_store('down', self.rng.uniform(2.0, 5.0))
        )
        with self.history.disruption(vm.vm.name):
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))
            await vm.kill()
            await vm.start()
            await outage

    async def _restart_in_turn(self) -> None:
        """Reload, terminate and start one VM after the other."""
        for vm in self.vms:
            vm.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
            with self.history.disruption(vm.vm.name):
                vm.send_signal(signal.SIGTERM)
                await asyncio.sleep(self.rng.uniform(0.5, 3.5))
                await vm.kill()
                await vm.start()
            await asyncio.sleep(0.5)
