"""Slots that a new owner of a pool does not know to be free."""

import math

import attrs

from bulrushcourse_domain.configuration import objects


@attrs.define
class Recovery:
    """Keeps slots back until every entry said what it holds, or time is up.

    An entry that did not report may hold any slot until the time limit of
    the class has passed. After the limit of short work, only the share of
    long work stays kept back.

    Attributes:
        started: Clock seconds when the pool was taken over.
        unreported: Entries that did not report yet.

    Examples:
        >>> short = objects.RequestClass('short', 1, 5_000)
        >>> long = objects.RequestClass('long', 2, 60_000, slot_share=0.25)
        >>> classes = {'short': short, 'long': long}
        >>> recovery = Recovery(0.0, {'e1'})
        >>> [recovery.reserved(8, classes, t) for t in (1.0, 5.0, 60.0)]
        [8, 2, 0]
    """

    started: float
    unreported: set[str]

    def report(self, holder: str) -> None:
        """Note that an entry said what it holds.

        Args:
            holder: Name of the entry.
        """
        self.unreported.discard(holder)

    def reserved(
        self, slots: int, classes: dict[str, objects.RequestClass], now: float
    ) -> int:
        """Return how many slots of an instance are kept back.

        Args:
            slots: Number of slots of the instance.
            classes: Classes of requests by name.
            now: Clock seconds.
        """
        if not self.unreported:
            return 0
        return max(
            (
                instance_limit(request_class, slots)
                for request_class in classes.values()
                if now < self.started + limit_s(request_class)
            ),
            default=0,
        )

    def next_change(
        self, classes: dict[str, objects.RequestClass], now: float
    ) -> float:
        """Return when slots become free next, in clock seconds.

        Args:
            classes: Classes of requests by name.
            now: Clock seconds.
        """
        if not self.unreported:
            return math.inf
        ends = [self.started + limit_s(c) for c in classes.values()]
        return min((end for end in ends if end > now), default=math.inf)


def limit_s(request_class: objects.RequestClass) -> float:
    """Return the longest time that a request of a class takes, in seconds.

    Args:
        request_class: The class.
    """
    return request_class.deadline_limit_ms / 1_000


def instance_limit(request_class: objects.RequestClass, slots: int) -> int:
    """Return how many slots of one instance a class may hold.

    Args:
        request_class: The class.
        slots: Number of slots of the instance.

    Examples:
        >>> long = objects.RequestClass('long', 2, 60_000, slot_share=0.25)
        >>> instance_limit(long, 5)
        2
    """
    return max(1, math.ceil(request_class.slot_share * slots))


def pool_limit(request_class: objects.RequestClass, slots: int) -> int:
    """Return how many slots of a pool a class may hold.

    Args:
        request_class: The class.
        slots: Number of usable slots of the pool.

    Examples:
        >>> long = objects.RequestClass('long', 2, 60_000, slot_share=0.25)
        >>> pool_limit(long, 50)
        12
    """
    return max(1, math.floor(request_class.slot_share * slots))
