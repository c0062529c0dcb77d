"""Randomized faults against real edge processes, with promises checked.

Run ``python -m bulrushcourse_testkit.platform.soak FIRST COUNT [JOBS]``. Each
seed starts edge processes behind loopback proxies, injects faults in series
that overlap, and ends with the time that the fleet needs to serve again.
"""

import asyncio
import collections
import pathlib
import random
import signal
import sys
import tempfile
import time
import typing

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
# The users' bound for serving again after all faults have ended.
RECOVERY_S = 15.0
CALLERS = 6
REFUSALS = frozenset({408, 421, 429, 503})
KEPT_VERSIONS = 3


@attrs.define(eq=False)
class Soak:
    """One seeded run.

    Attributes:
        seed: Seed of all choices.
        rng: Source of randomness.
        cluster: Store, upstreams and settings.
        vms: The edge processes.
        replies: Replies by path prefix.
        findings: Broken promises.
        faults: What was injected.
        version: Newest configuration.
        known: Versions that each incarnation of a VM has shown.
        started: When the run began.
    """

    seed: int
    rng: random.Random
    cluster: clusters.EdgeCluster
    vms: list[soak_vms.SoakVm] = attrs.field(factory=list)
    replies: list[tuple[str, clusters.Reply]] = attrs.field(factory=list)
    findings: list[str] = attrs.field(factory=list)
    faults: soak_faults.FaultInjector = attrs.field(init=False)
    version: int = 1
    known: dict[tuple[str, int], int] = attrs.field(factory=dict)
    started: float = attrs.field(factory=time.monotonic)

    def __attrs_post_init__(self) -> None:
        """Draw the faults from the same source of randomness."""
        self.faults = soak_faults.FaultInjector(
            self.rng, self.cluster, self.vms, self._change, self.started
        )

    async def _change(self) -> None:
        self.version += 1
        self._configure()

    async def run(self, folder: pathlib.Path) -> None:
        """Start everything, inject faults, and check the promises.

        Args:
            folder: Where settings and logs lie.
        """
        async with self.cluster:
            reserved = ports.reserve_ports(len(FAILURE_DOMAINS))
            try:
                await self._start(folder, reserved.ports)
                callers = [
                    asyncio.create_task(self._call()) for _ in range(CALLERS)
                ]
                await self.faults.inject()
                await self._heal()
                await self._recovered()
                for caller in callers:
                    caller.cancel()
                await asyncio.gather(*callers, return_exceptions=True)
                await asyncio.sleep(1.0)
                self._check()
            finally:
                for vm in self.vms:
                    await vm.end()
                reserved.close()

    async def _start(self, folder: pathlib.Path, free: list[int]) -> None:
        cluster = self.cluster
        self._configure()
        for number in range(6):
            await cluster.add_upstream(
                f'u{number}',
                failure_domain=self.rng.choice(list(clusters.REGIONS)),
                work_s=self.rng.uniform(0.005, 0.08),
            )
        for vm, port in zip(cluster.vms, free, strict=True):
            link = fault_proxy.Link(vm.name, port, cluster.store.address)
            await link.start()
            address = f'127.0.0.1:{port}'
            vm.document['platform']['platform']['address'] = address
            self.vms.append(soak_vms.SoakVm(vm, folder, link))
            await self.vms[-1].start()
        await cluster.until(cluster.all_ready)

    def _configure(self) -> None:
        oldest = max(1, self.version - KEPT_VERSIONS)
        markers = [
            documents.rule(f'/v{number}/')
            for number in range(oldest, self.version + 1)
        ]
        self.cluster.configure(
            self.version, *documents.DEFAULT_RULES, *markers
        )

    async def _call(self) -> None:
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
                self._note_version(vm, incarnation, version, prefix, reply)
            await asyncio.sleep(self.rng.uniform(0.0, 0.03))

    def _note_version(
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
                self.findings.append(f'{name} answered 404 to a known route')
            return
        known = self.known.get((name, incarnation), 0)
        if reply.status == 404:
            if version <= known:
                self.findings.append(f'{name} went back from {known}')
        elif reply.status == 200:
            self.known[name, incarnation] = max(known, version)

    async def _heal(self) -> None:
        self.cluster.store.down = self.cluster.store.silent = False
        for upstream in self.cluster.upstreams.values():
            upstream.fault = Fault.NONE
        for vm in self.vms:
            vm.link.set_faults(fault_proxy.LinkFaults())
            vm.signal(signal.SIGCONT)
            await vm.start()

    async def _recovered(self) -> None:
        try:
            await self.cluster.until(self._serves_again, RECOVERY_S)
        except TimeoutError:
            self.findings.append(f'not served {RECOVERY_S} s after the end')

    async def _serves_again(self) -> bool:
        for vm in self.vms:
            await vm.start()
        if not await self.cluster.all_ready():
            return False
        sent = [
            await self.cluster.send(f'/v{self.version}/x', vm=number)
            for number in range(len(self.vms))
        ]
        return all(reply.status == 200 for reply in sent)

    def _check(self) -> None:
        runs: collections.Counter[str] = collections.Counter()
        for upstream in self.cluster.upstreams.values():
            runs.update(a.request_id for a in upstream.ran)
        for path, reply in self.replies:
            times = runs[reply.request_id]
            if path.startswith('/order/') and times > 1:
                self.findings.append(f'{reply.request_id} ran {times} times')
            if path.startswith('/order/') and reply.status in REFUSALS:
                if times:
                    self.findings.append(f'{reply.request_id} refused and ran')
            if reply.status == 200 and not reply.is_own_answer:
                self.findings.append(f'{reply.request_id} got {reply.body!r}')


async def play(seed: int, folder: pathlib.Path) -> Soak:
    """Play one seed and return what was found.

    Args:
        seed: The seed.
        folder: Where settings and logs lie.
    """
    rng = random.Random(seed)
    soak = Soak(seed, rng, clusters.EdgeCluster(FAILURE_DOMAINS))
    await soak.run(folder)
    return soak


async def _play_all(seeds: typing.Iterable[int], jobs: int) -> int:
    limit = asyncio.Semaphore(jobs)
    broken = 0

    async def one(seed: int) -> None:
        nonlocal broken
        async with limit:
            folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
            soak = await play(seed, folder)
        served = sum(r.status == 200 for _, r in soak.replies)
        print(
            f'seed {seed}: {len(soak.replies)} requests, {served} served,'
            f' {len(soak.faults.steps)} faults, {len(soak.findings)} findings',
            flush=True,
        )
        if soak.findings:
            broken += 1
            print(f'  logs in {folder}')
            print(
                *soak.faults.steps, *soak.findings[:10], sep='\n  ', flush=True
            )

    await asyncio.gather(*map(one, seeds))
    return broken


def main() -> int:
    """Play the seeds of the command line; exit code 1 with findings."""
    first, count, *jobs = map(int, sys.argv[1:])
    seeds = range(first, first + count)
    broken = asyncio.run(_play_all(seeds, jobs[0] if jobs else 1))
    print(f'{count} seeds, {broken} with findings')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
