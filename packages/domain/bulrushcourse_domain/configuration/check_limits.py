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


# A share of a link that cannot take one piece of an answer within the window
# of 1 s would never send anything. Half of a cap is divided into floor shares.
_PIECE_BITS = 8 * (16 << 10)
_FLOOR_PART = 0.5


def check_limits(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    """Yield the findings against limits.

    Args:
        candidate: The objects to check.
    """
    for limit in candidate.limits:
        yield from _check_unit(limit)
        yield from _check_ends(limit)
        yield from _check_floor(limit, len(candidate.entries))
    yield from _check_one_per_target(candidate)


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


def _check_ends(limit: objects.Limit) -> typing.Iterator[findings.Finding]:
    place = f'limits[{limit.name}].source'
    if limit.kind is objects.LimitKind.REGION:
        if limit.source:
            yield findings.Finding(
                place, 'unit', 'does not apply to a region limit', 'remove it'
            )
    elif limit.source == limit.target:
        yield findings.Finding(
            place, 'same_region', 'is also the target', 'another region'
        )


def _check_floor(
    limit: objects.Limit, entries: int
) -> typing.Iterator[findings.Finding]:
    """Yield a finding if an entry's floor share is of no use."""
    needed = {
        objects.LimitKind.LINK: _PIECE_BITS / 1e6,
        objects.LimitKind.SHIFT: 1.0,
    }.get(limit.kind)
    if needed is None or not entries:
        return
    field = _CAP_FIELDS[limit.kind]
    least = needed * entries / _FLOOR_PART
    if 0 < getattr(limit, field) < least:
        yield findings.Finding(
            f'limits[{limit.name}].{field}',
            'floor_share',
            f'is too low to be divided among {entries} entries',
            f'at least {least:g}, so that the floor share of each entry '
            f'allows {needed:g} in 1 s',
        )


def _check_one_per_target(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    names = collections.defaultdict(list)
    for limit in candidate.limits:
        names[limit.kind, limit.source, limit.target].append(limit.name)
    for (kind, _, _), bound in names.items():
        # Shift limits may each bound plans of their own.
        if kind is not objects.LimitKind.SHIFT and len(bound) > 1:
            yield findings.Finding(
                f'limits[{bound[1]}]',
                'same_target',
                f'bounds the same {kind.value} as {bound[0]!r}',
                'one limit',
            )
