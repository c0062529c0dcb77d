"""One route with a long prefix keeps every later configuration out of force."""

import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'harness'))

import standins  # noqa: E402

DEADLINE_MS = 2000
WORK_S = 0.05
CONFIG_APPLY_S = 2.5
CHANGES = 2
# Requests on the route that each change adds, and on the one that it moves.
REQUESTS = 20
LONG_SEGMENTS = 21
SHORT_SEGMENTS = 3


def rules(changes, segments):
    """Return the rules after some changes.

    The first one moves the lists to another service and adds a route; each
    later one adds a route with a short prefix.
    """
    lists = 'liste' if not changes else 'album'
    found = [
        standins.rule('r-list', '/list/', 'idempotent', lists, '3000ms', '500ms')
    ]
    for number in range(1, changes + 1):
        found.append(
            standins.rule(
                f'r-added-{number}', added(number, segments), 'idempotent',
                'album', '3000ms', '500ms',
            )
        )
    return found


def added(number, segments):
    """Return the prefix of the route that a change adds."""
    if number > 1:
        return f'/added-{number}/'
    return '/' + 'wedding-92/' * segments


async def case(record, temporary):
    store = standins.Store(record)
    await store.start()
    instances = [
        standins.Instance(store, record, service, zone, lambda path: WORK_S, 9, 27)
        for zone in standins.ZONES
        for service in ('liste', 'album')
    ]
    for instance in instances:
        await instance.start()
    services = ['liste', 'album']
    store.put('op', 'config', standins.configuration(7, rules(0, 0), services))
    vms = [
        standins.Vm(number, zone, store, record, temporary)
        for number, zone in enumerate(
            ('thies-nord', 'dakar-plateau', 'saint-louis-ile')
        )
    ]
    for vm in vms:
        vm.seeds = [other.address('control') for other in vms]
    segments = LONG_SEGMENTS if standins.has_trouble() else SHORT_SEGMENTS
    broken = 0
    try:
        for vm in vms:
            await vm.start()
        for vm in vms:
            await vm.wait_ready()
        # The machines have been in touch for contact.
        await asyncio.sleep(5)
        for change in range(1, CHANGES + 1):
            document = standins.configuration(
                7 + 3 * change, rules(change, segments), services
            )
            store.put('op', 'config', document)
            record.say(
                f'version {document["version"]} is acknowledged; its longest'
                f' prefix has {len(added(1, segments))} bytes'
            )
            await asyncio.sleep(CONFIG_APPLY_S + 0.5)
            broken += await check(record, vms, instances, change, segments)
    finally:
        for vm in vms:
            await vm.end()
    record.say(f'requests handled as only an older version allows: {broken}')
    return not broken


async def check(record, vms, instances, change, segments):
    """Send requests to each VM; return how many an older version explains."""
    broken = 0
    paths = ['/list/'] + [
        added(number, segments) for number in range(1, change + 1)
    ]
    for vm in vms:
        seen = collections.Counter()
        for number in range(REQUESTS):
            for place, path in enumerate(paths):
                request_id = f'{vm.name}-{change}-{place}-{number}'
                status = await send(record, vm, path + '1', request_id)
                old = any(
                    i.service == 'liste' and request_id in i.ran
                    for i in instances
                )
                outcome = f'{path[:12]}: {status}{" by liste" if old else ""}'
                seen[outcome] += 1
                broken += status == 404 or old
        record.say(f'{vm.name}: {dict(seen)}')
    return broken


async def send(record, vm, path, request_id):
    """Send a request and return its status."""
    reader, writer = await asyncio.open_connection(vm.ip, vm.ports['front'])
    try:
        record.write('sent', request_id, path)
        writer.write(standins.request_head('GET', path, request_id, DEADLINE_MS))
        status, _, _ = await standins.read_response(reader)
    except (OSError, EOFError):
        status = 0
    finally:
        writer.close()
    record.write('answer', request_id, status)
    return status


if __name__ == '__main__':
    standins.run_case(FOLDER, case)
