"""Deletion of expired claim rows at a bounded rate."""

import asyncio
import collections
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.claims import claim as claims
from bulrushcourse_entry.claims import rows as claim_rows

# Per entry. Deletes share the write budget and come after all other writes.
ROWS_PER_S = 10
MAX_ROWS = 50_000


@attrs.define(eq=False)
class Cleanup:
    """Deletes the rows of this process's finished claims after retention.

    Attributes:
        rows: Claims in the table.
        clock: Source of time.
        waiting: Expiry in wall-clock seconds and key, oldest first.
        left_over: Rows that were not noted because too many wait.
    """

    rows: claim_rows.ClaimRows
    clock: clocks.Clock
    waiting: collections.deque[tuple[float, str]] = attrs.field(
        factory=collections.deque
    )
    left_over: int = 0

    def add(self, key: str, claim: claims.Claim) -> None:
        """Note a row that is to be deleted when it has expired.

        Args:
            key: Key of the row.
            claim: The claim in it.
        """
        if claim.state is claims.ClaimState.CLAIMED:
            return
        if len(self.waiting) >= MAX_ROWS:
            self.left_over += 1
            return
        self.waiting.append((claim.expires_at(), key))

    async def run(self) -> None:
        """Delete expired rows until cancelled."""
        while True:
            await asyncio.sleep(1 / ROWS_PER_S)
            now = self.clock.wall().timestamp()
            if self.waiting and self.waiting[0][0] <= now:
                await self._delete(self.waiting.popleft()[1], now)

    def dump(self) -> dict[str, typing.Any]:
        """Return the number of noted rows for a state dump."""
        return {'waiting': len(self.waiting), 'left_over': self.left_over}

    async def _delete(self, key: str, now: float) -> None:
        try:
            found = await self.rows.read(key)
        except claim_rows.RowUnreadable:
            self.waiting.append((now + 1.0, key))
            return
        if found is not None and found.claim.expires_at() <= now:
            await self.rows.delete(key, found)
