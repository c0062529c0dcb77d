"""How far upstreams may be used beyond their slots.

Answers a lasting overload. Requests in the queue of an upstream can neither be
reordered nor recalled, so its queue is kept as short as the uncertainty of the
counts allows: long enough that no slot stays free between two reports of the
other VMs, short enough that the wait fits the objective. A longer queue would
not serve more requests, only each of them later.
"""

import math

import attrs

# Share of the objective that a request may spend in an upstream's queue.
TARGET_SHARE = 0.25
# Age of the counts of other VMs: they report every 0.25 to 0.5 s, some of them
# through a relay.
COUNTS_AGE_S = 0.4
# Less urgent requests yield fully once this share of the more urgent ones
# finds no room.
FULL_YIELD_SHARE = 0.12
# Share of the slots that requests leave free when they yield fully. It is what
# the more urgent requests of the next reporting interval can use.
RESERVED_SHARE = 0.3


@attrs.frozen
class UpstreamLoad:
    """Load of one upstream.

    Attributes:
        slots: Its slots.
        in_flight: Requests of all VMs in flight at it.
    """

    slots: int
    in_flight: int

    @property
    def excess(self) -> int:
        """Requests beyond the slots, negative while there are free ones."""
        return self.in_flight - self.slots


def queue_limit(slots: float, work_s: float, objective_s: float) -> float:
    """Return how many requests may be sent beyond an upstream's slots.

    Args:
        slots: Slots of the upstream.
        work_s: Mean service time of its requests.
        objective_s: Latency objective of the request.

    Examples:
        >>> round(queue_limit(9, 0.5, 0.6), 1)
        2.7
    """
    per_s = slots / max(0.001, work_s)
    # The requests that end and start between two reports vary by the square
    # root of their number.
    uncertain = math.sqrt(per_s * COUNTS_AGE_S)
    return max(TARGET_SHARE * objective_s * per_s, uncertain)


def yielded_share(without_room: float) -> float:
    """Return how far requests yield to others that find no room.

    Args:
        without_room: Share of the others that found no room, 0 to 1.

    Returns:
        0 if they do not yield, 1 if they yield fully.

    Examples:
        >>> yielded_share(0.0), yielded_share(0.5)
        (0.0, 1.0)
    """
    return min(1.0, without_room / FULL_YIELD_SHARE)


def yielding_limit(limit: float, slots: float, share: float) -> float:
    """Return the limit for a request that yields to others.

    Args:
        limit: Limit for requests that yield to nobody.
        slots: Slots of an upstream.
        share: How far it yields, 0 to 1.

    Returns:
        Requests beyond the slots; negative if slots must stay free.

    Examples:
        >>> yielding_limit(2.0, 10, 0.0), yielding_limit(2.0, 10, 1.0)
        (2.0, -3.0)
    """
    return limit * (1.0 - share) - RESERVED_SHARE * slots * share
