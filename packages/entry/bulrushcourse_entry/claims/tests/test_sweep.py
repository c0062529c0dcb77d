"""Deletion of expired rows whose process has stopped."""

import asyncio
import random

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.claims import claim as claims
from bulrushcourse_entry.claims import rows
from bulrushcourse_entry.claims import sweep
from bulrushcourse_entry.platform import table


class PagedTable:
    def __init__(self, content):
        self.content = content

    async def scan(self, prefix, after, limit):
        keys = sorted(k for k in self.content if k > after)
        return tuple((k, self.content[k]) for k in keys[:limit])


class Deletes:
    def __init__(self, content):
        self.content = content

    async def delete(self, key, stored):
        assert self.content[key].version == stored.version
        del self.content[key]


def test_only_expired_rows_are_deleted_and_all_pages_are_read():
    """Guards against rows that accumulate, and against early deletion."""
    clock = clocks.ManualClock(10_000.0)
    expired = claims.refused_claim('a', 'd', 0.0)
    kept = claims.refused_claim('a', 'd', 9_900.0)
    running = claims.open_claim('a', 'd', 0.0)
    content = {}
    for number in range(3 * sweep.PAGE_ROWS):
        claim = (expired, kept, running)[number % 3]
        value = rows.encode_claim(claim)
        content[f'claims/s/{number:04}'] = table.Row(number + 1, value)
    content['claims/s/odd'] = table.Row(1, {'state': 'strange'})
    sweeper = sweep.Sweep(
        Deletes(content), PagedTable(content), clock, random.Random(1)
    )

    async def run():
        return sum([await sweeper.sweep_page() for _ in range(5)])

    assert asyncio.run(run()) == sweep.PAGE_ROWS
    assert len(content) == 2 * sweep.PAGE_ROWS + 1
