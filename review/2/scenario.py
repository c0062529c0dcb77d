"""A planned stop while instances are at work, with a grace of 10 s."""

import asyncio
import json
import signal

import lab

GRACE_S = 10.0
SENT_AFTER_S = 4.0
WORK_S = 4.8
DEADLINE_MS = 10309
PREFIX = '/order/'
# Filatab's bounds for the large fleet (large/LATER.md).
BOUNDS = {'grace': '10s', 'contact': '4000ms', 'ack': '6000ms',
          'catch_up': '6s', 'drain': '3000ms', 'config_apply': '3000ms',
          'max_skew': '6000ms', 'retry_budget_extra': 430,
          'warmup_margin': 10}


async def look_up(world, vm):
    """Return the addresses and the lifetime that a client gets."""
    target = f'/resolve?name={lab.HOST}&region=ro-nord&zone=cluj-a'
    answer = await world.exchange(
        vm.listen['directory'], 'GET', target, {'Host': 'd'}, b'', 1.0)
    content = json.loads(answer.body)
    return content['addresses'], float(content['ttl'].removesuffix('s'))


async def scenario(record, trouble):
    async with lab.Lab(record, vms=3, bounds=BOUNDS) as world:
        for zone in lab.ZONES:
            for number in (1, 2):
                await world.add_instance(
                    f'orders-{zone}-{number}', 'orders', zone, work_s=WORK_S)
        world.configure(1, lab.rule(
            PREFIX, 'orders', kind='non_idempotent', timeout='10309ms'))
        await world.start_vms()
        addresses, ttl_s = await look_up(world, world.vms[0])
        looked_up = record.now()
        record.write(f'the directory answers {addresses} for {ttl_s} s')
        vm = next(vm for vm in world.vms if vm.listen['front'] in addresses)
        stopped = record.now()
        if trouble:
            record.write(f'SIGTERM to {vm.name}')
            vm.signal(signal.SIGTERM)
        await asyncio.sleep(SENT_AFTER_S)
        # Some clients keep an answer of the directory three times as long.
        if record.now() - looked_up > 3 * ttl_s:
            raise lab.CouldNotRun('the answer of the directory is too old')
        answers = await asyncio.gather(*(
            world.send(vm, 'POST', f'{PREFIX}{number}', DEADLINE_MS, b'order')
            for number in range(4)))
        lost = []
        for answer in answers:
            ran = any(run['id'] == answer.id for run in world.runs)
            whole = answer.status == 200 and answer.body.endswith(
                answer.id.encode())
            if ran and not whole:
                lost.append(
                    f'{answer.id} sent {answer.sent - stopped:.2f} s after'
                    f' SIGTERM was passed on to an instance and ended'
                    f' {answer.ended - stopped:.2f} s after SIGTERM with'
                    f' status {answer.status}; its instance needs {WORK_S} s')
        return lost


lab.main(__file__, scenario)
