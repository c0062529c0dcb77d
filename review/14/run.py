"""Beats of instances that a cut holds up, and that arrive after a newer one.

Two instances are cut off from the store, not from the machines. A beat that each
has sent just before stays in its connection and arrives when TCP sends it again.
Meanwhile the instances have reported that they are draining. TROUBLE=0 leaves the
cut out.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib-3'))
import standins

ZONES = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
# Bounds of the deployment of Omaheke.
BOUNDS = {
    **standins.BOUNDS,
    'contact': '4000ms',
    'ack': '5000ms',
    'catch_up': '6s',
    'drain': '3000ms',
    'config_apply': '3000ms',
    'warmup_margin': 8,
}
CONTACT_S = 4.0
DRAIN_S = 3.0
# `srv_cut`: share 0.2, 5 s.
INSTANCES = 10
CUT_OFF = 2
CUT_AT = 2.0
CUT_FOR_S = 4.0
# After the start of the cut. TCP sends the bytes again 0.2, 0.6, 1.4, 3.0 and
# 6.2 s later, the last time after the cut.
HELD_BEAT_S = 0.9
RESENT_AFTER_S = 6.2
LEAVE_S = 4.05
# They go on for `drain` and a little longer, then they exit.
EXIT_AFTER_S = DRAIN_S + 1.3
LENGTH_S = 14.0
WORK_S = 0.1
RATE_PER_S = 150.0


async def case(folder, trouble):
    world = standins.World(folder, ZONES, BOUNDS)
    await world.start_store()

    def make_work(upstream):
        async def work(arrival):
            await asyncio.sleep(WORK_S)
            return upstream.sound(arrival)

        return work

    for n in range(INSTANCES):
        upstream = await world.add_upstream(f'i-{n}', zone=list(ZONES)[n % 3])
        upstream.work = make_work(upstream)
    await world.store.put(
        'op',
        'config',
        standins.configuration(
            1,
            [
                standins.rule('/browse/'),
                standins.rule('/order/', kind='non_idempotent'),
            ],
        ),
    )
    world.make_vms(['a1', 'a2', 'b1'])
    acknowledged = {}
    answers = {}
    try:
        await world.start_vms()
        await world.wait_ready()
        await asyncio.sleep(CONTACT_S + 0.5)
        begun = time.monotonic()

        async def until(seconds):
            await asyncio.sleep(max(0.0, begun + seconds - time.monotonic()))

        async def client(number):
            method, path = [('POST', '/order/'), ('GET', '/browse/')][number % 2]
            vm = world.vms[number % len(world.vms)]
            request_id = f'c{number}'
            world.record.write('send', id=request_id, path=path, vm=vm.name)
            status, _, _ = await standins.request(
                vm.front,
                method,
                f'{path}{number % 50}',
                {'X-Request-Id': request_id, 'X-Request-Deadline-Ms': '2000'},
                f'order {number}'.encode() if method == 'POST' else b'',
            )
            world.record.write('answer', id=request_id, status=status)
            answers[method, status] = answers.get((method, status), 0) + 1

        async def load():
            tasks, number = [], 0
            while (now := time.monotonic()) < begun + LENGTH_S:
                while number < (now - begun) * RATE_PER_S:
                    tasks.append(asyncio.create_task(client(number)))
                    number += 1
                await asyncio.sleep(0.005)
            await asyncio.gather(*tasks)

        async def instance(leaving):
            await until(CUT_AT)
            if trouble:
                # No beat reaches the store during the cut.
                leaving.beating.cancel()
            await until(CUT_AT + HELD_BEAT_S)
            leaving.seq += 1
            held = leaving.entry()
            if trouble:
                world.record.write('beat-held-up', of=leaving.name, entry=held)
            else:
                await world.store.put('servers', leaving.name, held)
            await until(CUT_AT + LEAVE_S)
            leaving.state = 'draining'
            await leaving.write_row()
            acknowledged[leaving] = time.monotonic()
            world.record.write('drain-acknowledged', entry=leaving.entry())
            if trouble:
                leaving.beating = asyncio.create_task(leaving._beat())
                await until(CUT_AT + HELD_BEAT_S + RESENT_AFTER_S)
                await world.store.put('servers', leaving.name, held)
                world.record.write('held-beat-arrives', entry=held)
            await until(CUT_AT + LEAVE_S + EXIT_AFTER_S)
            leaving.exit()
            await world.store.remove('servers', leaving.name)
            world.record.write('left', upstream=leaving.name)

        await asyncio.gather(
            load(), *(instance(u) for u in world.upstreams[:CUT_OFF])
        )
    finally:
        await world.close()
    late = []
    for leaving, at in acknowledged.items():
        for arrival in leaving.arrivals:
            after_s = round(arrival['at'] - at, 3)
            if after_s > DRAIN_S:
                late.append(after_s)
                world.record.write(
                    'late-arrival',
                    upstream=leaving.name,
                    id=arrival['id'],
                    after_s=after_s,
                )
    world.record.write('answers', **{f'{m}_{s}': n for (m, s), n in answers.items()})
    print(f'{len(late)} requests later than drain, {answers}', late[:8])
    return bool(late)


standins.main(case)
