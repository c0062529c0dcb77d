"""Batched writes of claim rows within a write budget."""

import asyncio
import collections
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.claims import outcomes
from bulrushcourse_entry.platform import table as platform_table

MAX_BATCH = 16
MAX_UNDER_WAY = 4

# The store takes several hundred writes a second; this part of them is for
# claims, divided evenly over the entries. Leases, the configuration and the
# quarantine have the rest.
FLEET_ROWS_PER_S = 270.0
ROWS_PER_S = FLEET_ROWS_PER_S / 9
BURST_ROWS = 60.0

Submitted = tuple[platform_table.Write, asyncio.Future]


@attrs.define(eq=False)
class BatchWriter:
    """Collects row writes while earlier ones are under way.

    A batch is one transaction. Writes that a caller waits for go first.

    Attributes:
        table: The platform's table service.
        clock: Source of time.
        rows_per_s: Sustained rate of row writes.
        burst_rows: Row writes that may be made at once after a pause.
        urgent: Writes that a caller waits for.
        later: Other writes.
        tokens: Row writes that may be made now.
    """

    table: platform_table.Table
    clock: clocks.Clock
    rows_per_s: float = ROWS_PER_S
    burst_rows: float = BURST_ROWS
    urgent: collections.deque[Submitted] = attrs.field(
        factory=collections.deque
    )
    later: collections.deque[Submitted] = attrs.field(
        factory=collections.deque
    )
    tokens: float = 0.0
    refilled_at: float = float('-inf')
    wanted: asyncio.Event = attrs.field(factory=asyncio.Event)
    room: asyncio.Semaphore = attrs.field(
        factory=lambda: asyncio.Semaphore(MAX_UNDER_WAY)
    )
    commits: set[asyncio.Task] = attrs.field(factory=set)

    async def submit(
        self, write: platform_table.Write, urgent: bool
    ) -> outcomes.StoreFact:
        """Write a row and return what is known of the write.

        Args:
            write: The write.
            urgent: Whether a caller waits for it.
        """
        future = asyncio.get_running_loop().create_future()
        queue = self.urgent if urgent else self.later
        queue.append((write, future))
        self.wanted.set()
        return await future

    def set_entries(self, entries: int) -> None:
        """Divide the budget of all entries.

        Args:
            entries: Number of entries of the configuration.
        """
        self.rows_per_s = FLEET_ROWS_PER_S / max(entries, 1)

    def backlog_s(self) -> float:
        """Return how long a new write that a caller waits for would wait."""
        self._refill()
        missing = len(self.urgent) + 1 - self.tokens
        return max(missing, 0.0) / self.rows_per_s

    async def run(self) -> None:
        """Commit batches until cancelled."""
        while True:
            await self.wanted.wait()
            await self.room.acquire()
            await self._wait_for_budget()
            batch = self._take()
            if not batch:
                self.room.release()
                continue
            task = asyncio.create_task(self._commit(batch))
            self.commits.add(task)
            task.add_done_callback(self._on_committed)

    def dump(self) -> dict[str, typing.Any]:
        """Return the length of the queues for a state dump."""
        return {
            'urgent': len(self.urgent),
            'later': len(self.later),
            'under_way': len(self.commits),
        }

    def _on_committed(self, task: asyncio.Task) -> None:
        self.commits.discard(task)
        self.room.release()

    async def _wait_for_budget(self) -> None:
        self._refill()
        if self.tokens < 1:
            await asyncio.sleep((1 - self.tokens) / self.rows_per_s)
            self._refill()

    def _refill(self) -> None:
        now = self.clock.monotonic()
        gained = (now - self.refilled_at) * self.rows_per_s
        self.tokens = min(self.tokens + gained, self.burst_rows)
        self.refilled_at = now

    def _take(self) -> list[Submitted]:
        batch: dict[str, Submitted] = {}
        limit = min(MAX_BATCH, max(int(self.tokens), 1))
        for queue in (self.urgent, self.later):
            while queue and len(batch) < limit:
                write, future = queue[0]
                if write.key in batch:
                    break
                queue.popleft()
                if not future.cancelled():
                    batch[write.key] = (write, future)
        if not self.urgent and not self.later:
            self.wanted.clear()
        self.tokens -= len(batch)
        return list(batch.values())

    async def _commit(self, batch: list[Submitted]) -> None:
        try:
            stored = await self.table.transact([write for write, _ in batch])
        except BaseException:
            _resolve(batch, outcomes.StoreFact.UNKNOWN)
            raise
        if stored is platform_table.WriteResult.CONFLICT and len(batch) > 1:
            # One row that is taken fails the whole transaction.
            self.tokens -= len(batch)
            for submitted in batch:
                await self._commit([submitted])
            return
        _resolve(batch, outcomes.StoreFact(stored.value))


def _resolve(batch: list[Submitted], fact: outcomes.StoreFact) -> None:
    for _, future in batch:
        if not future.done():
            future.set_result(fact)
