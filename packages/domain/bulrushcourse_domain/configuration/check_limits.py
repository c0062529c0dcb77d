"""Checks of limits."""

import collections
import typing

from bulrushcourse_domain import findings
from bulrushcourse_domain.configuration import objects

_CAP_FIELDS = {
    objects.LimitKind.LINK: 'mbit_per_s',
    objects.LimitKind.REGION: 'in_flight',
    objects.LimitKind.SHIFT: 'requests_per_s',
}


# The floor share of a link must allow one chunk of a response within the
# window of 1 s, or nothing could ever be sent under it.
_CHUNK_BITS = 8 * (16 << 10)
# Part of a cap that is divided into floor shares.
_FLOOR_SHARE_RATIO = 0.5


def check_limits(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    """Yield findings on limits.

    Args:
        candidate: The objects to check.
    """
    for limit in candidate.limits:
        yield from _check_unit(limit)
        yield from _check_source(limit)
        yield from _check_floor_share(limit, len(candidate.entries))
    yield from _check_unique_targets(candidate)


def _check_unit(limit: objects.Limit) -> typing.Iterator[findings.Finding]:
    for kind, field in _CAP_FIELDS.items():
        value = getattr(limit, field)
        place = f'limits[{limit.name}].{field}'
        if kind is limit.kind and value <= 0:
            yield findings.Finding(place, 'range', f'is {value}', 'above 0')
        if kind is not limit.kind and value:
            yield findings.Finding(
                place,
                'unit',
                f'does not apply to a {limit.kind.value} limit',
                f'use {_CAP_FIELDS[limit.kind]}',
            )


def _check_source(limit: objects.Limit) -> typing.Iterator[findings.Finding]:
    place = f'limits[{limit.name}].source'
    if limit.kind is objects.LimitKind.REGION:
        if limit.source:
            yield findings.Finding(
                place, 'unit', 'does not apply to a region limit', 'remove it'
            )
    elif limit.source == limit.target:
        yield findings.Finding(
            place, 'same_region', 'equals the target', 'another region'
        )


def _check_floor_share(
    limit: objects.Limit, entries: int
) -> typing.Iterator[findings.Finding]:
    """Check that an entry can make progress with its floor share alone."""
    min_floor_share = {
        objects.LimitKind.LINK: _CHUNK_BITS / 1e6,
        objects.LimitKind.SHIFT: 1.0,
    }.get(limit.kind)
    if min_floor_share is None or not entries:
        return
    field = _CAP_FIELDS[limit.kind]
    min_cap = min_floor_share * entries / _FLOOR_SHARE_RATIO
    if 0 < getattr(limit, field) < min_cap:
        yield findings.Finding(
            f'limits[{limit.name}].{field}',
            'floor_share',
            f'is too low to be divided among {entries} entries',
            f'at least {min_cap:g}, so that the floor share of each entry '
            f'allows {min_floor_share:g} in 1 s',
        )


def _check_unique_targets(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    limits_by_scope = collections.defaultdict(list)
    for limit in candidate.limits:
        limits_by_scope[limit.kind, limit.source, limit.target].append(
            limit.name
        )
    for (kind, _, _), names in limits_by_scope.items():
        # Several shift limits may share a scope: each bounds its own plans.
        if kind is not objects.LimitKind.SHIFT and len(names) > 1:
            yield findings.Finding(
                f'limits[{names[1]}]',
                'same_target',
                f'bounds the same {kind.value} as {names[0]!r}',
                'a single limit',
            )
