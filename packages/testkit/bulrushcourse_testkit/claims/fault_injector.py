"""Inject faults at random times into a cluster of real processes."""

import asyncio
import contextlib
import random
import signal

import attrs

from bulrushcourse_testkit import cluster as clusters

FAULT_GAP_S = (0.05, 0.3)
SHORT_FAULT_S = (0.3, 1.5)
LONG_FAULT_S = (0.5, 4.0)


@attrs.define(eq=False)
class FaultInjector:
    """Injects random faults until cancelled.

    Attributes:
        cluster: Cluster that gets the faults.
        instances: Names of the upstream instances that may fail.
        rng: Source of randomness.
        counts: Number of faults by kind.
    """

    cluster: clusters.Cluster
    instances: list[str]
    rng: random.Random
    counts: dict[str, int] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Inject faults, up to three concurrently, until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(3):
                group.create_task(self._inject_sequentially())

    async def end_faults(self) -> None:
        """End all faults and wait until all entries are ready."""
        await self.cluster.set_store_faults()
        for name in self.cluster.entry_names:
            await self.cluster.set_link_faults(f'store-{name}')
        await self.cluster.set_upstream('all')
        for name in self.cluster.entry_names:
            process = self.cluster.processes[name]
            process.signal(signal.SIGCONT)
            if process.process.returncode is not None:
                await self.cluster.start_entry(name)
        for name in self.cluster.entry_names:
            await self.cluster.wait_ready(name)

    async def _inject_sequentially(self) -> None:
        kinds = (
            self.kill_entry,
            self.pause_entry,
            self.stop_store,
            self.slow_store,
            self.lose_store_answers,
            self.cut_store_link,
            self.drop_store_answers,
            # Listed three times to inject it more often.
            self.break_upstream,
            self.break_upstream,
            self.break_upstream,
        )
        while True:
            await asyncio.sleep(self.rng.uniform(*FAULT_GAP_S))
            kind = self.rng.choice(kinds)
            name = kind.__name__
            self.counts[name] = self.counts.get(name, 0) + 1
            await kind()

    async def kill_entry(self) -> None:
        """Kill an entry with SIGKILL and start a new process for it."""
        name = self.rng.choice(self.cluster.entry_names)
        process = self.cluster.processes[name]
        process.signal(signal.SIGKILL)
        await process.wait()
        await asyncio.sleep(self.rng.uniform(*SHORT_FAULT_S))
        if self.cluster.processes[name] is process:
            await self.cluster.start_entry(name)

    async def pause_entry(self) -> None:
        """Stop an entry with SIGSTOP for a while."""
        name = self.rng.choice(self.cluster.entry_names)
        process = self.cluster.processes[name]
        process.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(self.rng.uniform(*LONG_FAULT_S))
        finally:
            process.signal(signal.SIGCONT)

    async def stop_store(self) -> None:
        """Make the store unresponsive for a while."""
        await self._store_fault(down=True)

    async def slow_store(self) -> None:
        """Delay the responses of the store for a while."""
        await self._store_fault(
            delay_ms=self.rng.choice((50, 400, 1500, 2500))
        )

    async def lose_store_answers(self) -> None:
        """Let writes take effect without a response for a while."""
        await self._store_fault(lose_answers=True)

    async def cut_store_link(self) -> None:
        """Reset connections from one entry to the store for a while."""
        await self._link_fault(cut=True)

    async def drop_store_answers(self) -> None:
        """Drop the store's responses to one entry for a while."""
        await self._link_fault(drop_answers=True)

    async def break_upstream(self) -> None:
        """Inject a random fault into an upstream instance for a while."""
        name = self.rng.choice(self.instances)
        kind = self.rng.choice(
            ('shed', 'reset', 'reset_before', 'truncate', 'hang')
        )
        await self.cluster.set_upstream(name, **{kind: True})
        try:
            await asyncio.sleep(self.rng.uniform(*LONG_FAULT_S))
        finally:
            with contextlib.suppress(OSError):
                await self.cluster.set_upstream(name)

    async def _store_fault(self, **faults: object) -> None:
        await self.cluster.set_store_faults(**faults)
        await asyncio.sleep(self.rng.uniform(*SHORT_FAULT_S))
        await self.cluster.set_store_faults()

    async def _link_fault(self, **faults: object) -> None:
        name = self.rng.choice(self.cluster.entry_names)
        await self.cluster.set_link_faults(f'store-{name}', **faults)
        await asyncio.sleep(self.rng.uniform(*SHORT_FAULT_S))
        await self.cluster.set_link_faults(f'store-{name}')
