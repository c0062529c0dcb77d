"""Division of a region's limit over its pools."""

import math

from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects


def divide_limit(cap: int, slots: dict[str, int]) -> dict[str, int]:
    """Return parts of a cap in proportion to slots; their sum is the cap.

    Args:
        cap: Requests at work that all pools together may have.
        slots: Number of slots by pool.

    Examples:
        >>> divide_limit(10, {'a': 30, 'b': 15})
        {'a': 7, 'b': 3}
        >>> divide_limit(60, {'a': 30, 'b': 15})
        {'a': 40, 'b': 20}
    """
    total = sum(slots.values())
    exact = {name: cap * number / total for name, number in slots.items()}
    parts = {name: math.floor(part) for name, part in exact.items()}
    by_remainder = sorted(
        slots, key=lambda name: (parts[name] - exact[name], name)
    )
    for name in by_remainder[: cap - sum(parts.values())]:
        parts[name] += 1
    return parts


def in_flight_limit(
    configuration: configuration_set.ConfigurationSet,
    service: str,
    region: str,
) -> int | None:
    """Return the most grants of a service's pool in a region.

    Each owner of a pool applies its part alone, so that the region's limit
    needs no coordination.

    Args:
        configuration: The configuration in force.
        service: Name of the service.
        region: Name of the region.

    Returns:
        The pool's part of the region's limit, ``None`` without a limit.
    """
    caps = [
        limit.in_flight
        for limit in configuration.objects.limits
        if limit.kind is objects.LimitKind.REGION and limit.target == region
    ]
    if not caps:
        return None
    slots = {
        name: configuration.pools[found.pool].slots
        * len(configuration.instances(name, region))
        for name, found in configuration.services.items()
    }
    served = {name: number for name, number in slots.items() if number}
    return divide_limit(min(caps), served).get(service)
