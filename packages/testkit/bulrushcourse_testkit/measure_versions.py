"""Measures how long a version takes to become active on eleven entries.

Run it with ``python -m bulrushcourse_testkit.measure_versions``. Times run
from the moment the publish is sent to the last ``E5001`` of its version in the
logs of the entries. All processes run on one machine and share its clock.
"""

import asyncio
import datetime
import json
import pathlib
import re
import statistics
import tempfile
import time
import typing

import attrs

from bulrushcourse_domain.configuration import objects
from bulrushcourse_testkit import cluster as clusters
from bulrushcourse_wire import documents

PUBLISHES = 20
SETTLE_S = 2.0
# Long enough for the publisher's next read to find the store down.
OUTAGE_S = 5.0
ACTIVATION = re.compile(r'^(\S+)Z INFO E5001 .* version=(\d+)', re.MULTILINE)


def eleven_entries() -> objects.Objects:
    """Return Filatab's objects with eleven entries."""
    filatab = clusters.example_objects('filatab')
    more = (
        objects.Entry('entry-ro-nord-9', 'cluj-a'),
        objects.Entry('entry-ro-sud-9', 'buc-b'),
    )
    return attrs.evolve(filatab, entries=filatab.entries + more)


def read_activations(log: str) -> list[tuple[float, int]]:
    """Return when each version became active, from a log.

    Args:
        log: Text of the log of an entry.

    Examples:
        >>> line = '1970-01-01T00:00:01.500000Z INFO E5001 in force version=2'
        >>> read_activations(line)
        [(1.5, 2)]
    """
    return [
        (
            datetime.datetime.fromisoformat(f'{at}+00:00').timestamp(),
            int(version),
        )
        for at, version in ACTIVATION.findall(log)
    ]


async def publish(
    cluster: clusters.Cluster, name: str, base: int
) -> dict[str, typing.Any]:
    """Publish the configuration with another region limit.

    Args:
        cluster: Running cluster.
        name: Entry to publish through.
        base: Version to replace.
    """
    limits = tuple(
        attrs.evolve(old, in_flight=30 + base)
        if old.name == 'region-ro-sud'
        else old
        for old in cluster.objects.limits
    )
    changed = attrs.evolve(cluster.objects, limits=limits)
    body = {
        'base_version': base,
        'publish_id': f'p{base}',
        'operator': 'measure',
        'objects': json.loads(documents.render_document(changed)),
    }
    return await cluster.call_operators(
        name, '/v1/configuration', 'POST', json=body
    )


async def measure(outage: bool) -> list[float]:
    """Return the seconds until each publish was active on all entries.

    Args:
        outage: Whether the store fails after the response to each publish.

    Raises:
        RuntimeError: If a publish fails, or a version of an entry decreased or
            is missing in its log.
    """
    deployment = eleven_entries()
    names = sorted(entry.name for entry in deployment.entries)
    sent_at = {}
    with tempfile.TemporaryDirectory() as directory:
        cluster = clusters.Cluster(pathlib.Path(directory), deployment, names)
        async with cluster:
            for number in range(1, PUBLISHES + 1):
                name = names[number % len(names)]
                sent_at[number + 1] = time.time()
                response = await publish(cluster, name, number)
                if response.get('version') != number + 1:
                    raise RuntimeError(f'publish failed: {response}')
                if outage:
                    await cluster.set_store_faults(down=True)
                    await asyncio.sleep(OUTAGE_S)
                    await cluster.set_store_faults()
                await asyncio.sleep(SETTLE_S)
        logs = {
            name: read_activations(cluster.processes[name].log.read_text())
            for name in names
        }
    return [_time_to_all(logs, version, at) for version, at in sent_at.items()]


def _time_to_all(
    logs: dict[str, list[tuple[float, int]]], version: int, sent_at: float
) -> float:
    activated_at = []
    for name, log in logs.items():
        versions = [number for _, number in log]
        if versions != sorted(versions) or version not in versions:
            raise RuntimeError(f'{name} activated versions {versions}')
        activated_at.append(log[versions.index(version)][0])
    return max(activated_at) - sent_at


def main() -> None:
    """Print a line each for runs without and with store outages."""
    for label, outage in (('store available', False), ('store outages', True)):
        durations = sorted(asyncio.run(measure(outage)))
        print(
            f'{label}: {len(durations)} publishes on 11 entries, active on '
            f'all after {statistics.median(durations):.2f} s (median), '
            f'{durations[-1]:.2f} s (longest); 0 reverts'
        )


if __name__ == '__main__':
    main()
