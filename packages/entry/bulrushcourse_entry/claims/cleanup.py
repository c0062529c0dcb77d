"""Deletion of expired claim rows at a bounded rate."""

import asyncio
import collections
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.claims import claim as claims
from bulrushcourse_entry.claims import rows as claim_rows

# Per entry. Deletes count against the write budget, with the lowest priority.
DELETES_PER_S = 10
MAX_PENDING_ROWS = 50_000


@attrs.define(eq=False)
class Cleanup:
    """Deletes rows of claims finished by this process once they expire.

    Attributes:
        rows: Claims in the table.
        clock: Source of time.
        pending: Expiry in wall-clock seconds and key, oldest first.
        dropped: Rows not scheduled because the queue was full; ``Sweep``
            deletes them.
    """

    rows: claim_rows.ClaimRows
    clock: clocks.Clock
    pending: collections.deque[tuple[float, str]] = attrs.field(
        factory=collections.deque
    )
    dropped: int = 0

    def add(self, key: str, claim: claims.Claim) -> None:
        """Schedule a row for deletion at its expiry.

        Args:
            key: Key of the row.
            claim: The claim in it.
        """
        if claim.state is claims.ClaimState.CLAIMED:
            return
        if len(self.pending) >= MAX_PENDING_ROWS:
            self.dropped += 1
            return
        self.pending.append((claim.expires_at(), key))

    async def run(self) -> None:
        """Delete expired rows until cancelled."""
        while True:
            await asyncio.sleep(1 / DELETES_PER_S)
            now = self.clock.wall().timestamp()
            if self.pending and self.pending[0][0] <= now:
                await self._delete(self.pending.popleft()[1], now)

    def dump(self) -> dict[str, typing.Any]:
        """Return counts of scheduled and dropped rows for a state dump."""
        return {'waiting': len(self.pending), 'left_over': self.dropped}

    async def _delete(self, key: str, now: float) -> None:
        try:
            found = await self.rows.read(key)
        except claim_rows.RowUnreadable:
            self.pending.append((now + 1.0, key))
            return
        if found is not None and found.claim.expires_at() <= now:
            await self.rows.delete(key, found)
