"""Guards against shares that are lost or doubled when the store fails."""

import asyncio
import random

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects
from bulrushcourse_entry.limits import limit_manager
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


def build_managers(table):
    clock = clocks.ManualClock()
    vms = FixedList(
        tuple(vm_list.VmRecord(f'vm-{n}', n, '', '', 'live') for n in 'ab')
    )
    managers = [
        limit_manager.LimitManager(
            clock, random.Random(n), table, vms, f'vm-{n}/1', (f'vm-{n}', n)
        )
        for n in 'ab'
    ]
    for manager in managers:
        manager.configure(configuration())
    return clock, managers


def exhaust_shares(managers):
    for manager in managers:
        manager.limits['shift'].record_use(True)


def usable(managers):
    return [manager.limits['shift'].shares.usable for manager in managers]


def test_write_with_lost_response_is_recognised_in_the_next_round():
    table = MemoryTable(lose_answers=True)
    _, managers = build_managers(table)

    async def run():
        exhaust_shares(managers)
        await managers[0].renew_shares()
        assert usable(managers) == [0, 0]
        exhaust_shares(managers)
        await managers[0].renew_shares()
        assert usable(managers) == [50, 0]

    asyncio.run(run())


def test_concurrent_writers_divide_the_elastic_half():
    """Guards against a conflict that counts as a grant."""
    table = MemoryTable()
    clock, managers = build_managers(table)

    async def run():
        for _ in range(3):
            exhaust_shares(managers)
            await asyncio.gather(
                *(manager.renew_shares() for manager in managers)
            )
            assert sum(usable(managers)) <= 50
        assert usable(managers) == [25, 25]
        clock.advance(1.1)
        assert usable(managers) == [50, 50]

    asyncio.run(run())


def test_outage_leaves_the_floor_share():
    table = MemoryTable()
    clock, managers = build_managers(table)

    async def run():
        exhaust_shares(managers)
        await managers[0].renew_shares()
        table.down = True
        clock.advance(60)
        await managers[0].renew_shares()
        assert usable(managers)[0] == 75
        clock.advance(16)
        await managers[0].renew_shares()
        assert usable(managers)[0] == 25

    asyncio.run(run())


def test_invalid_row_is_left_alone():
    broken = platform_table.Row(7, {'terms': 3})
    table = MemoryTable({ROW: broken})
    _, managers = build_managers(table)
    exhaust_shares(managers)
    asyncio.run(managers[0].renew_shares())
    assert table.rows[ROW] == broken
