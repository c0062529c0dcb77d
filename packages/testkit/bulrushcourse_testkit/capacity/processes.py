"""Measures costs of idle entries that run as processes."""

import asyncio
import pathlib
import tempfile

from bulrushcourse_testkit import cluster as clusters
from bulrushcourse_testkit import overhead
from bulrushcourse_testkit.capacity import slopes

ENTRY_COUNTS = (3, 6, 9)
SETTLE_S = 6.0
MEASURE_S = 10.0


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process, in MiB.

    Args:
        pid: Process id.
    """
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(x for x in status.splitlines() if x.startswith('VmRSS'))
    return int(line.split()[1]) / 1024


async def measure_idle(count: int) -> dict[str, float]:
    """Return the mean CPU, memory and store calls of an idle entry.

    Args:
        count: Number of entries in the cluster.
    """
    example = clusters.example_objects('filatab')
    names = [entry.name for entry in example.entries][:count]
    with tempfile.TemporaryDirectory(prefix='bulrushcourse-') as directory:
        cluster = clusters.Cluster(pathlib.Path(directory), example, names)
        async with cluster:
            await asyncio.sleep(SETTLE_S)
            pids = [cluster.processes[n].process.pid for n in names]
            cpu = sum(map(overhead.cpu_seconds, pids))
            before = await cluster.observe(cluster.platform_port, 'counts')
            await asyncio.sleep(MEASURE_S)
            cpu = sum(map(overhead.cpu_seconds, pids)) - cpu
            after = await cluster.observe(cluster.platform_port, 'counts')
            memory = sum(map(resident_mib, pids)) / count
    entry_seconds = count * MEASURE_S
    return {
        'cpu_percent': cpu / entry_seconds * 100,
        'memory_mib': memory,
        'store_reads': (after['reads'] - before['reads']) / entry_seconds,
        'store_writes': (after['writes'] - before['writes']) / entry_seconds,
    }


def measure_entries() -> list[slopes.Slope]:
    """Return the costs of an idle entry by number of entries."""
    measured = {
        count: asyncio.run(measure_idle(count)) for count in ENTRY_COUNTS
    }
    units = {
        'cpu_percent': '% of a core',
        'memory_mib': 'MiB',
        'store_reads': 'reads/s',
        'store_writes': 'writes/s',
    }
    return [
        slopes.Slope(
            f'idle entry, {name}',
            'entries',
            unit,
            tuple(
                (count, figures[name]) for count, figures in measured.items()
            ),
        )
        for name, unit in units.items()
    ]
