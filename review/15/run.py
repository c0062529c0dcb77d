"""A request that crashes upstreams, and a kill of all edge processes.

TROUBLE=0 leaves the kill out; the request comes all the same.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib-3'))
import standins

ZONES = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
CONTACT_S = 3.0
POISON = '/browse/7'
# Seconds at which the request comes again, each time at another VM.
COMES_AT = (0, 1, 2, 3, 17, 18, 19, 20, 21, 22, 24, 26, 28, 30, 32, 34, 36)
KILL_AT = 10.0
RESTART_S = 0.5
LENGTH_S = 40.0
WORK_S = 0.02
# The pages allow three.
ALLOWED = 3


async def case(folder, trouble):
    world = standins.World(folder, ZONES)
    reached = []
    await world.start_store()

    def make_work(upstream):
        async def work(arrival):
            await asyncio.sleep(WORK_S)
            if arrival['target'] == POISON:
                reached.append(arrival['at'])
                return None
            return upstream.sound(arrival)

        return work

    for n, zone in enumerate(['a1', 'a2', 'b1'] * 2):
        upstream = await world.add_upstream(f'i-{n}', zone=zone)
        upstream.work = make_work(upstream)
    await world.store.put(
        'op',
        'config',
        standins.configuration(1, [standins.rule('/browse/')]),
    )
    world.make_vms(['a1', 'a2', 'b1'])
    outages = []
    try:
        await world.start_vms()
        await world.wait_ready()
        await asyncio.sleep(CONTACT_S + 0.5)
        begun = time.monotonic()

        async def send(request_id, vm, path):
            world.record.write('send', id=request_id, vm=vm.name, path=path)
            status, _, _ = await standins.request(
                vm.front,
                'GET',
                path,
                {'X-Request-Id': request_id, 'X-Request-Deadline-Ms': '2000'},
            )
            world.record.write('answer', id=request_id, status=status)

        async def poison():
            for number, at in enumerate(COMES_AT):
                await asyncio.sleep(max(0, begun + at - time.monotonic()))
                vm = world.vms[number % len(world.vms)]
                await send(f'poison-{number}', vm, POISON)

        async def sound(path):
            number = 0
            while time.monotonic() < begun + LENGTH_S:
                number += 1
                vm = world.vms[number % len(world.vms)]
                await send(f'sound-{path[-2:]}-{number}', vm, path)
                await asyncio.sleep(0.2)

        async def kill_all():
            if not trouble:
                return
            await asyncio.sleep(KILL_AT)
            killed = time.monotonic()
            await asyncio.gather(*(vm.kill() for vm in world.vms))
            world.record.write('all-killed')
            await asyncio.sleep(RESTART_S)
            await world.start_vms()
            outages.append((killed, time.monotonic() + CONTACT_S))
            world.record.write('all-started')

        await asyncio.gather(
            poison(), kill_all(), *(sound(f'/browse/{n}') for n in range(10, 15))
        )
    finally:
        await world.close()
    third = sorted(reached)[2] if len(reached) > 2 else float('inf')
    # Only what machines in touch have sent counts.
    late = [
        at
        for at in reached
        if at > third + CONTACT_S
        and not any(begin <= at < end for begin, end in outages)
    ]
    world.record.write(
        'result',
        crashes=[round(at - begun, 2) for at in reached],
        later_than_contact_after_the_third=len(late),
        allowed=ALLOWED,
    )
    print([round(at - begun, 2) for at in reached], f'{len(late)} late')
    return len(late) > ALLOWED


standins.main(case)
