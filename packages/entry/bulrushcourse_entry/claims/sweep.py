"""Deletion of expired rows whose process has stopped."""

import asyncio
import random

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_entry.claims import rows as claim_rows
from bulrushcourse_entry.platform import table as platform_table

ROW_PREFIX = 'claims/'
PAGE_ROWS = 50

# One page of 50 rows in 5 s on average: at most 10 rows/s per entry.
MEAN_INTERVAL_S = 5.0

# Running processes delete their own rows within this time after expiry.
ORPHAN_MARGIN_S = 60.0


@attrs.define(eq=False)
class Sweep:
    """Deletes the expired rows of stopped processes.

    Attributes:
        rows: Claims in the table.
        scanner: Lists rows of the table.
        clock: Source of time.
        rng: Source of jitter, so that entries do not scan in step.
        after: Key after which the next page starts.
    """

    rows: claim_rows.ClaimRows
    scanner: platform_table.TableScanner
    clock: clocks.Clock
    rng: random.Random
    after: str = ''

    async def run(self) -> None:
        """Sweep one page after another until cancelled."""
        while True:
            pause_s = MEAN_INTERVAL_S * self.rng.uniform(0.5, 1.5)
            await asyncio.sleep(pause_s)
            await self.sweep_page()

    async def sweep_page(self) -> int:
        """Delete the expired rows of the next page and return their number."""
        try:
            page = await self.scanner.scan(ROW_PREFIX, self.after, PAGE_ROWS)
        except platform_table.TableUnavailable:
            return 0
        self.after = page[-1][0] if len(page) == PAGE_ROWS else ''
        now = self.clock.wall().timestamp() - ORPHAN_MARGIN_S
        deleted = 0
        for key, row in page:
            try:
                claim = claim_rows.decode_claim(row.value)
            except claim_rows.RowUnreadable:
                continue
            if claim.expires_at() <= now:
                stored = claim_rows.StoredClaim(row.version, claim)
                await self.rows.delete(key, stored)
                deleted += 1
        return deleted
