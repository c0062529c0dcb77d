"""Run edge processes and callers while faults are injected."""

import asyncio
import collections
import pathlib
import random
import signal
import time

import attrs

from bulrushcourse_testkit import ports
from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import soak_faults
from bulrushcourse_testkit.platform import soak_vms
from bulrushcourse_testkit.platform import upstream as upstream_standin
from bulrushcourse_testkit.standins import fault_proxy

Fault = upstream_standin.Fault

FAILURE_DOMAINS = ('a1', 'a2', 'b1')
# Required by the users: time to recovery after all faults have ended.
RECOVERY_S = 15.0
CALLERS = 6
REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
KEPT_VERSIONS = 3
EDGE_PROGRAM = 'bulrushcourse_testkit.platform.soak_edge'


# asyncio.run formats the result of its task, which takes minutes for all
# requests of a run.
@attrs.define(eq=False, repr=False)
class Soak:
    """A run with one seed.

    Attributes:
        seed: Seed of all random choices.
        rng: Source of randomness.
        cluster: Store, upstreams and settings.
        fault_set: Faults to choose from.
        vms: VMs with their edge processes.
        replies: Path and reply of each request.
        findings: Descriptions of violated guarantees.
        injector: Injects the faults.
        version: Version of the newest configuration.
        missing: What the recovery waited for last.
        newest_seen: Newest configuration version served by each incarnation
            of a VM.
        started: Monotonic time at which the run started, in seconds.
    """

    seed: int
    rng: random.Random
    cluster: clusters.EdgeCluster
    fault_set: soak_faults.FaultSet
    vms: list[soak_vms.SoakVm] = attrs.field(factory=list)
    replies: list[tuple[str, clusters.Reply]] = attrs.field(factory=list)
    findings: list[str] = attrs.field(factory=list)
    injector: soak_faults.FaultInjector = attrs.field(init=False)
    version: int = 1
    missing: str = ''
    newest_seen: dict[tuple[str, int], int] = attrs.field(factory=dict)
    started: float = attrs.field(factory=time.monotonic)

    def __attrs_post_init__(self) -> None:
        """Create the fault injector with the same source of randomness."""
        self.injector = soak_faults.FaultInjector(
            self.rng,
            self.cluster,
            self.vms,
            self._publish_version,
            self.started,
            self.fault_set,
        )

    async def _publish_version(self) -> None:
        self.version += 1
        self._configure()

    @classmethod
    def bounds(cls) -> dict[str, str]:
        """Return bounds in the settings that override the defaults."""
        return {}

    def notes(self) -> list[str]:
        """Return what helps to trace findings."""
        return []

    def figures(self) -> list[str]:
        """Return further figures of the run."""
        return []

    @property
    def statuses(self) -> list[int]:
        """Statuses that the callers got."""
        return [reply.status for _, reply in self.replies]

    async def run(self, folder: pathlib.Path) -> None:
        """Start the cluster, inject faults, and check the guarantees.

        Args:
            folder: Directory of the settings and log files.
        """
        async with self.cluster:
            reserved = ports.reserve_ports(len(self.cluster.vms))
            try:
                await self._start(folder, reserved.ports)
                callers = self._start_callers()
                await self.injector.inject()
                await self._end_faults()
                await self._wait_for_recovery()
                for caller in callers:
                    caller.cancel()
                await asyncio.gather(*callers, return_exceptions=True)
                await asyncio.sleep(1.0)
                self._check()
            finally:
                for vm in self.vms:
                    await vm.kill()
                reserved.close()

    async def _start(
        self, folder: pathlib.Path, proxy_ports: list[int]
    ) -> None:
        cluster = self.cluster
        await self._start_upstreams()
        for vm, port in zip(cluster.vms, proxy_ports, strict=True):
            link = fault_proxy.Link(vm.name, port, cluster.store.address)
            await link.start()
            address = f'127.0.0.1:{port}'
            vm.document['platform']['platform']['address'] = address
            self.vms.append(
                soak_vms.SoakVm(vm, folder, link, program=EDGE_PROGRAM)
            )
            await self.vms[-1].start()
        await cluster.wait_until(cluster.all_ready)

    async def _start_upstreams(self) -> None:
        self._configure()
        for number in range(6):
            await self.cluster.add_upstream(
                f'u{number}',
                failure_domain=self.rng.choice(list(clusters.REGIONS)),
                work_s=self.rng.uniform(0.005, 0.08),
            )

    def _start_callers(self) -> list[asyncio.Task[None]]:
        return [
            asyncio.create_task(self._run_caller()) for _ in range(CALLERS)
        ]

    def _configure(self) -> None:
        oldest = max(1, self.version - KEPT_VERSIONS)
        version_routes = [
            documents.rule(f'/v{number}/')
            for number in range(oldest, self.version + 1)
        ]
        self.cluster.configure(
            self.version, *documents.DEFAULT_RULES, *version_routes
        )

    async def _run_caller(self) -> None:
        while True:
            vm = self.rng.randrange(len(self.vms))
            prefix = self.rng.choice(('/browse/', '/order/', '/order/', '/v'))
            version = self.version
            path = f'{prefix}{self.rng.randrange(50)}'
            if prefix == '/v':
                path = f'/v{version}/x'
            body = b'tabs' if prefix == '/order/' else b''
            incarnation = self.vms[vm].incarnation
            reply = await self.cluster.send(path, vm=vm, body=body)
            self.replies.append((path, reply))
            if incarnation == self.vms[vm].incarnation:
                self._check_version(vm, incarnation, version, prefix, reply)
            await asyncio.sleep(self.rng.uniform(0.0, 0.03))

    def _check_version(
        self,
        vm: int,
        incarnation: int,
        version: int,
        prefix: str,
        reply: clusters.Reply,
    ) -> None:
        name = self.vms[vm].vm.name
        if prefix != '/v':
            if reply.status == 404:
                self.findings.append(
                    f'{name} returned 404 for an existing route'
                )
            return
        newest = self.newest_seen.get((name, incarnation), 0)
        if reply.status == 404:
            if version <= newest:
                self.findings.append(f'{name} reverted from version {newest}')
        elif reply.status == 200:
            self.newest_seen[name, incarnation] = max(newest, version)

    async def _end_faults(self) -> None:
        self.cluster.store.down = self.cluster.store.silent = False
        for upstream in self.cluster.upstreams.values():
            upstream.fault = Fault.NONE
        for vm in self.vms:
            vm.link.set_faults(fault_proxy.LinkFaults())
            vm.send_signal(signal.SIGCONT)
            await vm.start()

    async def _wait_for_recovery(self) -> None:
        try:
            await self.cluster.wait_until(self._has_recovered, RECOVERY_S)
        except TimeoutError:
            self.findings.append(
                f'not recovered {RECOVERY_S} s after the last fault:'
                f' {self.missing}'
            )

    async def _has_recovered(self) -> bool:
        for vm in self.vms:
            await vm.start()
        if not await self.cluster.all_ready():
            return False
        replies = [
            await self.cluster.send(f'/v{self.version}/x', vm=number)
            for number in range(len(self.vms))
        ]
        return all(reply.status == 200 for reply in replies)

    def _check(self) -> None:
        runs: collections.Counter[str] = collections.Counter()
        for upstream in self.cluster.upstreams.values():
            runs.update(a.request_id for a in upstream.ran)
        for path, reply in self.replies:
            run_count = runs[reply.request_id]
            if path.startswith('/order/') and run_count > 1:
                self.findings.append(
                    f'{reply.request_id} ran {run_count} times'
                )
            if path.startswith('/order/') and reply.status in REFUSAL_STATUSES:
                if run_count:
                    self.findings.append(
                        f'{reply.request_id} was refused but ran'
                    )
            if reply.status == 200 and not reply.is_own_answer:
                self.findings.append(
                    f'{reply.request_id} got a wrong response: {reply.body!r}'
                )
