"""Measures how long a version takes to be in force on eleven entries.

Run it with ``python -m bulrushcourse_testkit.measure_versions``. Times come
from the entries' logs: from the moment the publish is sent to the last
``E5001`` of its version. All processes run on one machine and share its clock.
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
# Longer than the time in which the publisher's read finds the store down.
OUTAGE_S = 5.0
IN_FORCE = re.compile(r'^(\S+)Z INFO E5001 .* version=(\d+)', re.MULTILINE)


def eleven_entries() -> objects.Objects:
    """Return Filatab's objects with eleven entries."""
    filatab = clusters.example_objects('filatab')
    more = (
        objects.Entry('entry-ro-nord-9', 'cluj-a'),
        objects.Entry('entry-ro-sud-9', 'buc-b'),
    )
    return attrs.evolve(filatab, entries=filatab.entries + more)


def read_in_force(log: str) -> list[tuple[float, int]]:
    """Return when versions came into force, by a log.

    Args:
        log: Text of an entry's log.

    Examples:
        >>> line = '1970-01-01T00:00:01.500000Z INFO E5001 in force version=2'
        >>> read_in_force(line)
        [(1.5, 2)]
    """
    return [
        (
            datetime.datetime.fromisoformat(f'{at}+00:00').timestamp(),
            int(version),
        )
        for at, version in IN_FORCE.findall(log)
    ]


async def publish(
    cluster: clusters.Cluster, name: str, base: int
) -> dict[str, typing.Any]:
    """Publish a set with another region limit.

    Args:
        cluster: The running cluster.
        name: Entry to publish through.
        base: Version to replace.
    """
    limits = tuple(
        attrs.evolve(kept, in_flight=30 + base)
        if kept.name == 'region-ro-sud'
        else kept
        for kept in cluster.objects.limits
    )
    changed = attrs.evolve(cluster.objects, limits=limits)
    body = {
        'base_version': base,
        'publish_id': f'p{base}',
        'operator': 'measure',
        'objects': json.loads(documents.render_document(changed)),
    }
    return await cluster.operate(name, '/v1/configuration', 'POST', json=body)


async def measure(outage: bool) -> list[float]:
    """Return the seconds that each publish took to be in force everywhere.

    Args:
        outage: Whether the store fails after each publish is answered.

    Raises:
        RuntimeError: If a version went back or is missing in a log.
    """
    wanted = eleven_entries()
    names = sorted(entry.name for entry in wanted.entries)
    sent = {}
    with tempfile.TemporaryDirectory() as directory:
        cluster = clusters.Cluster(pathlib.Path(directory), wanted, names)
        async with cluster:
            for number in range(1, PUBLISHES + 1):
                name = names[number % len(names)]
                sent[number + 1] = time.time()
                answer = await publish(cluster, name, number)
                if answer.get('version') != number + 1:
                    raise RuntimeError(f'publish failed: {answer}')
                if outage:
                    await cluster.set_store_faults(down=True)
                    await asyncio.sleep(OUTAGE_S)
                    await cluster.set_store_faults()
                await asyncio.sleep(SETTLE_S)
        logs = {
            name: read_in_force(cluster.processes[name].log.read_text())
            for name in names
        }
    return [_longest(logs, version, at) for version, at in sent.items()]


def _longest(
    logs: dict[str, list[tuple[float, int]]], version: int, sent_at: float
) -> float:
    ends = []
    for name, log in logs.items():
        versions = [number for _, number in log]
        if versions != sorted(versions) or version not in versions:
            raise RuntimeError(f'{name} had versions {versions}')
        ends.append(log[versions.index(version)][0])
    return max(ends) - sent_at


def main() -> None:
    """Print a line for each kind of run."""
    for label, outage in (('store up', False), ('store fails', True)):
        found = sorted(asyncio.run(measure(outage)))
        print(
            f'{label}: {len(found)} publishes on 11 entries, in force '
            f'everywhere after {statistics.median(found):.2f} s (median), '
            f'{found[-1]:.2f} s (longest); 0 reverts'
        )


if __name__ == '__main__':
    main()
