"""Checks of places: nearness of regions and client blocks."""

import typing

from bulrushcourse_domain import findings
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.routing import blocks


def check_places(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    """Yield the findings against places.

    Args:
        candidate: The objects to check.
    """
    yield from _check_nearness(candidate)
    yield from _check_clients(candidate)


def _check_nearness(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    regions = {place.region for place in candidate.places}
    stated: dict[str, objects.Place] = {}
    for place in candidate.places:
        label = f'places[{place.name}].near_regions'
        for name in place.near_regions:
            if name not in regions or name == place.region:
                yield findings.Finding(
                    label,
                    'dangling',
                    f'names {name!r}, which is no other region',
                    'regions other than its own',
                )
        if not place.near_regions:
            continue
        first = stated.setdefault(place.region, place)
        if first.near_regions != place.near_regions:
            yield findings.Finding(
                label,
                'differs',
                f'differs from that of {first.name!r} in the same region',
                'one order for each region',
            )


def _check_clients(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    holders: dict[str, str] = {}
    for place in candidate.places:
        label = f'places[{place.name}].clients'
        for prefix in place.clients:
            yield from blocks.check_block(prefix, label)
            holder = holders.setdefault(prefix, place.name)
            if holder != place.name:
                yield findings.Finding(
                    label,
                    'duplicate',
                    f'{prefix} is also a block of {holder!r}',
                    'each prefix in one place',
                )
