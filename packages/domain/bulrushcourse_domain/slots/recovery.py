"""Slots that a new owner of a pool must not grant yet after a takeover."""

import math

import attrs

from bulrushcourse_domain.configuration import objects


@attrs.define
class Recovery:
    """Reserves slots until every entry has reported which slots it holds.

    An entry that has not reported may hold slots for requests of any class
    whose time limit has not passed since the takeover. So after the limit of
    short requests, only the share of the slots that long requests may hold
    stays reserved.

    Attributes:
        started_at: Clock seconds at which the pool was taken over.
        unreported: Incarnations of entries that have not reported yet.

    Examples:
        >>> short = objects.RequestClass('short', 1, 5_000)
        >>> long = objects.RequestClass('long', 2, 60_000, slot_share=0.25)
        >>> classes = {'short': short, 'long': long}
        >>> recovery = Recovery(0.0, {'e1'})
        >>> ages = 1.0, 5.0, 60.0
        >>> [recovery.reserved_slots(8, classes, age) for age in ages]
        [8, 2, 0]
    """

    started_at: float
    unreported: set[str]

    def record_report(self, holder: str) -> None:
        """Record that an entry has reported the slots that it holds.

        Args:
            holder: Incarnation of the entry.
        """
        self.unreported.discard(holder)

    def reserved_slots(
        self, slots: int, classes: dict[str, objects.RequestClass], now: float
    ) -> int:
        """Return how many slots of an instance must not be granted.

        Args:
            slots: Number of slots of the instance.
            classes: Request classes by name.
            now: Clock seconds.
        """
        if not self.unreported:
            return 0
        return max(
            (
                max_instance_slots(request_class, slots)
                for request_class in classes.values()
                if now < self.started_at + max_duration_s(request_class)
            ),
            default=0,
        )

    def next_change(
        self, classes: dict[str, objects.RequestClass], now: float
    ) -> float:
        """Return when fewer slots will be reserved, in clock seconds.

        Infinite if no slot is reserved or no time limit is left to pass.

        Args:
            classes: Request classes by name.
            now: Clock seconds.
        """
        if not self.unreported:
            return math.inf
        ends = [self.started_at + max_duration_s(c) for c in classes.values()]
        return min((end for end in ends if end > now), default=math.inf)


def max_duration_s(request_class: objects.RequestClass) -> float:
    """Return the maximum duration of a request of a class, in seconds.

    Args:
        request_class: The request class.
    """
    return request_class.deadline_limit_ms / 1_000


def max_instance_slots(request_class: objects.RequestClass, slots: int) -> int:
    """Return how many slots of one instance a class may hold.

    Args:
        request_class: The request class.
        slots: Number of slots of the instance.

    Examples:
        >>> long = objects.RequestClass('long', 2, 60_000, slot_share=0.25)
        >>> max_instance_slots(long, 5)
        2
    """
    return max(1, math.ceil(request_class.slot_share * slots))


def max_pool_slots(request_class: objects.RequestClass, slots: int) -> int:
    """Return how many slots of a pool a class may hold.

    Args:
        request_class: The request class.
        slots: Number of usable slots of the pool.

    Examples:
        >>> long = objects.RequestClass('long', 2, 60_000, slot_share=0.25)
        >>> max_pool_slots(long, 50)
        12
    """
    return max(1, math.floor(request_class.slot_share * slots))
