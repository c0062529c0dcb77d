"""Division of a region's limit among its pools."""

import math

from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects


def divide_limit(limit: int, slots: dict[str, int]) -> dict[str, int]:
    """Divide a limit in proportion to slots; the shares add up to it.

    Args:
        limit: Maximum of concurrent requests of all pools together.
        slots: Number of slots by pool.

    Examples:
        >>> divide_limit(10, {'a': 30, 'b': 15})
        {'a': 7, 'b': 3}
        >>> divide_limit(60, {'a': 30, 'b': 15})
        {'a': 40, 'b': 20}
    """
    total = sum(slots.values())
    exact = {name: limit * number / total for name, number in slots.items()}
    shares = {name: math.floor(share) for name, share in exact.items()}
    by_remainder = sorted(
        slots, key=lambda name: (shares[name] - exact[name], name)
    )
    for name in by_remainder[: limit - sum(shares.values())]:
        shares[name] += 1
    return shares


def in_flight_limit(
    configuration: configuration_set.ConfigurationSet,
    service: str,
    region: str,
) -> int | None:
    """Return the maximum of concurrent grants of a pool.

    Each owner of a pool enforces its share of the region's limit alone, so
    the owners need no coordination.

    Args:
        configuration: The active configuration.
        service: Name of the service.
        region: Name of the region.

    Returns:
        The pool's share of the region's limit, ``None`` without a limit.
    """
    limits = [
        limit.in_flight
        for limit in configuration.objects.limits
        if limit.kind is objects.LimitKind.REGION and limit.target == region
    ]
    if not limits:
        return None
    slots = {
        name: configuration.pools[definition.pool].slots
        * len(configuration.instances(name, region))
        for name, definition in configuration.services.items()
    }
    served = {name: number for name, number in slots.items() if number}
    return divide_limit(min(limits), served).get(service)
