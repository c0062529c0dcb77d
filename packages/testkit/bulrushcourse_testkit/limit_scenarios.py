"""Load between regions for tests of link and shift limits.

The results are measured at the instances that receive the load.
"""

import asyncio
import contextlib
import random
import time
import typing

import aiohttp
import attrs

from bulrushcourse_domain.configuration import objects
from bulrushcourse_testkit import cluster as clusters

SOURCE = 'north'
TARGET = 'south'
ENTRIES = ('north-1', 'north-2', 'north-3', 'south-1')


def two_regions(
    limits: tuple[objects.Limit, ...],
    plans: tuple[objects.Plan, ...] = (),
    work_limit_ms: int = 2_000,
) -> objects.Objects:
    """Return a deployment of two regions.

    The service ``both`` has instances in each region, ``far`` and ``album``
    only in the target region.

    Args:
        limits: Limits between the regions.
        plans: Plans between the regions.
        work_limit_ms: Longest time that a request may take, in ms.
    """
    places = tuple(
        objects.Place(f'{region}-a', region) for region in (SOURCE, TARGET)
    )
    classes = (
        objects.RequestClass('rush', 0, work_limit_ms),
        objects.RequestClass('short', 1, work_limit_ms),
        objects.RequestClass('long', 2, work_limit_ms),
    )
    pools = (
        _pool('both', ('north-a', 'north-a', 'south-a', 'south-a')),
        _pool('far', ('south-a', 'south-a')),
        _pool('album', ('south-a', 'south-a')),
    )
    return objects.Objects(
        places=places,
        entries=tuple(
            objects.Entry(name, f'{name.partition("-")[0]}-a')
            for name in ENTRIES
        ),
        request_classes=classes,
        pools=pools,
        services=(
            objects.Service('both', 'both', 'short', True, 2_000),
            objects.Service('far', 'far', 'short', True, 2_000),
            objects.Service(
                'album', 'album', 'long', True, work_limit_ms, 8 << 20
            ),
        ),
        limits=limits,
        plans=plans,
    )


def _pool(name: str, places: tuple[str, ...]) -> objects.Pool:
    instances = tuple(
        objects.Instance(f'{name}-{n}', place, f'10.0.0.{n + 1}:8080')
        for n, place in enumerate(places)
    )
    return objects.Pool(name, 40, 400, instances, 'Upstream-Not-Run')


@attrs.define
class Callers:
    """Closed-loop callers, each of which sends to one entry.

    Attributes:
        cluster: Cluster of the entries.
        random: Random source of the pauses.
        times: Start and duration of successful requests by service, in
            seconds.
        tasks: Tasks of the running callers.
    """

    cluster: clusters.Cluster
    random: random.Random
    times: dict[str, list[tuple[float, float]]] = attrs.field(factory=dict)
    tasks: list[asyncio.Task] = attrs.field(factory=list)

    def start(
        self,
        entry: str,
        number: int,
        service: str,
        pause_s: float,
        body: bytes = b'',
        query: str = '',
    ) -> None:
        """Start callers that send requests until ``stop`` is called.

        Args:
            entry: Name of the entry to call.
            number: Number of callers.
            service: Service to call.
            pause_s: Mean pause between the requests of one caller, in seconds.
            body: Body of each request; without one they send GET.
            query: Query string of each request.
        """
        port = self.cluster.entry_ports[entry].callers
        url = f'http://{clusters.HOST}:{port}/v1/services/{service}/x?{query}'
        for _ in range(number):
            self.tasks.append(
                asyncio.create_task(self._call(url, service, pause_s, body))
            )

    async def stop(self) -> None:
        """Cancel all callers and wait until they have ended."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _call(
        self, url: str, service: str, pause_s: float, body: bytes
    ) -> None:
        times = self.times.setdefault(service, [])
        method = 'POST' if body else 'GET'
        while True:
            await asyncio.sleep(pause_s * 2 * self.random.random())
            start = time.monotonic()
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self.cluster.session.request(
                    method, url, data=body or None
                ) as response:
                    await response.read()
                    if response.status == 200:
                        times.append((start, time.monotonic() - start))


def max_in_one_second(arrivals: typing.Sequence[tuple[float, int]]) -> int:
    """Return the largest sum of amounts in any window of one second.

    Args:
        arrivals: Pairs of time in seconds and amount.

    Examples:
        >>> max_in_one_second([(0.0, 1), (0.9, 1), (1.0, 1), (1.5, 1)])
        3
    """
    ordered = sorted(arrivals)
    highest = total = first = 0
    for at, amount in ordered:
        total += amount
        while ordered[first][0] <= at - 1.0:
            total -= ordered[first][1]
            first += 1
        highest = max(highest, total)
    return highest


async def run_starts(
    cluster: clusters.Cluster, instances: str
) -> list[tuple[float, int]]:
    """Return a pair of start time and 1 for each request that instances ran.

    Args:
        cluster: Cluster of the instances.
        instances: Prefix of the names of the instances.
    """
    journal = await cluster.observe(cluster.upstreams_port, 'journal')
    return [
        (run['start'], 1)
        for run in journal
        if run['instance'].startswith(instances)
    ]


async def received_bytes(cluster: clusters.Cluster) -> list[tuple[float, int]]:
    """Return pairs of time and bytes of bodies received in the target region.

    Args:
        cluster: Cluster of the instances.
    """
    received = await cluster.observe(cluster.upstreams_port, 'received')
    return [
        (int(at) / 100, size)
        for times in received.values()
        for at, size in times.items()
    ]


async def limit_shares(
    cluster: clusters.Cluster, entry: str, limit: str
) -> dict[str, typing.Any]:
    """Return the shares of a limit from an entry's state dump.

    Args:
        cluster: Cluster of the entry.
        entry: Name of the entry.
        limit: Name of the limit.
    """
    dump = await cluster.call_operators(entry, '/v1/state')
    return dump['limits']['shares'][limit]
