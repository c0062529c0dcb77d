"""Division of each region's work over all regions."""

import typing

# A region keeps its own work up to this share of its slots; beyond it the
# queueing delay exceeds the network delay between regions.
TARGET_UTILIZATION = 0.6
# Utilization of all slots that is assumed until the demand is known.
DEFAULT_UTILIZATION = 0.75


def default_demand(
    capacity: typing.Mapping[str, float], regions: typing.Collection[str]
) -> dict[str, float]:
    """Return the demand to assume until it is known, equal in all regions.

    Args:
        capacity: Slots in each region.
        regions: Regions with callers.
    """
    per_region = (
        sum(capacity.values()) * DEFAULT_UTILIZATION / max(1, len(regions))
    )
    return dict.fromkeys(regions, per_region)


def allocate(
    demand: typing.Mapping[str, float],
    capacity: typing.Mapping[str, float],
    target_utilization: float = TARGET_UTILIZATION,
) -> dict[str, dict[str, float]]:
    """Divide the work of each region over all regions.

    A region keeps its own work up to the target utilization. The overflow
    goes to regions below their target, and what exceeds those is divided over
    all regions in proportion to their slots.

    Args:
        demand: Work that arrives in each region, in slots.
        capacity: Slots in each region.
        target_utilization: Share of its slots that a region may use before
            work overflows.

    Returns:
        For each region in ``demand``, the share of its work that each region
        receives.

    Examples:
        >>> shares = allocate({'a': 8.0, 'b': 0.0}, {'a': 10.0, 'b': 10.0})
        >>> {region: round(share, 2) for region, share in shares['a'].items()}
        {'a': 0.75, 'b': 0.25}
    """
    total_slots = sum(capacity.values())
    if total_slots <= 0:
        return {}
    kept = {
        region: min(work, capacity.get(region, 0.0) * target_utilization)
        for region, work in demand.items()
    }
    spare = {
        region: slots * target_utilization - kept.get(region, 0.0)
        for region, slots in capacity.items()
    }
    total_spare = sum(spare.values())
    overflow = sum(demand.values()) - sum(kept.values())
    fitting_share = min(1.0, total_spare / overflow) if overflow > 0 else 1.0
    return {
        region: _region_shares(
            region,
            work,
            kept[region],
            fitting_share,
            spare,
            capacity,
            total_spare,
            total_slots,
        )
        for region, work in demand.items()
    }


def _region_shares(  # noqa: PLR0913
    region: str,
    work: float,
    kept: float,
    fitting_share: float,
    spare: typing.Mapping[str, float],
    capacity: typing.Mapping[str, float],
    total_spare: float,
    total_slots: float,
) -> dict[str, float]:
    if work <= 0:
        if capacity.get(region, 0.0) > 0:
            return {region: 1.0}
        return {name: slots / total_slots for name, slots in capacity.items()}
    remaining = work - kept
    shares = {}
    for name, slots in capacity.items():
        share = remaining * (1.0 - fitting_share) * slots / total_slots
        if total_spare > 0:
            share += remaining * fitting_share * spare[name] / total_spare
        shares[name] = (share + (kept if name == region else 0.0)) / work
    return {name: share for name, share in shares.items() if share > 0}
