"""Requests that wait for a slot."""

import collections
import itertools
import math
import typing

import attrs
import sortedcontainers

from bulrushcourse_domain.slots import requests

SCAN = 4
"""Requests of a class looked at in one turn.

The first one may avoid every free instance; it must not block the others.
"""

Key = tuple[float, int]


@attrs.frozen
class Waiting:
    """A request in the queue.

    Attributes:
        wish: The request.
        since: Clock seconds when it arrived.
        order: Number that grows with each arrival.
    """

    wish: requests.SlotRequest
    since: float
    order: int

    @property
    def key(self) -> Key:
        """Order within the class."""
        return self.wish.deadline, self.order


@attrs.define
class ClassQueue:
    """Requests of one class.

    Attributes:
        by_deadline: Identifiers ordered by deadline.
        by_arrival: Requests by identifier, oldest first.
    """

    by_deadline: sortedcontainers.SortedDict = attrs.field(
        factory=sortedcontainers.SortedDict
    )
    by_arrival: collections.OrderedDict[str, Waiting] = attrs.field(
        factory=collections.OrderedDict
    )

    def push(self, waiting: Waiting) -> None:
        """Add a request."""
        self.by_arrival[waiting.wish.request_id] = waiting
        self.by_deadline[waiting.key] = waiting

    def remove(self, request_id: str) -> Waiting | None:
        """Take a request out and return it, if it is there."""
        waiting = self.by_arrival.pop(request_id, None)
        if waiting is not None:
            del self.by_deadline[waiting.key]
        return waiting

    def first(self) -> Waiting:
        """Return the request with the earliest deadline."""
        return self.by_deadline.peekitem(0)[1]

    def last(self) -> Waiting:
        """Return the request with the latest deadline."""
        return self.by_deadline.peekitem(-1)[1]

    def oldest(self) -> Waiting:
        """Return the request that has waited longest."""
        return next(iter(self.by_arrival.values()))


@attrs.define
class WaitingQueue:
    """Waiting requests by priority of their class, then by deadline.

    Adding and removing cost logarithmic time.

    Attributes:
        classes: Queues by priority, then name of the class.
        names: Class and priority by request identifier.
        orders: Source of arrival numbers.

    Examples:
        >>> queue = WaitingQueue()
        >>> queue.push(requests.SlotRequest('a', 'e', 'long', 9.0), 2, 0.0)
        >>> queue.push(requests.SlotRequest('b', 'e', 'short', 5.0), 1, 0.0)
        >>> [w.wish.request_id for w in queue.candidates()]
        ['b', 'a']
        >>> queue.position(2, 9.0), len(queue)
        (2, 2)
    """

    classes: sortedcontainers.SortedDict = attrs.field(
        factory=sortedcontainers.SortedDict
    )
    names: dict[str, tuple[int, str]] = attrs.field(factory=dict)
    orders: typing.Iterator[int] = attrs.field(factory=itertools.count)

    def __len__(self) -> int:
        return len(self.names)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self.names

    def push(
        self, wish: requests.SlotRequest, priority: int, now: float
    ) -> None:
        """Add a request.

        Args:
            wish: The request.
            priority: Priority of its class, 0 first.
            now: Clock seconds.
        """
        place = (priority, wish.request_class)
        queue = self.classes.get(place)
        if queue is None:
            queue = self.classes[place] = ClassQueue()
        queue.push(Waiting(wish, now, next(self.orders)))
        self.names[wish.request_id] = place

    def remove(self, request_id: str) -> Waiting | None:
        """Take a request out and return it, if it is there.

        Args:
            request_id: The request.
        """
        place = self.names.pop(request_id, None)
        if place is None:
            return None
        return self.classes[place].remove(request_id)

    def filled(self) -> list[ClassQueue]:
        """Return the queues that are not empty, in order of priority."""
        return [q for q in self.classes.values() if q.by_arrival]

    def candidates(self) -> typing.Iterator[Waiting]:
        """Yield the next requests to serve, a few of each class."""
        for queue in self.filled():
            yield from itertools.islice(queue.by_deadline.values(), SCAN)

    def oldest(self) -> list[Waiting]:
        """Return the oldest request of each class but the first, by age.

        The first class is served next anyway.
        """
        found = [queue.oldest() for queue in self.filled()[1:]]
        return sorted(found, key=lambda waiting: waiting.order)

    def firsts(self) -> list[Waiting]:
        """Return the request with the earliest deadline of each class."""
        return [queue.first() for queue in self.filled()]

    def last(self) -> tuple[int, Waiting] | None:
        """Return the request that is served last, with its priority."""
        for (priority, _), queue in reversed(self.classes.items()):
            if queue.by_arrival:
                return priority, queue.last()
        return None

    def position(self, priority: int, deadline: float, name: str = '') -> int:
        """Return how many requests are served up to a deadline.

        Args:
            priority: Priority of the class.
            deadline: The deadline; requests with the same one count.
            name: Count only this class; empty for all.
        """
        number = 0
        for (other, class_name), queue in self.classes.items():
            if name and class_name != name:
                continue
            if other < priority:
                number += len(queue.by_deadline)
            elif other == priority:
                number += queue.by_deadline.bisect_right((deadline, math.inf))
        return number
