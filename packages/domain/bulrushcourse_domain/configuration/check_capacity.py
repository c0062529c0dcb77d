"""Checks that pools, entries, limits and deadlines fit together."""

import collections
import typing

from bulrushcourse_domain import findings
from bulrushcourse_domain.configuration import objects


def check_capacity(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    """Yield findings on entries, pools, region limits and deadlines.

    Args:
        candidate: The objects to check.
    """
    yield from _check_entries(candidate)
    yield from _check_region_limits(candidate)
    yield from _check_pools(candidate)
    yield from _check_deadlines(candidate)


def _pools_by_region(
    candidate: objects.Objects,
) -> dict[str, set[str]]:
    region_of = {place.name: place.region for place in candidate.places}
    pools = collections.defaultdict(set)
    for pool in candidate.pools:
        for instance in pool.instances:
            if instance.place in region_of:
                pools[region_of[instance.place]].add(pool.name)
    return pools


def _check_entries(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    """Check that each region with instances has an entry to own its pools."""
    region_of = {place.name: place.region for place in candidate.places}
    served = {region_of.get(entry.place) for entry in candidate.entries}
    for region, pools in _pools_by_region(candidate).items():
        if region not in served:
            yield findings.Finding(
                'entries',
                'no_entry',
                f'region {region!r} has instances of '
                f'{", ".join(sorted(pools))}, but no entry',
                'at least one entry in each region with instances',
            )


def _check_region_limits(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    """Check that a region's limit allows one slot for each of its pools."""
    pools = _pools_by_region(candidate)
    for limit in candidate.limits:
        min_in_flight = len(pools.get(limit.target, ()))
        if (
            limit.kind is objects.LimitKind.REGION
            and 0 < limit.in_flight < min_in_flight
        ):
            yield findings.Finding(
                f'limits[{limit.name}].in_flight',
                'capacity',
                f'is {limit.in_flight}, less than one slot for each of the '
                f'{min_in_flight} pools of {limit.target!r}',
                f'at least {min_in_flight}',
            )


def _check_pools(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    places_by_address = collections.defaultdict(list)
    for pool in candidate.pools:
        if 0 < pool.connections < pool.slots:
            yield findings.Finding(
                f'pools[{pool.name}].connections',
                'capacity',
                f'is {pool.connections}, less than the {pool.slots} slots',
                f'at least {pool.slots}',
            )
        for instance in pool.instances:
            place = f'pools[{pool.name}].instances[{instance.name}].address'
            places_by_address[instance.address].append(place)
            if not _is_address(instance.address):
                yield findings.Finding(
                    place, 'address', f'is {instance.address!r}', 'ip:port'
                )
    for address, places in places_by_address.items():
        for place in places[1:]:
            yield findings.Finding(
                place,
                'same_address',
                f'{address} is also the address of {places[0]}',
                'a different address for each instance',
            )


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(':')
    return bool(host) and port.isdigit() and 0 < int(port) < 1 << 16


def _check_deadlines(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    limits = {c.name: c.deadline_limit_ms for c in candidate.request_classes}
    for service in candidate.services:
        limit = limits.get(service.request_class)
        if limit is not None and service.deadline_ms > limit:
            yield findings.Finding(
                f'services[{service.name}].deadline_ms',
                'range',
                f'is {service.deadline_ms}, above the limit of class '
                f'{service.request_class!r}',
                f'at most {limit}',
            )
    for request_class in candidate.request_classes:
        if request_class.priority < 0:
            yield findings.Finding(
                f'request_classes[{request_class.name}].priority',
                'range',
                f'is {request_class.priority}',
                'at least 0',
            )
