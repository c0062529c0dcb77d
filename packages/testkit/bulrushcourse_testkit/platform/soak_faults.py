"""Inject the faults of the soak."""

import asyncio
import random
import signal
import time
import typing

import attrs

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import soak_vms
from bulrushcourse_testkit.platform import upstream as upstream_standin
from bulrushcourse_testkit.standins import fault_proxy

Fault = upstream_standin.Fault

INJECTION_S = 8.0
LINK_FAULTS = (
    fault_proxy.LinkFaults(cut=True),
    fault_proxy.LinkFaults(stalled=True),
    fault_proxy.LinkFaults(delay_ms=300.0),
    fault_proxy.LinkFaults(drop_answers=True),
)


@attrs.frozen
class FaultSet:
    """Faults that a seed chooses from; a change of it changes every run.

    Attributes:
        upstream_faults: Faults of upstreams.
        actions: Names of the injector's methods. Faults of upstreams are
            listed twice, to inject them more often, since most guarantees
            about responses concern failing upstreams.
    """

    upstream_faults: tuple[Fault, ...]
    actions: tuple[str, ...]


_NEW_IN_SECOND = (
    Fault.REFUSAL_COPY,
    Fault.NAMELESS_REFUSAL_COPY,
    Fault.HEAD_CUT,
)
_FIRST_ACTIONS = (
    '_kill',
    '_pause',
    '_terminate',
    '_store_fault',
    '_link_fault',
    '_upstream_fault',
    '_upstream_fault',
    '_restart_upstream',
    '_publish',
    '_send_sighup',
)
# By number. Seeds that ever failed are played with the set that they failed
# with.
FAULT_SETS: typing.Mapping[int, FaultSet] = {
    1: FaultSet(
        tuple(fault for fault in Fault if fault not in _NEW_IN_SECOND),
        _FIRST_ACTIONS,
    ),
    2: FaultSet(tuple(Fault), (*_FIRST_ACTIONS, '_silence')),
}
LATEST = max(FAULT_SETS)


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
        injected: Injected faults, each with its time in the run.
    """

    rng: random.Random
    cluster: clusters.EdgeCluster
    vms: list[soak_vms.SoakVm]
    publish_version: typing.Callable[[], typing.Awaitable[None]]
    started: float
    fault_set: FaultSet = FAULT_SETS[LATEST]
    injected: list[str] = attrs.field(factory=list)

    async def inject(self) -> None:
        """Inject overlapping faults and wait until all have ended."""
        end = time.monotonic() + INJECTION_S
        pending: set[asyncio.Task[None]] = set()
        while time.monotonic() < end:
            action = getattr(self, self.rng.choice(self.fault_set.actions))
            at = time.monotonic() - self.started
            self.injected.append(f'{at:.2f} {action.__name__.strip("_")}')
            task = asyncio.create_task(action())
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(self.rng.uniform(0.05, 0.8))
        await asyncio.gather(*pending)

    def _any_vm(self) -> soak_vms.SoakVm:
        return self.rng.choice(self.vms)

    async def _kill(self) -> None:
        vm = self._any_vm()
        await vm.kill()
        await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        await vm.start()

    async def _pause(self) -> None:
        vm = self._any_vm()
        vm.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 3.0))
        vm.send_signal(signal.SIGCONT)

    async def _terminate(self) -> None:
        vm = self._any_vm()
        vm.send_signal(signal.SIGTERM)
        await asyncio.sleep(self.rng.uniform(0.0, 4.0))
        await vm.kill()
        await vm.start()

    async def _store_fault(self) -> None:
        field = self.rng.choice(('down', 'silent'))
        setattr(self.cluster.store, field, True)
        await asyncio.sleep(self.rng.uniform(0.2, 2.5))
        setattr(self.cluster.store, field, False)

    async def _link_fault(self) -> None:
        vm = self._any_vm()
        faults = self.rng.choice(LINK_FAULTS)
        vm.link.set_faults(faults)
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
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
        for vm in self.vms:
            vm.link.silence_open()
