"""Measures look-ups and client blocks at the design size.

Run it with ``python -m bulrushcourse_testkit.measure_lookups``.
"""

import random
import resource
import time
import typing

from bulrushcourse_domain.membership import lookup
from bulrushcourse_domain.membership import member
from bulrushcourse_domain.routing import blocks

SEED = 1
BLOCKS = 1_400_000
SITES = 170
CALLERS = 20_000
REGIONS = 4
# One block in four is IPv6.
IPV6_EVERY = 4


def generate_blocks(
    number: int, source: random.Random
) -> typing.Iterator[tuple[str, str]]:
    """Yield random client prefixes, each with a random site.

    Args:
        number: Number of prefixes.
        source: Random source.
    """
    for index in range(number):
        site = f'site-{source.randrange(SITES)}'
        if index % IPV6_EVERY:
            octets = (source.randrange(1, 224), source.randrange(256))
            yield f'{octets[0]}.{octets[1]}.{source.randrange(256)}.0/24', site
        else:
            groups = [f'{source.randrange(1 << 16):x}' for _ in range(3)]
            yield f'2001:{":".join(groups)}::/64', site


def peak_mb() -> float:
    """Return the peak resident memory of this process, in MB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000


def mean_us(
    function: typing.Callable[[str], typing.Any], values: list[str]
) -> float:
    """Return the mean CPU time of a call, in microseconds.

    Args:
        function: Function to time.
        values: Arguments, one for each call.
    """
    started = time.process_time()
    for value in values:
        function(value)
    return (time.process_time() - started) / len(values) * 1e6


def measure_blocks() -> None:
    """Print memory, build time and look-up time of client blocks."""
    source = random.Random(SEED)
    callers = [
        f'{source.randrange(1, 224)}.{source.randrange(256)}.1.9'
        for _ in range(CALLERS)
    ]
    before = peak_mb()
    started = time.process_time()
    compact = blocks.build_blocks(generate_blocks(BLOCKS, source))
    elapsed = time.process_time() - started
    print(
        f'{BLOCKS} blocks: arrays {compact.size_bytes / 1e6:.1f} MB, peak '
        f'{peak_mb() - before:.1f} MB above {before:.1f} MB, built (with the '
        f'generator) in {elapsed:.1f} s; '
        f'look-up {mean_us(compact.place, callers):.1f} us'
    )


def measure_lookups(entries: int) -> None:
    """Print the time of look-ups among a number of entries.

    Args:
        entries: Number of entries, spread over the regions.
    """
    members = tuple(
        member.MemberInfo(
            f'entry-{index}',
            f'run-{index}',
            f'vm-{index}',
            f'region-{index % REGIONS}',
            f'domain-{index % 9}',
        )
        for index in range(entries)
    )
    entry_lookup = lookup.Lookup(members)
    callers = [f'10.{i >> 8}.{i & 255}.7' for i in range(CALLERS)]

    def answer(caller: str) -> lookup.Answer:
        return entry_lookup.answer(caller, 'region-1')

    cold, warm = mean_us(answer, callers), mean_us(answer, callers)
    print(
        f'{entries} entries: look-up {cold:.1f} us while buckets are filled, '
        f'{warm:.2f} us afterwards'
    )


if __name__ == '__main__':
    measure_lookups(11)
    measure_lookups(640)
    measure_blocks()
