"""Measures costs of decisions and encodings in this process."""

import functools
import random
import time
import tracemalloc
import typing

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.membership import lookup
from bulrushcourse_domain.membership import member
from bulrushcourse_domain.routing import blocks
from bulrushcourse_domain.slots import pool as slot_pool
from bulrushcourse_domain.slots import requests
from bulrushcourse_testkit.capacity import slopes
from bulrushcourse_wire import documents
from bulrushcourse_wire import frames
from bulrushcourse_wire import messages

SEED = 1
ENTRY_COUNTS = (40, 160, 640)
BLOCK_COUNTS = (50_000, 200_000, 800_000)
POOL_SIZES = (16, 64, 256)
INSTANCE_COUNTS = (40, 200, 1000)
LOOKUPS = 50_000
GRANTS = 5_000
REPEATS = 3
US_PER_S = 1e6
HEARTBEAT = messages.Heartbeat(
    'serving', 1234, True, 'ro-nord', '10.0.0.1:80', 17
)


def min_cpu_s(
    action: typing.Callable[[], object], repeats: int = REPEATS
) -> float:
    """Return the shortest CPU time of several runs, in seconds.

    Args:
        action: Function to time.
        repeats: Number of runs.
    """
    timings = []
    for _ in range(repeats):
        start = time.process_time()
        action()
        timings.append(time.process_time() - start)
    return min(timings)


def measure_lookups() -> slopes.Slope:
    """Return the CPU time of a look-up by number of entries."""
    points = []
    for count in ENTRY_COUNTS:
        members = tuple(
            member.MemberInfo(f'e{n}', f'i{n}', f'v{n}', f'region-{n % 4}')
            for n in range(count)
        )
        entry_lookup = lookup.Lookup(members)
        callers = [f'10.{n % 250}.{n // 250}.1' for n in range(LOOKUPS)]

        run_lookups = functools.partial(_answer_all, entry_lookup, callers)
        run_lookups()
        points.append((count, min_cpu_s(run_lookups) / LOOKUPS * US_PER_S))
    return slopes.Slope(
        'look-up answer, members unchanged', 'entries', 'us', tuple(points)
    )


def measure_lookup_rebuild() -> slopes.Slope:
    """Return the CPU time to reorder one bucket after a member change."""
    points = []
    for count in ENTRY_COUNTS:
        members = tuple(
            member.MemberInfo(f'e{n}', f'i{n}', f'v{n}', f'region-{n % 4}')
            for n in range(count)
        )
        callers = [f'10.{n % 250}.{n // 250}.1' for n in range(2_000)]

        seconds = min(
            min_cpu_s(
                functools.partial(
                    _answer_all, lookup.Lookup(members), callers
                ),
                repeats=1,
            )
            for _ in range(REPEATS)
        )
        points.append((count, seconds / len(callers) * US_PER_S))
    return slopes.Slope(
        'ordering of one bucket after a change',
        'entries',
        'us',
        tuple(points),
    )


def measure_blocks() -> list[slopes.Slope]:
    """Return memory and CPU time of client blocks by number of blocks."""
    source = random.Random(SEED)
    memory, times, builds = [], [], []
    for count in BLOCK_COUNTS:
        prefixes = [
            (f'{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}.0/24', f's{n % 170}')
            for n in source.sample(range(1 << 24), count)
        ]
        start = time.process_time()
        table = blocks.build_blocks(prefixes)
        builds.append((count, time.process_time() - start))
        memory.append((count, table.size_bytes / 2**20))
        callers = [prefix[:-5] + '.7' for prefix, _ in prefixes[:20_000]]

        seconds = min_cpu_s(functools.partial(_place_all, table, callers))
        times.append((count, seconds / len(callers) * US_PER_S))
    return [
        slopes.Slope('client blocks, table', 'blocks', 'MiB', tuple(memory)),
        slopes.Slope('client block look-up', 'blocks', 'us', tuple(times)),
        slopes.Slope('client blocks, build', 'blocks', 's', tuple(builds)),
    ]


def measure_grants() -> slopes.Slope:
    """Return the CPU time of a slot request and its release at the owner."""
    points = []
    classes = {'short': objects.RequestClass('short', 1, 5000)}
    for count in POOL_SIZES:
        clock = clocks.ManualClock()
        pool = slot_pool.SlotPool(clock, classes)
        pool.set_instances({f'i{n}': 5 for n in range(count)})
        run = functools.partial(_grant_repeatedly, pool, clock)
        points.append((count, min_cpu_s(run) / GRANTS * US_PER_S))
    return slopes.Slope(
        'grant and release of a slot', 'instances', 'us', tuple(points)
    )


def measure_messages() -> dict[str, float]:
    """Return size and CPU time of a heartbeat."""
    number = 20_000
    sealer = frames.FrameSealer(b'key')

    def send() -> None:
        for _ in range(number):
            sealer.seal(frames.encode_message(HEARTBEAT))

    payload = frames.encode_message(HEARTBEAT)

    def receive() -> None:
        for _ in range(number):
            sealer.auth_code(payload)
            frames.decode_message(payload)

    return {
        'heartbeat_bytes': len(sealer.seal(payload)),
        'heartbeat_send_us': round(min_cpu_s(send) / number * US_PER_S, 2),
        'heartbeat_receive_us': round(
            min_cpu_s(receive) / number * US_PER_S, 2
        ),
    }


def measure_configuration(example: objects.Objects) -> list[slopes.Slope]:
    """Return size, memory and CPU time of a configuration by its instances.

    Args:
        example: Configuration whose first pool is enlarged.
    """
    sizes, times, memory = [], [], []
    pool = example.pools[0]
    for count in INSTANCE_COUNTS:
        instances = tuple(
            objects.Instance(f'x{n}', pool.instances[0].place, f'10.0.0.1:{n}')
            for n in range(1, count + 1)
        )
        enlarged = objects.Objects(
            **{
                'places': example.places,
                'entries': example.entries,
                'request_classes': example.request_classes,
                'pools': (
                    objects.Pool(pool.name, 5, 400, instances),
                    *example.pools[1:],
                ),
                'services': example.services,
                'limits': example.limits,
            }
        )
        text = documents.render_document(enlarged)
        sizes.append((count, len(text) / 1024))
        times.append(
            (
                count,
                min_cpu_s(
                    lambda text=text: documents.parse_configuration(1, text)
                )
                * 1000,
            )
        )
        tracemalloc.start()
        loaded = documents.parse_configuration(1, text)
        memory.append((count, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
        del loaded
    unit = 'instances'
    return [
        slopes.Slope('configuration, document', unit, 'KiB', tuple(sizes)),
        slopes.Slope('configuration, check', unit, 'ms', tuple(times)),
        slopes.Slope('configuration, memory', unit, 'KiB', tuple(memory)),
    ]


def _answer_all(entry_lookup: lookup.Lookup, callers: list[str]) -> None:
    for caller in callers:
        entry_lookup.answer(caller, 'region-1')


def _place_all(table: blocks.ClientBlocks, callers: list[str]) -> None:
    for caller in callers:
        table.place(caller)


def _grant_repeatedly(
    pool: slot_pool.SlotPool, clock: clocks.ManualClock
) -> None:
    for number in range(GRANTS):
        clock.advance(0.001)
        name = f'{clock.now}/{number}'
        request = requests.SlotRequest(name, 'e', 'short', clock.now + 5.0)
        pool.request(request)
        pool.release(name, requests.ReleaseOutcome.DONE, 0.02)
