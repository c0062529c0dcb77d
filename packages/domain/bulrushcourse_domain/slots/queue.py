"""Queue of the requests that wait for a slot."""

import collections
import itertools
import math
import typing

import attrs
import sortedcontainers

from bulrushcourse_domain.slots import requests

CANDIDATES_PER_CLASS = 4
"""Requests of a class that are considered for each grant.

The first one may exclude every free instance and must not block the others.
"""

DeadlineKey = tuple[float, int]


@attrs.frozen
class QueuedRequest:
    """A request in the queue.

    Attributes:
        request: The request.
        queued_at: Clock seconds at which it was queued.
        arrival_number: Number that increases with each queued request.
    """

    request: requests.SlotRequest
    queued_at: float
    arrival_number: int

    @property
    def deadline_key(self) -> DeadlineKey:
        """Sort key within the class: deadline, then arrival."""
        return self.request.deadline, self.arrival_number


@attrs.define
class ClassQueue:
    """Queued requests of one class.

    Attributes:
        by_deadline: Requests by their deadline key.
        by_arrival: Requests by identifier, oldest first.
    """

    by_deadline: sortedcontainers.SortedDict = attrs.field(
        factory=sortedcontainers.SortedDict
    )
    by_arrival: collections.OrderedDict[str, QueuedRequest] = attrs.field(
        factory=collections.OrderedDict
    )

    def push(self, queued: QueuedRequest) -> None:
        """Add a request."""
        self.by_arrival[queued.request.request_id] = queued
        self.by_deadline[queued.deadline_key] = queued

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove and return a request, ``None`` if it is not queued."""
        queued = self.by_arrival.pop(request_id, None)
        if queued is not None:
            del self.by_deadline[queued.deadline_key]
        return queued

    def first(self) -> QueuedRequest:
        """Return the request with the earliest deadline."""
        return self.by_deadline.peekitem(0)[1]

    def last(self) -> QueuedRequest:
        """Return the request with the latest deadline."""
        return self.by_deadline.peekitem(-1)[1]

    def oldest(self) -> QueuedRequest:
        """Return the request that has been queued longest."""
        return next(iter(self.by_arrival.values()))


@attrs.define
class RequestQueue:
    """Queued requests by priority of their class, then by deadline.

    Adding and removing a request take logarithmic time.

    Attributes:
        class_queues: Queues by priority and name of the class.
        class_keys: Priority and name of the class by request identifier.
        arrival_numbers: Source of arrival numbers.

    Examples:
        >>> queue = RequestQueue()
        >>> queue.push(requests.SlotRequest('a', 'e', 'long', 9.0), 2, 0.0)
        >>> queue.push(requests.SlotRequest('b', 'e', 'short', 5.0), 1, 0.0)
        >>> [q.request.request_id for q in queue.candidates()]
        ['b', 'a']
        >>> queue.position(2, 9.0), len(queue)
        (2, 2)
    """

    class_queues: sortedcontainers.SortedDict = attrs.field(
        factory=sortedcontainers.SortedDict
    )
    class_keys: dict[str, tuple[int, str]] = attrs.field(factory=dict)
    arrival_numbers: typing.Iterator[int] = attrs.field(
        factory=itertools.count
    )

    def __len__(self) -> int:
        return len(self.class_keys)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self.class_keys

    def push(
        self, request: requests.SlotRequest, priority: int, now: float
    ) -> None:
        """Add a request.

        Args:
            request: The request.
            priority: Priority of its class, 0 first.
            now: Clock seconds.
        """
        class_key = (priority, request.request_class)
        queue = self.class_queues.get(class_key)
        if queue is None:
            queue = self.class_queues[class_key] = ClassQueue()
        queue.push(QueuedRequest(request, now, next(self.arrival_numbers)))
        self.class_keys[request.request_id] = class_key

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove and return a request, ``None`` if it is not queued.

        Args:
            request_id: Identifier of the request.
        """
        class_key = self.class_keys.pop(request_id, None)
        if class_key is None:
            return None
        return self.class_queues[class_key].remove(request_id)

    def nonempty_queues(self) -> list[ClassQueue]:
        """Return the class queues that are not empty, by priority."""
        return [q for q in self.class_queues.values() if q.by_arrival]

    def candidates(self) -> typing.Iterator[QueuedRequest]:
        """Yield the first requests of each class in the order of service."""
        for queue in self.nonempty_queues():
            yield from itertools.islice(
                queue.by_deadline.values(), CANDIDATES_PER_CLASS
            )

    def oldest_by_class(self) -> list[QueuedRequest]:
        """Return the oldest request of each class, oldest first.

        Omits the class of highest priority, which is served next anyway.
        """
        oldest = [queue.oldest() for queue in self.nonempty_queues()[1:]]
        return sorted(oldest, key=lambda queued: queued.arrival_number)

    def earliest_deadlines(self) -> list[QueuedRequest]:
        """Return the request of each class with the earliest deadline."""
        return [queue.first() for queue in self.nonempty_queues()]

    def last(self) -> tuple[int, QueuedRequest] | None:
        """Return the request that is served last, and its class's priority."""
        for (priority, _), queue in reversed(self.class_queues.items()):
            if queue.by_arrival:
                return priority, queue.last()
        return None

    def position(
        self, priority: int, deadline: float, only_class: str = ''
    ) -> int:
        """Return how many requests are served before or at a position.

        Args:
            priority: Priority of the position's class.
            deadline: Deadline of the position; requests with an equal one
                are counted.
            only_class: Class to count; empty for all classes.
        """
        number = 0
        for (other, class_name), queue in self.class_queues.items():
            if only_class and class_name != only_class:
                continue
            if other < priority:
                number += len(queue.by_deadline)
            elif other == priority:
                number += queue.by_deadline.bisect_right((deadline, math.inf))
        return number
