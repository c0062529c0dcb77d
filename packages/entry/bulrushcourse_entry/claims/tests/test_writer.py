"""Batching, priority and rate of claim writes."""

import asyncio

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.claims import outcomes
from bulrushcourse_entry.claims import writer
from bulrushcourse_entry.platform import table


class RecordingTable:
    def __init__(self, conflicting=()):
        self.batches = []
        self.conflicting = set(conflicting)
        self.open = asyncio.Event()

    async def transact(self, writes):
        self.batches.append([write.key for write in writes])
        await self.open.wait()
        if any(write.key in self.conflicting for write in writes):
            return table.WriteResult.CONFLICT
        return table.WriteResult.COMMITTED


async def submit_all(recording, keys, **options):
    batches = writer.BatchWriter(recording, clocks.SystemClock(), **options)
    runner = asyncio.create_task(batches.run())
    submitted = [
        asyncio.create_task(
            batches.submit(table.Write(key, {}, 0), key.startswith('u'))
        )
        for key in keys
    ]
    for _ in range(20):
        await asyncio.sleep(0)
    recording.open.set()
    write_results = await asyncio.gather(*submitted)
    runner.cancel()
    return write_results


def test_waiting_writes_share_transactions():
    """Guards against one transaction for each waiting row."""

    async def run():
        recording = RecordingTable()
        keys = [f'k{n}' for n in range(60)]
        write_results = await submit_all(recording, keys)
        assert set(write_results) == {outcomes.StoreWriteResult.COMMITTED}
        assert len(recording.batches) <= 10

    asyncio.run(run())


def test_conflict_of_one_row_does_not_fail_the_others():
    """Guards against requests that fail because of another caller's key."""

    async def run():
        recording = RecordingTable(conflicting=['k3'])
        keys = [f'k{n}' for n in range(6)]
        write_results = await submit_all(recording, keys)
        conflicts = [
            key
            for key, write_result in zip(keys, write_results, strict=True)
            if write_result is outcomes.StoreWriteResult.CONFLICT
        ]
        assert conflicts == ['k3']

    asyncio.run(run())


def test_urgent_writes_go_before_background_writes():
    """Guards against callers that wait behind background writes."""

    async def run():
        recording = RecordingTable()
        keys = [f'l{n}' for n in range(30)] + ['u1']
        await submit_all(recording, keys, burst_rows=16.0)
        assert 'u1' in recording.batches[0]

    asyncio.run(run())


def test_rows_per_second_are_bounded():
    """Guards against more writes than the store's budget allows."""

    async def run():
        recording = RecordingTable()
        recording.open.set()
        clock = clocks.ManualClock()
        batches = writer.BatchWriter(recording, clock, 1e6, 5.0)
        batches.refilled_at = 0.0
        batches.tokens = 5.0
        for n in range(12):
            batches.background.append((table.Write(f'k{n}', {}, 0), _future()))
        assert len(batches._next_batch()) == 5
        clock.advance(3e-6)
        batches._refill()
        assert len(batches._next_batch()) == 3

    asyncio.run(run())


def _future():
    return asyncio.get_running_loop().create_future()
