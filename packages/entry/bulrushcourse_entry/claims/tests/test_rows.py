"""Storage of claims as rows and of large responses as objects."""

import asyncio

import pytest

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.claims import claim as claims
from bulrushcourse_domain.claims import outcomes
from bulrushcourse_entry.claims import rows
from bulrushcourse_entry.claims import writer
from bulrushcourse_entry.platform import objects
from bulrushcourse_entry.platform import table


class MemoryTable:
    def __init__(self):
        self.rows = {}

    async def get(self, key):
        return self.rows.get(key)

    async def transact(self, writes):
        for write in writes:
            self.rows[write.key] = table.Row(1, write.value)
        return table.WriteResult.COMMITTED


class MemoryObjects:
    def __init__(self):
        self.content = {}
        self.up = True

    async def put(self, key, content):
        if not self.up:
            raise objects.ObjectStoreUnavailable
        self.content[key] = content

    async def get(self, key):
        if not self.up:
            raise objects.ObjectStoreUnavailable
        return self.content.get(key)


def with_rows(scenario):
    def test():
        async def run():
            stored = MemoryTable()
            batches = writer.BatchWriter(stored, clocks.SystemClock())
            runner = asyncio.create_task(batches.run())
            claim_rows = rows.ClaimRows(stored, MemoryObjects(), batches)
            await scenario(claim_rows)
            runner.cancel()

        asyncio.run(run())

    test.__doc__ = scenario.__doc__
    return test


def done(size):
    answer = outcomes.Answer(200, (('X', 'y'),), b'z' * size)
    return claims.open_claim('a', 'd', 0.0).finish(
        'a', outcomes.Outcome.DONE, 1.0, answer
    )


@with_rows
async def test_answers_are_read_as_they_were_recorded(claim_rows):
    """Guards against a response that differs from the recorded one."""
    for size in (0, 10, rows.MAX_ROW_ANSWER_BYTES + 1):
        await claim_rows.write('k', done(size), 0, urgent=True)
        found = await claim_rows.read('k')
        assert (
            await claim_rows.load_answer(found.claim.reply())
            == done(size).reply()
        )
    assert len(claim_rows.objects.content) == 1


@with_rows
async def test_row_is_not_written_before_its_answer(claim_rows):
    """Guards against a ``done`` row whose response does not exist."""
    claim_rows.objects.up = False
    big = done(rows.MAX_ROW_ANSWER_BYTES + 1)
    write_result = await claim_rows.write('k', big, 0, urgent=True)
    assert write_result is outcomes.StoreWriteResult.UNKNOWN
    assert await claim_rows.read('k') is None


@with_rows
async def test_unreadable_answer_is_unknown(claim_rows):
    """Guards against an empty response in place of the recorded one."""
    await claim_rows.write(
        'k', done(rows.MAX_ROW_ANSWER_BYTES + 1), 0, urgent=True
    )
    claim_rows.objects.up = False
    found = await claim_rows.read('k')
    reply = await claim_rows.load_answer(found.claim.reply())
    assert reply.outcome is outcomes.Outcome.UNKNOWN


@with_rows
async def test_malformed_row_is_reported(claim_rows):
    """Guards against a malformed row that is taken for an absent one."""
    claim_rows.table.rows['k'] = table.Row(1, {'state': 'strange'})
    with pytest.raises(rows.RowUnreadable):
        await claim_rows.read('k')
