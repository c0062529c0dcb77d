"""Checks of places: order of near regions and client prefixes."""

import typing

from bulrushcourse_domain import findings
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.routing import blocks


def check_places(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    """Yield findings on places.

    Args:
        candidate: The objects to check.
    """
    yield from _check_near_regions(candidate)
    yield from _check_clients(candidate)


def _check_near_regions(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    regions = {place.region for place in candidate.places}
    first_places: dict[str, objects.Place] = {}
    for place in candidate.places:
        path = f'places[{place.name}].near_regions'
        for name in place.near_regions:
            if name not in regions or name == place.region:
                yield findings.Finding(
                    path,
                    'dangling',
                    f'lists {name!r}, which is not another defined region',
                    'defined regions other than its own',
                )
        if not place.near_regions:
            continue
        first = first_places.setdefault(place.region, place)
        if first.near_regions != place.near_regions:
            yield findings.Finding(
                path,
                'differs',
                f'differs from that of {first.name!r} in the same region',
                'the same order in all places of a region',
            )


def _check_clients(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    places_by_prefix: dict[str, str] = {}
    for place in candidate.places:
        path = f'places[{place.name}].clients'
        for prefix in place.clients:
            yield from blocks.check_block(prefix, path)
            first_place = places_by_prefix.setdefault(prefix, place.name)
            if first_place != place.name:
                yield findings.Finding(
                    path,
                    'duplicate',
                    f'{prefix} is also a prefix of {first_place!r}',
                    'each prefix in one place',
                )
