"""Batched, rate-limited writes of claim rows."""

import asyncio
import collections
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.claims import outcomes
from bulrushcourse_entry.platform import table as platform_table

MAX_BATCH_ROWS = 16
MAX_CONCURRENT_COMMITS = 4

# Share of the store's several hundred writes a second that claims may use,
# divided evenly among the entries (9 until a configuration is active). The
# rest is for leases, the configuration and the quarantine.
FLEET_ROWS_PER_S = 270.0
DEFAULT_ROWS_PER_S = FLEET_ROWS_PER_S / 9
DEFAULT_BURST_ROWS = 60.0

PendingWrite = tuple[platform_table.Write, asyncio.Future]


@attrs.define(eq=False)
class BatchWriter:
    """Collects row writes into batches while earlier batches are committed.

    A batch is one transaction. Writes that a caller waits for go first. A
    token bucket limits the rate.

    Attributes:
        table: The platform's table service.
        clock: Source of time.
        rows_per_s: Sustained rate of row writes.
        burst_rows: Capacity of the token bucket, in rows.
        urgent: Writes that a caller waits for.
        background: Other writes.
        tokens: Row writes that may be made now.
        refilled_at: Clock seconds of the last refill.
        has_pending: Set while writes are queued.
        commit_permits: Limits the number of concurrent commits.
        commits: Tasks of the commits in progress.
    """

    table: platform_table.Table
    clock: clocks.Clock
    rows_per_s: float = DEFAULT_ROWS_PER_S
    burst_rows: float = DEFAULT_BURST_ROWS
    urgent: collections.deque[PendingWrite] = attrs.field(
        factory=collections.deque
    )
    background: collections.deque[PendingWrite] = attrs.field(
        factory=collections.deque
    )
    tokens: float = 0.0
    refilled_at: float = float('-inf')
    has_pending: asyncio.Event = attrs.field(factory=asyncio.Event)
    commit_permits: asyncio.Semaphore = attrs.field(
        factory=lambda: asyncio.Semaphore(MAX_CONCURRENT_COMMITS)
    )
    commits: set[asyncio.Task] = attrs.field(factory=set)

    async def submit(
        self, write: platform_table.Write, urgent: bool
    ) -> outcomes.StoreWriteResult:
        """Queue a row write, wait for its commit and return its result.

        Args:
            write: The write.
            urgent: Whether a caller waits for it.
        """
        future = asyncio.get_running_loop().create_future()
        queue = self.urgent if urgent else self.background
        queue.append((write, future))
        self.has_pending.set()
        return await future

    def set_entry_count(self, entries: int) -> None:
        """Set this entry's rate to its even share of the budget.

        Args:
            entries: Number of configured entries.
        """
        self.rows_per_s = FLEET_ROWS_PER_S / max(entries, 1)

    def backlog_s(self) -> float:
        """Return how long a new urgent write would wait for tokens."""
        self._refill()
        missing = len(self.urgent) + 1 - self.tokens
        return max(missing, 0.0) / self.rows_per_s

    async def run(self) -> None:
        """Commit batches until cancelled."""
        while True:
            await self.has_pending.wait()
            await self.commit_permits.acquire()
            await self._wait_for_budget()
            batch = self._next_batch()
            if not batch:
                self.commit_permits.release()
                continue
            task = asyncio.create_task(self._commit(batch))
            self.commits.add(task)
            task.add_done_callback(self._on_committed)

    def dump(self) -> dict[str, typing.Any]:
        """Return the length of the queues for a state dump."""
        return {
            'urgent': len(self.urgent),
            'later': len(self.background),
            'under_way': len(self.commits),
        }

    def _on_committed(self, task: asyncio.Task) -> None:
        self.commits.discard(task)
        self.commit_permits.release()

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

    def _next_batch(self) -> list[PendingWrite]:
        batch: dict[str, PendingWrite] = {}
        limit = min(MAX_BATCH_ROWS, max(int(self.tokens), 1))
        for queue in (self.urgent, self.background):
            while queue and len(batch) < limit:
                write, future = queue[0]
                if write.key in batch:
                    break
                queue.popleft()
                if not future.cancelled():
                    batch[write.key] = (write, future)
        if not self.urgent and not self.background:
            self.has_pending.clear()
        self.tokens -= len(batch)
        return list(batch.values())

    async def _commit(self, batch: list[PendingWrite]) -> None:
        try:
            stored = await self.table.transact([write for write, _ in batch])
        except BaseException:
            _resolve(batch, outcomes.StoreWriteResult.UNKNOWN)
            raise
        if stored is platform_table.WriteResult.CONFLICT and len(batch) > 1:
            # A conflict on one row fails the whole transaction, so the writes
            # are repeated one by one.
            self.tokens -= len(batch)
            for submitted in batch:
                await self._commit([submitted])
            return
        _resolve(batch, outcomes.StoreWriteResult(stored.value))


def _resolve(
    batch: list[PendingWrite], write_result: outcomes.StoreWriteResult
) -> None:
    for _, future in batch:
        if not future.done():
            future.set_result(write_result)
