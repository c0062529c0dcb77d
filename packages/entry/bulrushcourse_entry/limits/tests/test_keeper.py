"""Guards against shares that are lost or doubled when the store fails."""

import asyncio
import random

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects
from bulrushcourse_entry.limits import keeper
from bulrushcourse_entry.platform import table as platform_table
from bulrushcourse_entry.platform import vm_list

ROW = 'limits/shift'
CAP = 100


@attrs.define
class MemoryTable:
    rows: dict = attrs.field(factory=dict)
    lose_answers: bool = False
    down: bool = False

    async def get(self, key):
        if self.down:
            raise platform_table.TableUnavailable
        return self.rows.get(key)

    async def transact(self, writes):
        if self.down:
            return platform_table.WriteResult.UNKNOWN
        (write,) = writes
        row = self.rows.get(write.key, platform_table.Row(0, None))
        # Lets other holders run while this write is in progress.
        await asyncio.sleep(0)
        if self.rows.get(write.key, row).version != write.expected:
            return platform_table.WriteResult.CONFLICT
        self.rows[write.key] = platform_table.Row(row.version + 1, write.value)
        if self.lose_answers:
            return platform_table.WriteResult.UNKNOWN
        return platform_table.WriteResult.COMMITTED


@attrs.define
class FixedList:
    vms: tuple

    async def list(self):
        return self.vms


def configuration():
    limit = objects.Limit(
        'shift',
        objects.LimitKind.SHIFT,
        'dakar',
        'thies',
        requests_per_s=CAP,
    )
    return configuration_set.ConfigurationSet(
        1,
        objects.Objects(
            entries=(objects.Entry('a', 'p'), objects.Entry('b', 'p')),
            request_classes=(objects.RequestClass('short', 0, 1000),),
            limits=(limit,),
        ),
    )


def build_keepers(table):
    clock = clocks.ManualClock()
    vms = FixedList(
        tuple(vm_list.Vm(f'vm-{n}', n, '', '', 'live') for n in 'ab')
    )
    keepers = [
        keeper.LimitKeeper(
            clock, random.Random(n), table, vms, f'vm-{n}/1', (f'vm-{n}', n)
        )
        for n in 'ab'
    ]
    for limit_keeper in keepers:
        limit_keeper.configure(configuration())
    return clock, keepers


def exhaust_shares(keepers):
    for limit_keeper in keepers:
        limit_keeper.limits['shift'].record_use(True)


def usable(keepers):
    return [
        limit_keeper.limits['shift'].shares.usable for limit_keeper in keepers
    ]


def test_write_with_lost_response_is_recognised_in_the_next_round():
    table = MemoryTable(lose_answers=True)
    _, keepers = build_keepers(table)

    async def run():
        exhaust_shares(keepers)
        await keepers[0].renew_shares()
        assert usable(keepers) == [0, 0]
        exhaust_shares(keepers)
        await keepers[0].renew_shares()
        assert usable(keepers) == [50, 0]

    asyncio.run(run())


def test_concurrent_writers_divide_the_elastic_half():
    """Guards against a conflict that counts as a grant."""
    table = MemoryTable()
    clock, keepers = build_keepers(table)

    async def run():
        for _ in range(3):
            exhaust_shares(keepers)
            await asyncio.gather(
                *(limit_keeper.renew_shares() for limit_keeper in keepers)
            )
            assert sum(usable(keepers)) <= 50
        assert usable(keepers) == [25, 25]
        clock.advance(1.1)
        assert usable(keepers) == [50, 50]

    asyncio.run(run())


def test_outage_leaves_the_floor_share():
    table = MemoryTable()
    clock, keepers = build_keepers(table)

    async def run():
        exhaust_shares(keepers)
        await keepers[0].renew_shares()
        table.down = True
        clock.advance(60)
        await keepers[0].renew_shares()
        assert usable(keepers)[0] == 75
        clock.advance(16)
        await keepers[0].renew_shares()
        assert usable(keepers)[0] == 25

    asyncio.run(run())


def test_invalid_row_is_left_alone():
    broken = platform_table.Row(7, {'terms': 3})
    table = MemoryTable({ROW: broken})
    _, keepers = build_keepers(table)
    exhaust_shares(keepers)
    asyncio.run(keepers[0].renew_shares())
    assert table.rows[ROW] == broken
