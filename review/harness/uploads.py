"""A small deployment with uploads beside pledges on kept connections."""

import asyncio
import contextlib

import standins

DEADLINE_MS = 4000
PLEDGE_WORK_S = 0.7
PLEDGERS = 24
PLEDGE_BYTES = 300
PART = bytes(range(256)) * 256


class Site:
    """The processes of the case and what their clients saw.

    Attributes:
        lost: Requests from kept connections that were passed on to a sound
            instance and whose connection ended without an answer.
        outcomes: Number of uploads by outcome.
    """

    def __init__(self, record, vm, instances):
        self.record, self.vm, self.instances = record, vm, instances
        self.lost: list[str] = []
        self.outcomes: dict[str, int] = {}

    def is_up(self) -> bool:
        """Return whether the process has not ended."""
        return self.vm.process.returncode is None and not self.vm.ended

    def count(self, outcome: str) -> None:
        """Count the outcome of an upload."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    def held(self) -> bool:
        """Report, and return whether LOST held."""
        self.record.say(
            f'uploads: {self.outcomes}, largest memory of the process:'
            f' {self.vm.peak_mb:.0f} MB of {standins.MEMORY_MB} MB'
        )
        self.record.say(
            'requests that were passed on from kept connections and closed'
            f' without an answer: {len(self.lost)} (3 are allowed)'
        )
        return len(self.lost) <= 3


@contextlib.asynccontextmanager
async def deployment(record, temporary, upload_work_s):
    """Start store, instances, one VM and the clients with pledges."""
    store = standins.Store(record)
    await store.start()
    instances = [
        standins.Instance(store, record, service, zone, work, slots, 9)
        for zone in standins.ZONES
        for _ in range(2)
        for service, work, slots in (
            ('album', lambda path: upload_work_s, 3),
            ('promesse', lambda path: PLEDGE_WORK_S, 6),
        )
    ]
    for instance in instances:
        await instance.start()
    store.put(
        'op',
        'config',
        standins.configuration(
            7,
            [
                standins.rule(
                    'r-photo', '/photo/', 'upload', 'album', '4000ms', '600ms'
                ),
                standins.rule(
                    'r-pledge', '/pledge/', 'non_idempotent', 'promesse',
                    '4000ms', '600ms',
                ),
            ],
            ['album', 'promesse'],
        ),
    )
    vm = standins.Vm(1, 'thies-nord', store, record, temporary)
    watch = None
    try:
        await vm.start()
        await vm.wait_ready()
        await asyncio.sleep(2)
        record.say(f'{vm.name} is ready and takes {vm.rss_mb():.0f} MB')
        watch = asyncio.create_task(vm.watch())
        site = Site(record, vm, instances)
        stop = asyncio.Event()
        pledging = [
            asyncio.create_task(_pledge(site, number, stop))
            for number in range(PLEDGERS)
        ]
        await asyncio.sleep(2)
        yield site
        await asyncio.sleep(1)
        stop.set()
        await asyncio.gather(*pledging)
    finally:
        if watch is not None:
            watch.cancel()
        await vm.end()


async def send(record, site, request_id, size, limit_s):
    """Send an upload and return its status, or how it ended.

    The client leaves after a time limit.
    """
    vm = site.vm
    try:
        reader, writer = await asyncio.open_connection(
            vm.ip, vm.ports['front']
        )
    except OSError:
        return 'no connection'
    outcome = 'left'
    try:
        async with asyncio.timeout(limit_s):
            writer.write(
                standins.request_head(
                    'POST', '/photo/a', request_id, DEADLINE_MS, size
                )
            )
            for _ in range(size // len(PART)):
                writer.write(PART)
                await writer.drain()
            record.write('sent', request_id, size)
            status, _, _ = await standins.read_response(reader)
            outcome = str(status)
    except TimeoutError:
        pass
    except (OSError, EOFError):
        outcome = 'closed'
    finally:
        standins.reset(writer)
    record.write('upload', request_id, outcome)
    return outcome


async def _pledge(site, number, stop):
    """Send pledges on a kept connection until told to stop."""
    vm, record = site.vm, site.record
    writer = None
    turn = served = 0
    while not stop.is_set() and site.is_up():
        turn += 1
        request_id = f'p{number:02d}-{turn:03d}'
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(
                    vm.ip, vm.ports['front']
                )
                served = 0
            writer.write(
                standins.request_head(
                    'POST', '/pledge/a', request_id, DEADLINE_MS, PLEDGE_BYTES
                )
                + b'x' * PLEDGE_BYTES
            )
            status, headers, _ = await standins.read_response(reader)
            record.write('pledge', request_id, status)
            served += 1
            if headers.get('connection', '').lower() != 'close':
                continue
        except (OSError, EOFError) as error:
            passed_on = any(request_id in i.arrived for i in site.instances)
            record.write(
                f'pledge {request_id} got no answer: {error!r}; served before'
                f' on this connection: {served}; passed on: {passed_on}'
            )
            if passed_on and served:
                site.lost.append(request_id)
        if writer is not None:
            writer.close()
        writer = None
    if writer is not None:
        writer.close()
