"""How long a request would wait for a slot."""

import typing

from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.slots import queue as queues
from bulrushcourse_domain.slots import recovery as recoveries
from bulrushcourse_domain.slots import requests


def wait_s(
    wish: requests.SlotRequest,
    waiting: queues.WaitingQueue,
    classes: dict[str, objects.RequestClass],
    held: typing.Mapping[str, int],
    typical_s: dict[str, float],
    usable_slots: int,
) -> float:
    """Estimate how long a queued request waits, in seconds.

    Slots come free at the rate at which the work that holds them ends. A
    class at its share of the slots waits for its own work only.

    Args:
        wish: The request.
        waiting: The queue.
        classes: Classes of requests by name.
        held: Number of slots in use by class.
        typical_s: Typical service time by class, 0 if not known.
        usable_slots: Number of slots of the pool.

    Examples:
        >>> short = objects.RequestClass('short', 1, 5_000)
        >>> queue = queues.WaitingQueue()
        >>> wish = requests.SlotRequest('a', 'e', 'short', 5.0)
        >>> queue.push(wish, 1, 0.0)
        >>> args = {'short': short}, {'short': 4}, {'short': 0.2}, 4
        >>> round(wait_s(wish, queue, *args), 3)
        0.05
    """
    request_class = classes[wish.request_class]
    priority = request_class.priority
    rate = sum(
        held.get(name, 0) / seconds
        for name, seconds in typical_s.items()
        if seconds > 0
    )
    position = waiting.position(priority, wish.deadline)
    wait = position / rate if rate else 0.0
    most = recoveries.pool_limit(request_class, usable_slots)
    if request_class.slot_share < 1 and most:
        own = waiting.position(priority, wish.deadline, wish.request_class)
        wait = max(wait, own * typical_s[wish.request_class] / most)
    return wait
