"""Slots of instances, and the order in which instances are chosen."""

import collections
import math
import typing

import attrs
import sortedcontainers

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.health import instance_health
from bulrushcourse_domain.slots import requests

REFRESH_S = 0.005
REFRESH_PER_INSTANCE_S = 0.000_2
"""Interval between reorderings: the first one, or if it is longer, the second
one for each instance of the pool. This bounds the cost at a few percent of a
core at any size.
"""

SLOW_RATIO = 2.0
"""Slowness from which an instance is used only when the queue is long."""


@attrs.define
class InstanceSlots:
    """Slots of one instance.

    Attributes:
        slots: Number of slots.
        held: Identifiers of the requests at work.
        classes: Number of requests at work by class.
        usable: Slots that health and recovery leave, held ones included.
        slowness: Service time against the pool's median when last ordered.
        granted_at: Number of the grant that it got last.
        weight: Key in the order, ``None`` while it has no free slot.
    """

    slots: int
    held: set[str] = attrs.field(factory=set)
    classes: collections.Counter = attrs.field(factory=collections.Counter)
    usable: int = 0
    slowness: float = 1.0
    granted_at: int = 0
    weight: tuple[bool, float, int, str] | None = None

    @property
    def free(self) -> int:
        """Number of slots that may be granted."""
        return self.usable - len(self.held)


@attrs.define
class InstanceOrder:
    """Instances with free slots, lowest weight first.

    The weight is the share of an instance's slots that would be in use times
    its slowness. Choosing costs logarithmic time; measurements age, so the
    whole order is renewed at a fixed interval.

    Attributes:
        clock: Source of time.
        health: State of the pool's instances.
        instances: Slots by name of instance.
        free: Weights of instances with a free slot, in order.
        grants: Number of grants so far.
        refreshed_at: Clock seconds of the last renewal.
        usable_slots: Usable slots of the pool at the last renewal.
        fast_slots: Those of them at instances that are not slow.
    """

    clock: clocks.Clock
    health: instance_health.InstanceHealth
    instances: dict[str, InstanceSlots] = attrs.field(factory=dict)
    free: sortedcontainers.SortedList = attrs.field(
        factory=sortedcontainers.SortedList
    )
    grants: int = 0
    refreshed_at: float = -math.inf
    usable_slots: int = 0
    fast_slots: int = 0

    def set_instances(self, slots: dict[str, int]) -> None:
        """Replace the instances; one with work stays until it has ended.

        Args:
            slots: Number of slots by name of instance.
        """
        for name in self.instances.keys() - slots.keys():
            self.instances[name].slots = self.instances[name].usable = 0
            self.place(name)
            if not self.instances[name].held:
                del self.instances[name]
        for name, number in slots.items():
            held = self.instances.setdefault(name, InstanceSlots(number))
            held.slots = number

    def has_other(self, avoid: typing.Collection[str]) -> bool:
        """Return whether there is an instance that is not avoided.

        Args:
            avoid: Names of the avoided instances.
        """
        return any(
            held.slots and name not in avoid
            for name, held in self.instances.items()
        )

    def choose(
        self,
        wish: requests.SlotRequest,
        class_limit: typing.Callable[[int], int],
        queued: int,
    ) -> str | None:
        """Return the best instance for a request, if there is one.

        Args:
            wish: The request.
            class_limit: Slots that the class may hold at one instance, from
                the instance's number of slots.
            queued: Number of waiting requests.
        """
        for slow, _, _, name in self.free:
            held = self.instances[name]
            if name in wish.avoid:
                continue
            if held.classes[wish.request_class] >= class_limit(held.slots):
                continue
            # Waiting for a faster instance pays off while the queue is
            # shorter than the time that the slow instance would add.
            if slow and queued <= (held.slowness - 1) * self.fast_slots:
                return None
            return name
        return None

    def hold(self, name: str, request_id: str, request_class: str) -> None:
        """Take a slot of an instance.

        Args:
            name: The instance.
            request_id: The request that uses it.
            request_class: The request's class.
        """
        held = self.instances.setdefault(name, InstanceSlots(0))
        held.held.add(request_id)
        held.classes[request_class] += 1
        self.grants += 1
        held.granted_at = self.grants
        self.place(name)

    def give_back(
        self, name: str, request_id: str, request_class: str
    ) -> None:
        """Return a slot of an instance.

        Args:
            name: The instance.
            request_id: The request that used it.
            request_class: The request's class.
        """
        held = self.instances[name]
        held.held.discard(request_id)
        held.classes[request_class] -= 1
        self.place(name)
        if not held.slots and not held.held:
            del self.instances[name]

    def place(self, name: str) -> None:
        """Put an instance at its place in the order.

        Args:
            name: The instance.
        """
        held = self.instances[name]
        if held.weight is not None:
            self.free.remove(held.weight)
            held.weight = None
        held.slowness = self.health.slowness(name)
        if held.free > 0:
            weight = (len(held.held) + 1) / held.slots * held.slowness
            slow = held.slowness >= SLOW_RATIO
            held.weight = (slow, weight, held.granted_at, name)
            self.free.add(held.weight)

    def refresh(self, reserved: typing.Callable[[int], int]) -> None:
        """Renew health, usable slots and order, at most once an interval.

        Args:
            reserved: Slots of an instance that are kept back, from its
                number of slots.
        """
        now = self.clock.monotonic()
        interval_s = max(
            REFRESH_S, REFRESH_PER_INSTANCE_S * len(self.instances)
        )
        if now - self.refreshed_at < interval_s:
            return
        self.refreshed_at = now
        self.health.refresh()
        for name, held in self.instances.items():
            held.usable = min(
                self.health.open_slots(name),
                held.slots - reserved(held.slots),
            )
            self.place(name)
        self.usable_slots = sum(
            held.usable for held in self.instances.values()
        )
        self.fast_slots = sum(
            held.usable
            for held in self.instances.values()
            if held.slowness < SLOW_RATIO
        )
