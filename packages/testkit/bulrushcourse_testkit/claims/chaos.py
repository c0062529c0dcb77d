"""Faults at random moments in a cluster of real processes."""

import asyncio
import contextlib
import random
import signal

import attrs

from bulrushcourse_testkit import cluster as clusters

PAUSE_S = (0.05, 0.3)
SHORT_S = (0.3, 1.5)
LONG_S = (0.5, 4.0)


@attrs.define(eq=False)
class Chaos:
    """Injects one fault after another until cancelled.

    Attributes:
        cluster: The cluster.
        pool: Names of the upstream instances that may fail.
        random: Source of choices.
        counts: Number of faults by kind.
    """

    cluster: clusters.Cluster
    pool: list[str]
    random: random.Random
    counts: dict[str, int] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Inject faults, up to three at a time, until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(3):
                group.create_task(self._run_one_by_one())

    async def heal(self) -> None:
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

    async def _run_one_by_one(self) -> None:
        kinds = (
            self.kill_entry,
            self.pause_entry,
            self.stop_store,
            self.slow_store,
            self.lose_store_answers,
            self.cut_store_link,
            self.drop_store_answers,
            self.break_upstream,
            self.break_upstream,
            self.break_upstream,
        )
        while True:
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
            kind = self.random.choice(kinds)
            name = kind.__name__
            self.counts[name] = self.counts.get(name, 0) + 1
            await kind()

    async def kill_entry(self) -> None:
        """Kill an entry with SIGKILL and start another in its seat."""
        name = self.random.choice(self.cluster.entry_names)
        process = self.cluster.processes[name]
        process.signal(signal.SIGKILL)
        await process.wait()
        await asyncio.sleep(self.random.uniform(*SHORT_S))
        if self.cluster.processes[name] is process:
            await self.cluster.start_entry(name)

    async def pause_entry(self) -> None:
        """Stop an entry for a while and wake it up."""
        name = self.random.choice(self.cluster.entry_names)
        process = self.cluster.processes[name]
        process.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(self.random.uniform(*LONG_S))
        finally:
            process.signal(signal.SIGCONT)

    async def stop_store(self) -> None:
        """Let the store answer nothing for a while."""
        await self._store(down=True)

    async def slow_store(self) -> None:
        """Let the store answer late for a while."""
        await self._store(delay_ms=self.random.choice((50, 400, 1500, 2500)))

    async def lose_store_answers(self) -> None:
        """Let writes take effect without an answer for a while."""
        await self._store(lose_answers=True)

    async def cut_store_link(self) -> None:
        """Cut one entry off from the store for a while."""
        await self._link(cut=True)

    async def drop_store_answers(self) -> None:
        """Drop the store's answers to one entry for a while."""
        await self._link(drop_answers=True)

    async def break_upstream(self) -> None:
        """Let an instance fail in one of its ways for a while."""
        name = self.random.choice(self.pool)
        kind = self.random.choice(
            ('shed', 'reset', 'reset_before', 'truncate', 'hang')
        )
        await self.cluster.set_upstream(name, **{kind: True})
        try:
            await asyncio.sleep(self.random.uniform(*LONG_S))
        finally:
            with contextlib.suppress(OSError):
                await self.cluster.set_upstream(name)

    async def _store(self, **faults: object) -> None:
        await self.cluster.set_store_faults(**faults)
        await asyncio.sleep(self.random.uniform(*SHORT_S))
        await self.cluster.set_store_faults()

    async def _link(self, **faults: object) -> None:
        name = self.random.choice(self.cluster.entry_names)
        await self.cluster.set_link_faults(f'store-{name}', **faults)
        await asyncio.sleep(self.random.uniform(*SHORT_S))
        await self.cluster.set_link_faults(f'store-{name}')
