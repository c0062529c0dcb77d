"""A request that crashes upstreams after the first bytes of their answers.

TROUBLE=0 leaves this request out.
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
COMES_EVERY_S = 2.0
LENGTH_S = 30.0
WORK_S = 0.02
# The pages allow three.
ALLOWED = 3


async def case(folder, trouble):
    world = standins.World(folder, ZONES)
    reached = []
    answers = {}
    await world.start_store()

    def make_work(upstream):
        async def work(arrival):
            await asyncio.sleep(WORK_S)
            if arrival['target'] != POISON:
                return upstream.sound(arrival)
            reached.append((arrival['at'], arrival['id']))
            # The answer begins while the request runs, which ends the process.
            whole = upstream.sound(arrival)
            for writer in arrival['writers']:
                writer.write(whole[:-4])
                await writer.drain()
            await asyncio.sleep(WORK_S)
            return None

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
    try:
        await world.start_vms()
        await world.wait_ready()
        await asyncio.sleep(CONTACT_S + 0.5)
        ends = time.monotonic() + LENGTH_S

        async def client(name, path, interval_s):
            number = 0
            while time.monotonic() < ends:
                number += 1
                vm = world.vms[number % len(world.vms)]
                request_id = f'{name}-{number}'
                world.record.write('send', id=request_id, vm=vm.name, path=path)
                status, _, _ = await standins.request(
                    vm.front,
                    'GET',
                    path,
                    {
                        'X-Request-Id': request_id,
                        'X-Request-Deadline-Ms': '2000',
                    },
                )
                world.record.write('answer', id=request_id, status=status)
                key = name.split('-')[0], status
                answers[key] = answers.get(key, 0) + 1
                await asyncio.sleep(interval_s)

        clients = [client(f'sound-{n}', f'/browse/{n}', 0.1) for n in range(10, 16)]
        if trouble:
            clients.append(client('poison', POISON, COMES_EVERY_S))
        await asyncio.gather(*clients)
    finally:
        await world.close()
    # A client's own retries are new requests: only arrivals beyond the first of
    # each request are retries.
    late, seen = [], set()
    third = sorted(reached)[2][0] if len(reached) > 2 else float('inf')
    for at, request_id in sorted(reached):
        if request_id in seen and at > third + CONTACT_S:
            late.append(request_id)
        seen.add(request_id)
    world.record.write(
        'result',
        crashes=len(reached),
        requests=len(seen),
        retries_later_than_contact_after_the_third=len(late),
        allowed=ALLOWED,
        answers=answers,
    )
    print(f'{len(reached)} crashes, {len(late)} late retries, {answers}')
    return len(late) > ALLOWED


standins.main(case)
