"""All open connections to the store go silent; the configuration changes."""

import asyncio

import lab

CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
PREFIX = '/browse/'


async def scenario(record, trouble):
    async with lab.Lab(record, vms=3, relay_store=True) as world:
        for zone in lab.ZONES:
            for service in ('catalog', 'orders'):
                for number in (1, 2):
                    await world.add_instance(
                        f'{service}-{zone}-{number}', service, zone)
        world.configure(1, lab.rule(PREFIX, 'catalog'))
        await world.start_vms()
        world.configure(2, lab.rule(PREFIX, 'catalog'))
        await asyncio.sleep(0.3)
        silenced = world.record.now()
        if trouble:
            count = sum(relay.silence_open() for relay in world.relays)
            record.write(f'{count} open connections to the store go silent')
        await asyncio.sleep(1.0)
        acknowledged = world.configure(3, lab.rule(PREFIX, 'orders'))
        bound = max(acknowledged + CONFIG_APPLY_S, silenced + CONTACT_S)
        old = []

        async def ask(vm):
            answer = await world.send(vm, 'GET', f'{PREFIX}a')
            ran = [run for run in world.runs if run['id'] == answer.id]
            for run in ran:
                if answer.sent > bound and run['service'] == 'catalog':
                    old.append(
                        f'{answer.id} sent at {answer.sent:.2f} to {vm.name}'
                        f' ran at the old service; version 3 was acknowledged'
                        f' at {acknowledged:.2f}, all connections were'
                        f' silenced at {silenced:.2f}')

        while record.now() < silenced + 10.0:
            for vm in world.vms:
                world.spawn(ask(vm))
            await asyncio.sleep(0.2)
        await asyncio.sleep(2.0)
        return old


lab.main(__file__, scenario)
