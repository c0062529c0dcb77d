"""Inject the faults of the soak."""

import asyncio
import random
import signal
import time
import typing

import attrs

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import soak_fault_sets
from bulrushcourse_testkit.platform import soak_history
from bulrushcourse_testkit.platform import soak_vms
from bulrushcourse_testkit.platform import upstream as upstream_standin
from bulrushcourse_testkit.standins import fault_proxy

Fault = upstream_standin.Fault

FaultSet = soak_fault_sets.FaultSet
FAULT_SETS = soak_fault_sets.FAULT_SETS
LATEST = soak_fault_sets.LATEST
STOPS = soak_fault_sets.STOPS
DRILLS = soak_fault_sets.DRILLS
LINK_FAULTS = (
    fault_proxy.LinkFaults(cut=True),
    fault_proxy.LinkFaults(stalled=True),
    fault_proxy.LinkFaults(delay_ms=300.0),
    fault_proxy.LinkFaults(drop_answers=True),
)


@attrs.define(eq=False)
class FaultInjector:
    """Injects random faults and ends each after a random time.

    Attributes:
        rng: Source of randomness.
        cluster: Store, upstreams and settings.
        vms: VMs with their edge processes.
        publish_version: Writes a new configuration to the store.
        started: Monotonic time at which the run started, in seconds.
        fault_set: What it chooses from.
        history: Where it records the disruptions.
        injected: Injected faults, each with its time in the run.
    """

    rng: random.Random
    cluster: clusters.EdgeCluster
    vms: list[soak_vms.SoakVm]
    publish_version: typing.Callable[[], typing.Awaitable[None]]
    started: float
    fault_set: FaultSet = FAULT_SETS[LATEST]
    history: soak_history.History = attrs.field(factory=soak_history.History)
    injected: list[str] = attrs.field(factory=list)

    async def inject(self) -> None:
        """Inject overlapping faults and wait until all have ended."""
        fault_set = self.fault_set
        actions = fault_set.actions
        if fault_set.calm_actions:
            actions = self.rng.choice((actions, fault_set.calm_actions))
        end = time.monotonic() + fault_set.injection_s
        pending: set[asyncio.Task[None]] = set()
        while time.monotonic() < end:
            action = getattr(self, self.rng.choice(actions))
            at = time.monotonic() - self.started
            self.injected.append(f'{at:.2f} {action.__name__.strip("_")}')
            task = asyncio.create_task(action())
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(
                self.rng.uniform(0.05, fault_set.max_interval_s)
            )
        await asyncio.gather(*pending)

    def _any_vm(self) -> soak_vms.SoakVm:
        return self.rng.choice(self.vms)

    async def _kill(self) -> None:
        vm = self._any_vm()
        with self.history.disruption(vm.vm.name):
            await vm.kill()
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))
            await vm.start()

    async def _pause(self) -> None:
        vm = self._any_vm()
        await self._stop_vm(vm, self.rng.uniform(0.2, 3.0))

    async def _stop_vm(self, vm: soak_vms.SoakVm, duration_s: float) -> None:
        with self.history.disruption(vm.vm.name):
            vm.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            vm.send_signal(signal.SIGCONT)

    async def _terminate(self) -> None:
        vm = self._any_vm()
        with self.history.disruption(vm.vm.name):
            vm.send_signal(signal.SIGTERM)
            await asyncio.sleep(self.rng.uniform(0.0, 4.0))
            await vm.kill()
            await vm.start()

    async def _store_fault(self) -> None:
        field = self.rng.choice(('down', 'silent'))
        await self._stop_store(field, self.rng.uniform(0.2, 2.5))

    async def _stop_store(self, field: str, duration_s: float) -> None:
        with self.history.outage():
            setattr(self.cluster.store, field, True)
            await asyncio.sleep(duration_s)
            setattr(self.cluster.store, field, False)

    async def _link_fault(self) -> None:
        vm = self._any_vm()
        faults = self.rng.choice(LINK_FAULTS)
        await self._disturb_link(vm, faults, self.rng.uniform(0.2, 2.0))

    async def _disturb_link(
        self,
        vm: soak_vms.SoakVm,
        faults: fault_proxy.LinkFaults,
        duration_s: float,
    ) -> None:
        with self.history.disruption(vm.vm.name):
            vm.link.set_faults(faults)
            await asyncio.sleep(duration_s)
            vm.link.set_faults(fault_proxy.LinkFaults())

    async def _upstream_fault(self) -> None:
        upstreams = list(self.cluster.upstreams.values())
        faulty = self.rng.sample(upstreams, self.rng.randint(1, 4))
        fault = self.rng.choice(self.fault_set.upstream_faults)
        for upstream in faulty:
            upstream.fault = fault
        await asyncio.sleep(self.rng.uniform(0.5, 2.5))
        for upstream in faulty:
            upstream.fault = Fault.NONE

    async def _restart_upstream(self) -> None:
        upstream = self.rng.choice(list(self.cluster.upstreams.values()))
        upstream.state = 'draining'
        self.cluster.write_upstream(upstream)
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        self.cluster.store.remove('servers', upstream.name)
        upstream.state, upstream.incarnation = (
            'ready',
            upstream.incarnation + 1,
        )
        self.cluster.write_upstream(upstream)

    async def _send_sighup(self) -> None:
        self._any_vm().send_signal(signal.SIGHUP)

    async def _publish(self) -> None:
        await self.publish_version()

    async def _silence(self) -> None:
        """Silence the open connections of all VMs to the store."""
        with self.history.disruption():
            for vm in self.vms:
                vm.link.silence_open()
