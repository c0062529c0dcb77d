"""Measures the latency that an entry adds to a call, and its CPU time.

Run it with ``python -m bulrushcourse_testkit.overhead``. Rounds of direct
calls and of calls through the entry alternate, so that noise of the machine
affects both alike.
"""

import asyncio
import json
import os
import pathlib
import statistics
import tempfile
import time
import typing

import aiohttp
import attrs

from bulrushcourse_testkit import cluster as clusters

ENTRY = 'entry-ro-nord-1'
ROUNDS = 6
CALLS_PER_ROUND = 400
CONCURRENCY = 8
LOOKUPS = 6000
MEAN_MS = {'short': 2.0, 'long': 2.0}
SEED = 1


@attrs.frozen
class Measurement:
    """Latencies and CPU time of one kind of call.

    Attributes:
        latencies_ms: Latency of each call, in ms.
        cpu_s: CPU time of the process that served the calls, in seconds.
    """

    latencies_ms: list[float]
    cpu_s: float

    def summary(self) -> dict[str, float]:
        """Return latency percentiles and calls per second of CPU time."""
        cuts = statistics.quantiles(self.latencies_ms, n=100)
        return {
            'calls': len(self.latencies_ms),
            'p50_ms': round(cuts[49], 2),
            'p99_ms': round(cuts[98], 2),
            'calls_per_cpu_s': round(len(self.latencies_ms) / self.cpu_s),
        }


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used so far, in seconds.

    Args:
        pid: Process id.
    """
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf('SC_CLK_TCK')


async def call_concurrently(
    session: aiohttp.ClientSession, url: str, number: int
) -> list[float]:
    """Send GET requests with ``CONCURRENCY`` workers; return latencies in ms.

    Args:
        session: HTTP session.
        url: URL to request.
        number: Number of calls.
    """
    latencies: list[float] = []

    async def work() -> None:
        for _ in range(number // CONCURRENCY):
            start = time.perf_counter()
            async with session.get(url) as response:
                await response.read()
            latencies.append((time.perf_counter() - start) * 1000)

    await asyncio.gather(*(work() for _ in range(CONCURRENCY)))
    return latencies


async def measure(directory: pathlib.Path) -> dict[str, typing.Any]:
    """Measure direct calls, forwarded calls and look-ups.

    Args:
        directory: Directory for settings, secrets and logs.
    """
    example = clusters.example_objects('filatab')
    cluster = clusters.Cluster(
        directory, example, [ENTRY], SEED, mean_ms=MEAN_MS
    )
    async with cluster, aiohttp.ClientSession() as session:
        base = f'http://{clusters.HOST}:{cluster.entry_ports[ENTRY].callers}'
        direct = cluster.objects.pools[0].instances[0].address
        pids = {
            'direct': cluster.processes['upstreams'].process.pid,
            'forwarded': cluster.processes[ENTRY].process.pid,
        }
        urls = {
            'direct': f'http://{direct}/x',
            'forwarded': f'{base}/v1/services/catalog/x',
        }
        figures = {name: Measurement([], 0.0) for name in urls}
        for _ in range(ROUNDS):
            for name, url in urls.items():
                before = cpu_seconds(pids[name])
                latencies = await call_concurrently(
                    session, url, CALLS_PER_ROUND
                )
                spent = cpu_seconds(pids[name]) - before
                figures[name] = Measurement(
                    figures[name].latencies_ms + latencies,
                    figures[name].cpu_s + spent,
                )
        before = cpu_seconds(pids['forwarded'])
        latencies = await call_concurrently(
            session, f'{base}/v1/entries', LOOKUPS
        )
        spent = cpu_seconds(pids['forwarded']) - before
        figures['look-up'] = Measurement(latencies, spent)
    return {name: f.summary() for name, f in figures.items()}


def main() -> None:
    """Print the figures as JSON."""
    with tempfile.TemporaryDirectory(prefix='bulrushcourse-') as directory:
        figures = asyncio.run(measure(pathlib.Path(directory)))
    print(json.dumps(figures, indent=1))


if __name__ == '__main__':
    main()
