"""How the work of each region is divided over the regions."""

import typing

# Up to this share of its slots a region keeps its own work; beyond it the
# queueing delay outweighs the delay between regions.
COMFORTABLE_USE = 0.6
# Use of all slots that is assumed until the demand is known.
USUAL_USE = 0.75


def usual_demand(
    capacity: typing.Mapping[str, float], regions: typing.Collection[str]
) -> dict[str, float]:
    """Return the demand to assume before any is known, the same everywhere.

    Args:
        capacity: Slots of each region.
        regions: Regions with callers.
    """
    each = sum(capacity.values()) * USUAL_USE / max(1, len(regions))
    return dict.fromkeys(regions, each)


def allocate(
    demand: typing.Mapping[str, float],
    capacity: typing.Mapping[str, float],
    comfortable_use: float = COMFORTABLE_USE,
) -> dict[str, dict[str, float]]:
    """Divide the work of each region over the regions.

    A region keeps what fits comfortably. The rest goes to regions with
    comfortable room, then to all in proportion to their slots.

    Args:
        demand: Work that arrives in each region, in slots.
        capacity: Slots of each region.
        comfortable_use: Share of its slots that a region likes to use.

    Returns:
        For each region with demand, the share that each region gets.

    Examples:
        >>> shares = allocate({'a': 8.0, 'b': 0.0}, {'a': 10.0, 'b': 10.0})
        >>> {region: round(share, 2) for region, share in shares['a'].items()}
        {'a': 0.75, 'b': 0.25}
    """
    total = sum(capacity.values())
    if total <= 0:
        return {}
    kept = {
        region: min(work, capacity.get(region, 0.0) * comfortable_use)
        for region, work in demand.items()
    }
    room = {
        region: slots * comfortable_use - kept.get(region, 0.0)
        for region, slots in capacity.items()
    }
    all_room = sum(room.values())
    spilled = sum(demand.values()) - sum(kept.values())
    fits = min(1.0, all_room / spilled) if spilled > 0 else 1.0
    return {
        region: _shares(
            region, work, kept[region], fits, room, capacity, all_room, total
        )
        for region, work in demand.items()
    }


def _shares(  # noqa: PLR0913
    region: str,
    work: float,
    kept: float,
    fits: float,
    room: typing.Mapping[str, float],
    capacity: typing.Mapping[str, float],
    all_room: float,
    total: float,
) -> dict[str, float]:
    if work <= 0:
        if capacity.get(region, 0.0) > 0:
            return {region: 1.0}
        return {name: slots / total for name, slots in capacity.items()}
    rest = work - kept
    shares = {}
    for name, slots in capacity.items():
        share = rest * (1.0 - fits) * slots / total
        if all_room > 0:
            share += rest * fits * room[name] / all_room
        shares[name] = (share + (kept if name == region else 0.0)) / work
    return {name: share for name, share in shares.items() if share > 0}
