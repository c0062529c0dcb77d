"""A request that crashes upstreams, beside sound requests for its path.

Two client accounts send requests. Those of the account ``broken`` for one
path crash each upstream that begins to run them; the same path is harmless
for the other account. TROUBLE=0 leaves the requests of ``broken`` out.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib-3'))
import standins

ZONES = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
CONTACT_S = 4.0
# Bounds of the deployment of Omaheke, which has client accounts.
BOUNDS = {
    **standins.BOUNDS,
    'contact': '4000ms',
    'drain': '3000ms',
    'config_apply': '3000ms',
    'strict_revoke': True,
    'revoke': '5000ms',
    'quota_window': '5s',
    'quota_excess': 0.1,
    'quota_margin': 20,
    'warmup_margin': 8,
}
KEYS = {'broken': 'key-of-broken', 'sound': 'key-of-sound'}
PATHS = [f'/browse/{n}' for n in range(10)]
POISON = ('GET', '/browse/7', 'broken')
LENGTH_S = 40.0
WORK_S = 0.02
# The pages allow three.
ALLOWED = 3


async def case(folder, trouble):
    world = standins.World(folder, ZONES, BOUNDS)
    reached = []
    await world.start_store()

    def make_work(upstream):
        async def work(arrival):
            await asyncio.sleep(WORK_S)
            sent = arrival['method'], arrival['target'], arrival['tenant']
            if sent == POISON:
                reached.append((arrival['at'], arrival['id']))
                return None
            return upstream.sound(arrival)

        return work

    for n, zone in enumerate(['a1', 'a2', 'b1'] * 2):
        upstream = await world.add_upstream(f'i-{n}', zone=zone)
        upstream.work = make_work(upstream)
    await world.store.put(
        'op',
        'config',
        standins.configuration(1, [standins.rule('/browse/')], KEYS.items()),
    )
    world.make_vms(['a1', 'a2', 'b1'])
    answers = {}
    try:
        await world.start_vms()
        await world.wait_ready()
        await asyncio.sleep(CONTACT_S + 0.5)
        ends = time.monotonic() + LENGTH_S

        async def client(account, path, interval_s):
            number = 0
            while time.monotonic() < ends:
                number += 1
                vm = world.vms[number % len(world.vms)]
                request_id = f'{account}-{path[-1]}-{number}'
                world.record.write('send', id=request_id, vm=vm.name)
                status, _, _ = await standins.request(
                    vm.front,
                    'GET',
                    path,
                    {
                        'X-Request-Id': request_id,
                        'X-Request-Deadline-Ms': '2000',
                        'Api-Key': KEYS[account],
                    },
                )
                world.record.write('answer', id=request_id, status=status)
                key = account, status
                answers[key] = answers.get(key, 0) + 1
                await asyncio.sleep(interval_s)

        tasks = [client('sound', path, 0.2) for path in PATHS]
        if trouble:
            tasks.append(client('broken', POISON[1], 1.0))
        await asyncio.gather(*tasks)
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
