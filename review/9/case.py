"""Requests of a route that isn't idempotent run twice."""

import asyncio
import collections
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'harness'))

import standins  # noqa: E402

SERVICE = 'bundler'
PATH = '/bundle/'
KIND = 'download'
DEADLINE_MS = 4000
# Below the shortest time after which the VM sends a request once more, so that
# it does not without the disruption.
WORK_S = 0.08
# The site files have answer_lost (reset) with share = 0.5, x = 0.05, for_s = 4.
SHARE = 0.5
LOST = 0.05
TROUBLE_S = 4.0
CLIENTS = 12


class LosingInstance(standins.Instance):
    """An instance that runs some requests and loses their answers.

    Attributes:
        loses: Returns whether the answer to a request is lost.
    """

    loses = staticmethod(lambda: False)

    async def _handle(self, reader, writer):
        return await super()._handle(reader, _Losing(self, writer))


class _Losing:
    """Writes answers of an instance, or resets the connection instead."""

    def __init__(self, instance, writer):
        self.instance, self.writer = instance, writer

    def write(self, content):
        """Write an answer unless it is lost."""
        if b'X-Server-Signature' in content and self.instance.loses():
            self.instance.record.write('answer lost at', self.instance.id)
            standins.reset(self.writer)
            raise OSError('answer lost')
        self.writer.write(content)

    async def drain(self):
        """Wait until what was written is sent."""
        await self.writer.drain()


async def case(record, temporary):
    store = standins.Store(record)
    await store.start()
    instances = [
        LosingInstance(store, record, SERVICE, zone, lambda path: WORK_S, 3, 9)
        for zone in standins.ZONES
        for _ in range(2)
    ]
    for instance in instances:
        await instance.start()
    rule = standins.rule(
        'r-bundle', PATH, KIND, SERVICE, '4000ms', '500ms', priority=2
    )
    store.put('op', 'config', standins.configuration(7, [rule], [SERVICE]))
    vm = standins.Vm(1, 'thies-nord', store, record, temporary)
    try:
        await vm.start()
        await vm.wait_ready()
        await asyncio.sleep(2)
        return await play(record, vm, instances)
    finally:
        await vm.end()


async def play(record, vm, instances):
    """Send downloads while instances lose answers."""
    outcomes, stop = collections.Counter(), asyncio.Event()
    clients = [
        asyncio.create_task(client(record, vm, number, outcomes, stop))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(2)
    rng = random.Random(1)
    losing = instances[: round(len(instances) * SHARE)]
    if standins.has_trouble():
        record.say(f'{len(losing)} instances lose answers')
        for instance in losing:
            instance.loses = lambda: rng.random() < LOST
    await asyncio.sleep(TROUBLE_S)
    for instance in losing:
        instance.loses = lambda: False
    await asyncio.sleep(1)
    stop.set()
    await asyncio.gather(*clients)
    runs = collections.Counter(r for i in instances for r in i.ran)
    twice = [request_id for request_id, count in runs.items() if count > 1]
    record.say(f'requests: {len(runs)}, answers: {dict(outcomes)}')
    record.say(f'ran more than once: {len(twice)} {twice[:5]}')
    return not twice


async def client(record, vm, number, outcomes, stop):
    """Send downloads one after the other, each on a new connection."""
    turn = 0
    while not stop.is_set():
        turn += 1
        request_id = f'd{number:02d}-{turn:03d}'
        outcome = 'closed'
        try:
            reader, writer = await asyncio.open_connection(
                vm.ip, vm.ports['front']
            )
            record.write('sent', request_id)
            writer.write(
                standins.request_head(
                    'GET', f'{PATH}{number}', request_id, DEADLINE_MS
                )
            )
            status, _, _ = await standins.read_response(reader)
            outcome = str(status)
            writer.close()
        except (OSError, EOFError):
            pass
        record.write('answer', request_id, outcome)
        outcomes[outcome] += 1
        await asyncio.sleep(0.05)


if __name__ == '__main__':
    standins.run_case(FOLDER, case)
