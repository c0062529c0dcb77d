"""Estimates of the time that a request waits for a slot."""

import typing

from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.slots import queue as queues
from bulrushcourse_domain.slots import recovery as recoveries
from bulrushcourse_domain.slots import requests


def estimate_wait_s(
    request: requests.SlotRequest,
    queue: queues.RequestQueue,
    classes: dict[str, objects.RequestClass],
    held_by_class: typing.Mapping[str, int],
    typical_s: dict[str, float],
    usable_slots: int,
) -> float:
    """Estimate how long a queued request waits, in seconds.

    Slots are released at the rate at which the running requests complete. A
    class that is limited to a share of the slots also waits for its own
    requests.

    Args:
        request: The queued request.
        queue: Queue that contains the request.
        classes: Request classes by name.
        held_by_class: Number of slots in use by class.
        typical_s: Typical service time by class, 0 if unknown.
        usable_slots: Number of usable slots of the pool.

    Examples:
        >>> short = objects.RequestClass('short', 1, 5_000)
        >>> queue = queues.RequestQueue()
        >>> request = requests.SlotRequest('a', 'e', 'short', 5.0)
        >>> queue.push(request, 1, 0.0)
        >>> args = {'short': short}, {'short': 4}, {'short': 0.2}, 4
        >>> round(estimate_wait_s(request, queue, *args), 3)
        0.05
    """
    request_class = classes[request.request_class]
    priority = request_class.priority
    release_rate = sum(
        held_by_class.get(name, 0) / seconds
        for name, seconds in typical_s.items()
        if seconds > 0
    )
    position = queue.position(priority, request.deadline)
    wait = position / release_rate if release_rate else 0.0
    limit = recoveries.max_pool_slots(request_class, usable_slots)
    if request_class.slot_share < 1 and limit:
        class_position = queue.position(
            priority, request.deadline, request.request_class
        )
        wait = max(
            wait, class_position * typical_s[request.request_class] / limit
        )
    return wait
