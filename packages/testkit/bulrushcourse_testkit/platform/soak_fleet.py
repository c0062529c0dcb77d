"""The upstreams of a soak: they end, restart and take over addresses."""

import asyncio
import contextlib
import itertools
import random
import time
import typing

import attrs

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import soak_observations
from bulrushcourse_testkit.platform import soak_operator
from bulrushcourse_testkit.platform import upstream as upstream_standin

UpstreamStandIn = upstream_standin.UpstreamStandIn

HEARTBEAT_S = 1.5
# Heartbeats of silence after which the platform removes a row.
ROW_HEARTBEATS = 3
ADDRESS_REUSE_S = 2.0
SERVICES = ('catalog', 'orders', 'artwork')
MAX_UPSTREAMS = 24
WARMUP_S = 3.0


@attrs.define(eq=False)
class UpstreamFleet:
    """Upstreams with their rows, one entry for each incarnation.

    Attributes:
        rng: Source of randomness.
        cluster: Store of the rows.
        started: All incarnations.
        running: Incarnations that have not ended.
        heartbeat_s: Time between two heartbeats in seconds.
        numbers: Source of unique identifiers.
        tasks: Tasks that write heartbeats and remove rows.
    """

    rng: random.Random
    cluster: clusters.EdgeCluster
    started: list[UpstreamStandIn] = attrs.field(factory=list)
    running: list[UpstreamStandIn] = attrs.field(factory=list)
    heartbeat_s: float = HEARTBEAT_S
    numbers: typing.Iterator[int] = attrs.field(factory=itertools.count)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def start(self) -> None:
        """Start one upstream of each service in each failure domain."""
        for service in SERVICES:
            for domain in clusters.REGIONS:
                await self.add(service=service, failure_domain=domain)
        self.run_in_background(self._beat())

    async def add(self, name: str = '', **fields: typing.Any) -> None:
        """Start an upstream and write its row once the store serves.

        Args:
            name: Identifier; by default a new one.
            **fields: Attributes that override the defaults.
        """
        upstream = UpstreamStandIn(
            name or f'u{next(self.numbers)}',
            work_s=self.rng.uniform(0.005, 0.08),
            incarnation=int(time.time() * 1000),
            **fields,
        )
        await upstream.start()
        self.started.append(upstream)
        self.running.append(upstream)
        # The cluster closes all incarnations, also of the same identifier.
        self.cluster.upstreams[f'{len(self.started)}'] = upstream
        await soak_operator.store_available(self.cluster)
        if upstream in self.running:
            self.cluster.write_upstream(upstream)

    def end(self, upstream: UpstreamStandIn) -> None:
        """End an upstream without a word; its row expires later.

        Args:
            upstream: The upstream.
        """
        self.running.remove(upstream)
        upstream.end()
        self.run_in_background(self._expire(upstream))

    async def _expire(self, upstream: UpstreamStandIn) -> None:
        await asyncio.sleep(ROW_HEARTBEATS * self.heartbeat_s)
        # The platform removes rows at times also during an outage.
        if self.rng.random() < 0.5:
            await soak_operator.store_available(self.cluster)
        if not any(other.name == upstream.name for other in self.running):
            self._remove_row(upstream.name)

    def _remove_row(self, name: str) -> None:
        self.cluster.store.remove('servers', name)

    async def reuse_address(self, upstream: UpstreamStandIn) -> None:
        """End an upstream and start another one on its address.

        Args:
            upstream: The upstream that ends.
        """
        self.end(upstream)
        await asyncio.sleep(ADDRESS_REUSE_S + self.rng.uniform(0.0, 1.0))
        fields = {
            'service': upstream.service,
            'failure_domain': upstream.failure_domain,
        }
        change = self.rng.choice(
            (self._other_region, self._other_region, self._other_service)
        )
        fields |= change(upstream)
        fields |= self.rng.choice(
            ({}, {}, {'state': 'draining'}, {'warmup_left': f'{WARMUP_S:g}s'})
        )
        # Another process may have bound the port meanwhile.
        with contextlib.suppress(OSError):
            await self.add(address=upstream.address, **fields)

    def _other_region(self, upstream: UpstreamStandIn) -> dict[str, str]:
        region = clusters.REGIONS[upstream.failure_domain]
        domains = [d for d, r in clusters.REGIONS.items() if r != region]
        return {'failure_domain': self.rng.choice(domains)}

    def _other_service(self, upstream: UpstreamStandIn) -> dict[str, str]:
        services = [name for name in SERVICES if name != upstream.service]
        return {
            'service': self.rng.choice(services),
            'failure_domain': self.rng.choice(list(clusters.REGIONS)),
        }

    async def replace(self, upstream: UpstreamStandIn) -> None:
        """Start an upstream in the place of one that ended.

        Args:
            upstream: The upstream that ended.
        """
        keeps_name = self.rng.random() < 0.5
        taken = any(other.name == upstream.name for other in self.running)
        await self.add(
            upstream.name if keeps_name and not taken else '',
            service=upstream.service,
            failure_domain=upstream.failure_domain,
        )

    async def fill(self) -> None:
        """Start an upstream wherever a service has none that is ready."""
        for service in SERVICES:
            for domain in clusters.REGIONS:
                if not any(
                    (one.service, one.failure_domain, one.state)
                    == (service, domain, 'ready')
                    for one in self.running
                ):
                    await self.add(service=service, failure_domain=domain)

    async def drain(self, upstream: UpstreamStandIn) -> None:
        """Let an upstream leave as planned.

        Args:
            upstream: The upstream.
        """
        await soak_operator.store_available(self.cluster)
        upstream.state = 'draining'
        self.cluster.write_upstream(upstream)
        await asyncio.sleep(self.rng.uniform(2.0, 4.0))
        await soak_operator.store_available(self.cluster)
        if upstream in self.running:
            self.end(upstream)
            self._remove_row(upstream.name)

    def run_in_background(self, work: typing.Coroutine) -> None:
        """Run a task until the run ends.

        Args:
            work: The task.
        """
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def stop(self) -> None:
        """End the tasks."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def received(self) -> typing.Iterator[soak_observations.ReceivedRequest]:
        """Yield the requests that reached upstreams."""
        for upstream in self.started:
            ran = {id(arrival.headers) for arrival in upstream.ran}
            for arrival in upstream.heads:
                yield soak_observations.ReceivedRequest(
                    arrival.request_id,
                    upstream.name,
                    upstream.address,
                    upstream.service,
                    upstream.failure_domain,
                    clusters.REGIONS[upstream.failure_domain],
                    arrival.received_at,
                    arrival.headers.get('x-expect-instance', upstream.name),
                    id(arrival.headers) in ran,
                    upstream.work_s,
                )

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(self.heartbeat_s)
            await soak_operator.store_available(self.cluster)
            for upstream in self.running:
                self._write_heartbeat(upstream)

    def _write_heartbeat(self, upstream: UpstreamStandIn) -> None:
        upstream.beats += 1
        age_s = time.time() - upstream.incarnation / 1000
        if age_s > WARMUP_S:
            upstream.warmup_left = '0ms'
        self.cluster.write_upstream(upstream)
