"""Requests that a VM decides on at once all choose the same cold instance."""

import asyncio
import contextlib
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'harness'))

import standins  # noqa: E402

SERVICE = 'liste'
PATH = '/list/'
HOME = 'thies'
DEADLINE_MS = 3000
SLOTS, QUEUE = 9, 27
WORK_S = 0.22
WARMUP_S = 3.0
WARMUP_PER_S = 11.0
# FAILBACK: warmup_per_s x warmup_excess + warmup_margin.
LIMIT = WARMUP_PER_S * 1.5 + 5
# A cold instance crashes at a rate well above warmup_per_s.
CRASH_FACTOR = 1.2
# 40 clients send a request every 1.1 s: 36 a second. The site has 257 a second
# of list-browse at 9 machines, with waves of 0.55: up to 44 a second at each.
CLIENTS = 40
PERIOD_S = 1.1
# node_freeze has count = 1 and for_s = 4 on the pages.
FREEZE_AT_S = 1.6
FREEZE_S = 0.9


class ColdInstance(standins.Instance):
    """An instance that has just started, and crashes at too high a rate.

    Attributes:
        started: When it started.
        times: Client's sending and arrival of each request while it was cold.
        sent: Time at which the clients sent the requests, by identifier.
    """

    def __init__(self, *args, sent):
        super().__init__(*args)
        self.sent = sent
        self.started = time.monotonic()
        self.times = []
        self.has_crashed = False
        self.writers = set()

    def warmup_ms(self):
        """Return how much longer it is cold, in milliseconds."""
        age_s = time.monotonic() - self.started
        return max(0, round((WARMUP_S - age_s) * 1000))

    async def _beat(self):
        while True:
            self.seq += 1
            self.store.put(
                'servers',
                self.id,
                {
                    'service': self.service,
                    'address': self.address,
                    'zone': self.zone,
                    'version': 'v2',
                    'slots': self.slots,
                    'state': 'ready',
                    'warmup_left': f'{self.warmup_ms()}ms',
                    'seq': self.seq,
                    'born': self.born,
                },
            )
            await asyncio.sleep(1.5)

    def load(self):
        """Return the load header, in health responses with the warm-up."""
        return f'{super().load()}\r\nX-Warmup-Ms: {self.warmup_ms()}'

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        await super()._serve(reader, writer)

    async def _handle(self, reader, writer):
        return await super()._handle(_Watched(self, reader), writer)

    def arrive(self, request_id):
        """Record a request; crash if there are too many in a second."""
        now = time.monotonic()
        if not self.warmup_ms():
            return
        self.times.append((self.sent[request_id], now))
        self.record.write('arrives at cold', self.id, request_id)
        recent = [t for _, t in self.times if t > now - 1]
        if len(recent) > LIMIT * CRASH_FACTOR and not self.has_crashed:
            self.has_crashed = True
            self.record.say(
                f'{self.id} crashes: {len(recent)} requests in a second'
                f' while it is cold, {self.running} of them running'
            )
            self.beating.cancel()
            self.server.close()
            for writer in self.writers:
                standins.reset(writer)

    def most_in_a_second(self):
        """Return most requests that were sent and arrived in one second."""
        return max(
            (
                sum(
                    first <= sent and first <= arrived <= first + 1
                    for sent, arrived in self.times
                )
                for first, _ in self.times
            ),
            default=0,
        )


class _Watched:
    """Reads for a cold instance and tells it of each request."""

    def __init__(self, instance, reader):
        self.instance, self.reader = instance, reader

    async def readuntil(self, end):
        """Return a head, after the instance has counted the request."""
        head = await self.reader.readuntil(end)
        for line in head.decode('latin-1').split('\r\n'):
            if line.lower().startswith('x-request-id:'):
                self.instance.arrive(line.partition(':')[2].strip())
        return head

    def readexactly(self, size):
        """Return bytes of a body."""
        return self.reader.readexactly(size)


async def case(record, temporary):
    store = standins.Store(record)
    await store.start()
    arguments = (lambda path: WORK_S, SLOTS, QUEUE)
    instances = [
        standins.Instance(store, record, SERVICE, zone, *arguments)
        for zone in ('thies-nord', 'dakar-plateau', 'saint-louis-ile')
    ]
    for instance in instances:
        await instance.start()
    rule = standins.rule(
        'r-list', PATH, 'idempotent', SERVICE, '3000ms', '500ms'
    )
    rule['action']['home_regions'] = [HOME]
    store.put('op', 'config', standins.configuration(7, [rule], [SERVICE]))
    vm = standins.Vm(1, 'thies-nord', store, record, temporary)
    try:
        await vm.start()
        await vm.wait_ready()
        await asyncio.sleep(2)
        return await play(record, store, vm, instances, arguments)
    finally:
        await vm.end()


async def play(record, store, vm, instances, arguments):
    """Release the instance of the home region; freeze the VM meanwhile."""
    sent, outcomes, stop = {}, {}, asyncio.Event()
    clients = [
        asyncio.create_task(client(record, vm, number, sent, outcomes, stop))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(3)
    cold = ColdInstance(
        store, record, SERVICE, 'thies-nord', *arguments, sent=sent
    )
    await cold.start()
    record.say(f'release: {cold.id} starts cold, {instances[0].id} drains')
    await asyncio.sleep(0.3)
    instances[0].state = 'draining'
    instances[0].beating.cancel()
    instances[0].beating = asyncio.create_task(instances[0]._beat())
    await asyncio.sleep(FREEZE_AT_S - 0.3)
    if standins.has_trouble():
        record.say(f'{vm.name} freezes for {FREEZE_S} s')
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        vm.signal(signal.SIGCONT)
    else:
        await asyncio.sleep(FREEZE_S)
    await asyncio.sleep(1.5)
    stop.set()
    await asyncio.gather(*clients)
    most = cold.most_in_a_second()
    record.say(f'answers: {outcomes}')
    record.say(
        f'{cold.id} got {len(cold.times)} requests while it was cold, at most'
        f' {most} that were sent and arrived in one second; {LIMIT} are allowed'
    )
    return most <= LIMIT


async def client(record, vm, number, sent, outcomes, stop):
    """Send a request in each period, on a kept connection."""
    await asyncio.sleep(PERIOD_S * number / CLIENTS)
    writer = None
    turn = 0
    while not stop.is_set():
        turn += 1
        began = time.monotonic()
        request_id = f'c{number:02d}-{turn:03d}'
        outcome = 'closed'
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(
                    vm.ip, vm.ports['front']
                )
            sent[request_id] = time.monotonic()
            record.write('sent', request_id)
            writer.write(
                standins.request_head(
                    'GET', f'{PATH}{number}', request_id, DEADLINE_MS, None,
                    f'X-Affinity-Key: {number}',
                )
            )
            async with asyncio.timeout(DEADLINE_MS / 1000):
                status, _, _ = await standins.read_response(reader)
            outcome = str(status)
        except TimeoutError:
            outcome = 'timeout'
        except (OSError, EOFError):
            pass
        if outcome in ('timeout', 'closed') and writer is not None:
            writer.close()
            writer = None
        record.write('answer', request_id, outcome)
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
        left = began + PERIOD_S - time.monotonic()
        await asyncio.sleep(max(0.0, left))
    if writer is not None:
        writer.close()


if __name__ == '__main__':
    standins.run_case(FOLDER, case)
