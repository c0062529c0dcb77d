"""Times between the reports that a VM sends to others."""

from bulrushcourse_domain.fleet import links as fleet_links

Relation = fleet_links.Relation

# Gives several reports during the typical service time of a request.
MIN_REPORT_INTERVAL_S = 0.25
# In larger regions the interval grows with the fourth root of their size: the
# reports of a relay then grow with the fourth root as well, and the age of
# what VMs learn through two relays stays below the time after which a silent
# VM counts as failed.
MAX_VMS_AT_MIN_INTERVAL = 16
MAX_REPORT_INTERVAL_S = 0.6
# Traffic between regions is expensive, and placement in other regions follows
# shares that change slowly.
GATEWAY_INTERVAL_S = 0.5
SECONDARY_INTERVAL_S = 0.8


def report_interval_s(vm_count: int, relation: Relation) -> float:
    """Return the time between reports to one VM in seconds.

    Args:
        vm_count: Number of VMs in the region.
        relation: What the receiver is to the sender.

    Examples:
        >>> report_interval_s(4, Relation.RELAY)
        0.25
        >>> round(report_interval_s(65, Relation.RELAY), 2)
        0.35
    """
    scaled = MIN_REPORT_INTERVAL_S * (
        (vm_count / MAX_VMS_AT_MIN_INTERVAL) ** 0.25
    )
    interval = min(MAX_REPORT_INTERVAL_S, max(MIN_REPORT_INTERVAL_S, scaled))
    longest = {
        Relation.GATEWAY: GATEWAY_INTERVAL_S,
        Relation.SECONDARY: SECONDARY_INTERVAL_S,
        Relation.STANDBY: SECONDARY_INTERVAL_S,
        Relation.INTRODUCED: SECONDARY_INTERVAL_S,
    }
    return max(interval, longest.get(relation, interval))
