"""Division of the objects of a route over all regions.

Answers the load in which a region has a third of the callers and a tenth of
the upstreams, and demand waves between the regions. Shares that follow the
demand move objects, which are cold at their new places; where callers in
several regions ask for the same objects, each takes memory in all of them.
Divided objects have one region each, whichever region their callers are in
and whatever the demand.
"""

import typing

from bulrushcourse_domain.placement import allocation

# Regions are uneven if one has less than this share of an even part of the
# capacity: at an equal demand it would run at 1.7 times the mean utilization,
# so that many of its callers are served elsewhere in any case.
MAX_EVEN_SHARE = 0.6
# A warm object must save this many round trips between regions, since not
# every request would have been cold in its own region.
MIN_SAVED_ROUND_TRIPS = 5.0
# Objects stay near their callers if their preferred upstreams are full for at
# most this share of the requests, so that few of them meet a cold upstream.
MAX_OVERFLOW = 0.15
# Utilization up to which a region keeps its own work.
UTILIZATION = allocation.TARGET_UTILIZATION


def overflow_share(slots: int, utilization: float = UTILIZATION) -> float:
    """Return the share of requests that find all slots of an upstream in use.

    It is Erlang's loss formula, for requests that arrive at random.

    Args:
        slots: Slots of the upstream.
        utilization: Work that is offered to it, as a share of its slots.

    Examples:
        >>> [round(overflow_share(slots), 2) for slots in (3, 5, 9)]
        [0.18, 0.11, 0.05]
    """
    offered = slots * utilization
    share = 1.0
    for used in range(1, slots + 1):
        share = offered * share / (used + offered * share)
    return share


def is_uneven(capacity: typing.Mapping[str, float]) -> bool:
    """Return whether a region has far less capacity than the others.

    Args:
        capacity: Slots in each region that may run the route.

    Examples:
        >>> is_uneven({'a': 18.0, 'b': 72.0, 'c': 84.0})
        True
        >>> is_uneven({'a': 50.0, 'b': 72.0})
        False
    """
    if len(capacity) < 2:
        return False
    even = sum(capacity.values()) / len(capacity)
    return min(capacity.values()) < MAX_EVEN_SHARE * even


def should_divide(
    capacity: typing.Mapping[str, float],
    slots: int,
    saved_s: float,
    round_trip_s: float,
) -> bool:
    """Return whether each object is served in one region for all callers.

    Args:
        capacity: Slots in each region that may run the route.
        slots: Slots of one upstream, 0 if there is none.
        saved_s: Difference of the service times of cold and warm objects.
        round_trip_s: Longest round-trip time to another region in seconds.

    Examples:
        >>> capacity = {'a': 18.0, 'b': 72.0, 'c': 84.0}
        >>> should_divide(capacity, 3, 0.5, 0.024)
        True
        >>> should_divide(capacity, 9, 0.5, 0.024)
        False
        >>> should_divide(capacity, 3, 0.05, 0.024)
        False
    """
    return (
        is_uneven(capacity)
        and overflow_share(slots) > MAX_OVERFLOW
        and saved_s >= MIN_SAVED_ROUND_TRIPS * round_trip_s
    )


def division(
    capacity: typing.Mapping[str, float],
) -> dict[str, float]:
    """Return the share of the objects of each region.

    The shares follow the capacity alone. Objects that moved with the demand
    would be cold after each move.

    Args:
        capacity: Slots in each region; at least one is positive.

    Examples:
        >>> division({'a': 1.0, 'b': 3.0})
        {'a': 0.25, 'b': 0.75}
    """
    total = sum(capacity.values())
    return {region: slots / total for region, slots in capacity.items()}
