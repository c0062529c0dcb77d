"""A VM wakes after a freeze in which instances left; the store was down before."""

import asyncio
import random
import signal
import time

import lab

OUTAGE_S = 4.5
FREEZE_S = 4.0
CONTACT_S = 3.0
DRAIN_S = 2.0
# An instance that left goes on serving "at times many seconds".
LINGER_S = 14.0


async def play(world, record, trouble, rng, turn):
    """Play the disruptions once and return the violations."""
    if trouble:
        record.write('the store refuses all calls')
        world.store.refusing = True
    await asyncio.sleep(OUTAGE_S)
    world.store.refusing = False
    back = time.monotonic()
    record.write('the store serves again')
    await asyncio.sleep(10.0)
    # The VM that is frozen is one that has not needed the store itself for
    # the list of instances since the outage.
    readers = {
        caller for at, caller, path, table in world.store.served
        if at > back and path == '/rows-get' and table == 'servers'}
    record.write(f'read the list themselves: {sorted(readers)}')
    quiet = [vm for vm in world.vms if vm.name not in readers]
    vm = quiet[0] if quiet else world.vms[-1]
    if trouble:
        record.write(f'{vm.name} freezes')
        vm.signal(signal.SIGSTOP)
    frozen = time.monotonic()
    left = {}
    current = [i for i in world.instances if i.registered]
    same_zone = [i for i in current if i.zone == vm.zone]
    others = [i for i in current if i.zone != vm.zone]
    # 5 of 12 are replaced one after the other: share 0.45.
    for instance in same_zone[:2] + rng.sample(others, 3):
        await world.add_instance(
            f'{instance.name}-{turn}', 'catalog', instance.zone)
        instance.deregister()
        left[instance.name] = record.now()
        await asyncio.sleep(0.86)
    await asyncio.sleep(max(0.0, frozen + FREEZE_S - time.monotonic()))
    woke = record.now()
    if trouble:
        vm.signal(signal.SIGCONT)
        record.write(f'{vm.name} wakes')
    await asyncio.sleep(LINGER_S - FREEZE_S)
    for instance in world.instances:
        if instance.name in left:
            instance.stop()
    await asyncio.sleep(2.5)
    return [
        f'{run["id"]} reached {run["instance"]} at {run["at"]:.2f},'
        f' {run["at"] - left[run["instance"]]:.1f} s after its row was'
        f' removed and {run["at"] - woke:.1f} s after {vm.name} woke'
        for run in world.runs
        if run['instance'] in left
        and run['at'] > left[run['instance']] + DRAIN_S
        and run['at'] > woke + CONTACT_S
    ]


async def scenario(record, trouble):
    async with lab.Lab(record, vms=6) as world:
        for zone in lab.ZONES:
            for number in (1, 2, 3, 4):
                await world.add_instance(
                    f'catalog-{zone}-{number}', 'catalog', zone)
        world.configure(1, lab.rule('/browse/', 'catalog'))
        await world.start_vms()
        rng = random.Random(5)

        async def browse():
            while True:
                vm = rng.choice(world.vms)
                world.spawn(world.send(
                    vm, 'GET', f'/browse/{rng.randrange(60)}'))
                await asyncio.sleep(0.02)

        world.spawn(browse())
        await asyncio.sleep(2.0)
        # Whether the VM hears from the store or from another VM first is a
        # matter of chance, so that the disruptions are played twice if needed.
        for turn in (1, 2):
            broken = await play(world, record, trouble, rng, turn)
            if broken:
                return broken
        return []


lab.main(__file__, scenario)
