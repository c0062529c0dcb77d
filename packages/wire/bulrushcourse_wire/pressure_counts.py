"""Encoding of the requests that found no room, in the reports between VMs."""

import heapq
import typing

from bulrushcourse_domain import ranges
from bulrushcourse_domain.waiting import pressure as pressures
from bulrushcourse_wire import fields as checks

# Counts are encoded as whole tenths.
SCALE = 10
MAX_SOURCES = 10_000
MAX_SERVICES = 10_000
# Priorities of a service in a report, those with the most requests.
MAX_PRIORITIES = 100
_MAX_COUNT = (1 << 31) - 1


def encode(
    by_source: typing.Mapping[str, pressures.Counts],
) -> dict[str, dict[str, list[int]]]:
    """Return counts in their compact form, empty if there are none.

    Args:
        by_source: Counts by source.

    Examples:
        >>> encode({'vm': {'s': {2: (3.0, 0.5)}}, 'other': {}})
        {'vm': {'s': [2, 30, 5]}}
    """
    encoded = {}
    for source, counts in by_source.items():
        services = {
            service: _flatten(by_priority)
            for service, by_priority in counts.items()
        }
        services = {
            service: flat for service, flat in services.items() if flat
        }
        if services:
            encoded[source] = services
    return encoded


def _flatten(
    by_priority: typing.Mapping[int, tuple[float, float]],
) -> list[int]:
    flat = []
    largest = heapq.nlargest(
        MAX_PRIORITIES, by_priority.items(), key=lambda item: item[1]
    )
    for priority, (arrived, without_room) in largest:
        if round(arrived * SCALE):
            flat += [
                priority,
                round(arrived * SCALE),
                round(without_room * SCALE),
            ]
    return flat


def decode(encoded: typing.Any) -> dict[str, pressures.Counts]:
    """Return the counts by source.

    Args:
        encoded: The compact form.

    Raises:
        MalformedField: If a field has another type or is out of range.

    Examples:
        >>> decode({'vm': {'s': [2, 30, 5]}})
        {'vm': {'s': {2: (3.0, 0.5)}}}
    """
    return {
        checks.text(source): {
            checks.text(service): _unflatten(flat)
            for service, flat in checks.mapping(services, MAX_SERVICES).items()
        }
        for source, services in checks.mapping(encoded, MAX_SOURCES).items()
    }


def _unflatten(flat: typing.Any) -> dict[int, tuple[float, float]]:
    values = checks.items(flat, 3 * MAX_PRIORITIES)
    if len(values) % 3:
        raise checks.MalformedField('incomplete counts')
    return {
        checks.integer(priority, ranges.MAX_PRIORITY): (
            checks.integer(arrived, _MAX_COUNT) / SCALE,
            checks.integer(without_room, _MAX_COUNT) / SCALE,
        )
        for priority, arrived, without_room in zip(
            values[::3], values[1::3], values[2::3], strict=True
        )
    }
