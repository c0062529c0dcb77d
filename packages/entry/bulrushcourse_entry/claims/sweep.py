"""Deletion of expired rows that no process deletes any more."""

import asyncio
import random

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_entry.claims import rows as claim_rows
from bulrushcourse_entry.platform import table as platform_table

PREFIX = 'claims/'
PAGE_ROWS = 50

# One page per entry in 5 s on average: at most 10 rows/s and entry.
MEAN_INTERVAL_S = 5.0

# Leaves the rows of living processes to their own clean-up.
ORPHAN_MARGIN_S = 60.0


@attrs.define(eq=False)
class Sweep:
    """Deletes the rows that stopped processes left behind.

    Attributes:
        rows: Claims in the table.
        scanner: Lists rows of the table.
        clock: Source of time.
        random: Source of the pauses, which keep entries apart.
        after: Key after which the next page begins.
    """

    rows: claim_rows.ClaimRows
    scanner: platform_table.Scanner
    clock: clocks.Clock
    random: random.Random
    after: str = ''

    async def run(self) -> None:
        """Read page after page until cancelled."""
        while True:
            pause_s = MEAN_INTERVAL_S * self.random.uniform(0.5, 1.5)
            await asyncio.sleep(pause_s)
            await self.sweep_page()

    async def sweep_page(self) -> int:
        """Delete the expired rows of the next page and return their number."""
        try:
            found = await self.scanner.scan(PREFIX, self.after, PAGE_ROWS)
        except platform_table.TableUnavailable:
            return 0
        self.after = found[-1][0] if len(found) == PAGE_ROWS else ''
        now = self.clock.wall().timestamp() - ORPHAN_MARGIN_S
        deleted = 0
        for key, row in found:
            try:
                claim = claim_rows.decode_claim(row.value)
            except claim_rows.RowUnreadable:
                continue
            if claim.expires_at() <= now:
                stored = claim_rows.StoredClaim(row.version, claim)
                await self.rows.delete(key, stored)
                deleted += 1
        return deleted
