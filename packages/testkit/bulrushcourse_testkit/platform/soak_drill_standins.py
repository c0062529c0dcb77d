"""Operator and upstreams that write again what the store lost."""

import asyncio
import json
import random
import time

import attrs

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import soak_drill_history
from bulrushcourse_testkit.platform import soak_fleet
from bulrushcourse_testkit.platform import soak_operator

POLL_INTERVAL_S = 0.02
HEARTBEAT_S = 0.5
# Longest time from a return until the operator has written again, and until
# the platform has removed the rows of silent upstreams, in seconds.
OPERATOR_S = 1.0
SILENCE_S = soak_fleet.ROW_HEARTBEATS * HEARTBEAT_S
# Time for which upstreams that leave go on serving, in seconds.
LEAVING_S = (2.2, 10.0)


@attrs.define(eq=False)
class DrillOperator(soak_operator.Operator):
    """An operator that compares the store with what it wants there.

    Attributes:
        history: Where it records what it wrote.
        evacuated: Failure domains that it wants to be evacuated.
    """

    history: soak_drill_history.DrillHistory = attrs.field(kw_only=True)
    evacuated: set[str] = attrs.field(factory=set)

    async def evacuate(self, failure_domain: str, duration_s: float) -> None:
        """Evacuate a failure domain for some time unless it is evacuated.

        Args:
            failure_domain: The failure domain.
            duration_s: Time until it is taken back, in seconds.
        """
        await soak_operator.store_available(self.cluster)
        if failure_domain in self.evacuated:
            return
        self.evacuated.add(failure_domain)
        self._write_evacuation(failure_domain)
        await asyncio.sleep(duration_s)
        await soak_operator.store_available(self.cluster)
        self.evacuated.discard(failure_domain)
        self.history.end_evacuation(failure_domain)
        self.cluster.store.remove('op', _evacuation_key(failure_domain))

    async def write_again(self, delay_s: float) -> None:
        """Write what the store lacks and remove what it should not have.

        Args:
            delay_s: Time until it begins, in seconds.
        """
        await asyncio.sleep(delay_s)
        await soak_operator.store_available(self.cluster)
        store = self.cluster.store
        row = store.rows.get(('op', 'config'))
        if row is None or json.loads(row[0]) != self.document:
            store.put('op', 'config', self.document)
        self.history.acknowledge_newest_version()
        for domain in clusters.REGIONS:
            has_row = ('op', _evacuation_key(domain)) in store.rows
            if domain in self.evacuated:
                self._write_evacuation(domain)
            elif has_row:
                store.remove('op', _evacuation_key(domain))

    def _write_evacuation(self, failure_domain: str) -> None:
        key = _evacuation_key(failure_domain)
        if ('op', key) not in self.cluster.store.rows:
            self.cluster.store.put('op', key, {})
        self.history.acknowledge_evacuation(failure_domain)


@attrs.define(eq=False)
class DrillFleet(soak_fleet.UpstreamFleet):
    """Upstreams that leave slowly and write their rows at each heartbeat.

    Attributes:
        history: Where it records which upstreams leave.
        withdrawn: Upstreams that serve although their rows were removed.
        removed: Identifiers whose rows were removed.
        rounds: Number of heartbeats so far.
    """

    history: soak_drill_history.DrillHistory = attrs.field(kw_only=True)
    heartbeat_s: float = HEARTBEAT_S
    withdrawn: set[soak_fleet.UpstreamStandIn] = attrs.field(factory=set)
    removed: set[str] = attrs.field(factory=set)
    rounds: int = 0

    async def drain(self, upstream: soak_fleet.UpstreamStandIn) -> None:
        """Let an upstream report that it is draining, and end it later.

        Args:
            upstream: The upstream.
        """
        await soak_operator.store_available(self.cluster)
        if upstream not in self.running or upstream.state != 'ready':
            return
        upstream.state = 'draining'
        self._write_heartbeat(upstream)
        await self._end_later(upstream)

    async def withdraw(self, upstream: soak_fleet.UpstreamStandIn) -> None:
        """Remove the row of an upstream without a word, and end it later.

        Args:
            upstream: The upstream.
        """
        await soak_operator.store_available(self.cluster)
        if upstream not in self.running or upstream.state != 'ready':
            return
        upstream.state = 'draining'
        self.withdrawn.add(upstream)
        self._remove_row(upstream.name)
        await self._end_later(upstream)

    async def _end_later(self, upstream: soak_fleet.UpstreamStandIn) -> None:
        await asyncio.sleep(self.rng.uniform(*LEAVING_S))
        await soak_operator.store_available(self.cluster)
        if upstream in self.running:
            self.end(upstream)
            self._remove_row(upstream.name)

    def end(self, upstream: soak_fleet.UpstreamStandIn) -> None:
        """End an upstream without a word; its row expires later.

        Args:
            upstream: The upstream.
        """
        super().end(upstream)
        self.withdrawn.discard(upstream)
        self.history.ends.setdefault(
            (upstream.name, upstream.address), time.monotonic()
        )

    async def write_again(self, delay_s: float) -> None:
        """Wait until all rows are written, and remove outdated ones.

        Args:
            delay_s: Time until the platform removes rows, in seconds.
        """
        await asyncio.gather(self._next_round(), self._remove_again(delay_s))

    async def _next_round(self) -> None:
        rounds = self.rounds
        while self.rounds == rounds:  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _remove_again(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await soak_operator.store_available(self.cluster)
        writing = {u.name for u in self.running if u not in self.withdrawn}
        gone = self.removed - writing
        for name in sorted(gone):
            if ('servers', name) in self.cluster.store.rows:
                self._remove_row(name)
        self._acknowledge_withdrawn()

    def _remove_row(self, name: str) -> None:
        super()._remove_row(name)
        self.removed.add(name)
        self._acknowledge_withdrawn()

    def _acknowledge_withdrawn(self) -> None:
        rows = self.cluster.store.rows
        for upstream in self.withdrawn:
            if ('servers', upstream.name) not in rows:
                self.history.acknowledge_leave(upstream.name, upstream.address)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(self.heartbeat_s)
            if self.cluster.store.down or self.cluster.store.silent:
                continue
            for upstream in self.running:
                if upstream not in self.withdrawn:
                    self._write_heartbeat(upstream)
            self.rounds += 1

    def _write_heartbeat(self, upstream: soak_fleet.UpstreamStandIn) -> None:
        super()._write_heartbeat(upstream)
        if upstream.state == 'draining':
            self.history.acknowledge_leave(upstream.name, upstream.address)


def pick_ready(
    rng: random.Random, fleet: DrillFleet
) -> soak_fleet.UpstreamStandIn | None:
    """Return a random upstream that is ready, ``None`` without one.

    Args:
        rng: Source of randomness.
        fleet: The upstreams.
    """
    ready = [one for one in fleet.running if one.state == 'ready']
    return rng.choice(ready) if ready else None


def _evacuation_key(failure_domain: str) -> str:
    return f'evacuate/{failure_domain}'
