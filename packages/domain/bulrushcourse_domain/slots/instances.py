"""Slots of instances, and selection of the instance for a grant."""

import collections
import math
import typing

import attrs
import sortedcontainers

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.health import instance_health
from bulrushcourse_domain.slots import requests

MIN_REFRESH_INTERVAL_S = 0.005
REFRESH_INTERVAL_PER_INSTANCE_S = 0.000_2
"""Refresh interval per instance of the pool.

An interval that grows with the pool bounds the cost of refreshing the order at
a few percent of a core, whatever the size of the pool.
"""

MIN_SLOW_RATIO = 2.0
"""Slowness from which an instance is used only when the queue is long."""


@attrs.define
class InstanceSlots:
    """Slots of one instance.

    Attributes:
        slots: Number of slots.
        held: Identifiers of the requests that hold a slot.
        held_by_class: Number of slots in use by class.
        usable: Slots that may be in use, given the instance's health and the
            slots reserved after a takeover.
        slowness: Slowness when the instance was last ordered, in multiples
            of the pool's median.
        last_grant_number: Sequence number of the last grant of one of its
            slots.
        sort_key: Position in the order, ``None`` while no slot is free.
    """

    slots: int
    held: set[str] = attrs.field(factory=set)
    held_by_class: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    usable: int = 0
    slowness: float = 1.0
    last_grant_number: int = 0
    sort_key: tuple[bool, float, int, str] | None = None

    @property
    def free(self) -> int:
        """Number of slots that may be granted."""
        return self.usable - len(self.held)


@attrs.define
class InstanceSelector:
    """Chooses the instance for each grant, the least loaded one first.

    Instances with a free slot are ordered by weight: the share of their
    slots in use after one more grant, times their slowness. Instances that
    are not slow come before slow ones. Updating one instance takes
    logarithmic time. Slowness also changes without grants, so the whole
    order is refreshed at an interval.

    Attributes:
        clock: Source of time.
        health: Health of the pool's instances.
        instances: Slots by name of instance.
        available: Sort keys of the instances with a free slot.
        grant_count: Number of grants so far.
        refreshed_at: Clock seconds of the last refresh.
        usable_slots: Usable slots of the pool at the last refresh.
        fast_slots: Usable slots at instances that were not slow then.
    """

    clock: clocks.Clock
    health: instance_health.InstanceHealth
    instances: dict[str, InstanceSlots] = attrs.field(factory=dict)
    available: sortedcontainers.SortedList = attrs.field(
        factory=sortedcontainers.SortedList
    )
    grant_count: int = 0
    refreshed_at: float = -math.inf
    usable_slots: int = 0
    fast_slots: int = 0

    def set_instances(self, slots: dict[str, int]) -> None:
        """Replace the instances.

        A removed instance stays, without usable slots, until its last slot
        is released.

        Args:
            slots: Number of slots by name of instance.
        """
        for name in self.instances.keys() - slots.keys():
            self.instances[name].slots = self.instances[name].usable = 0
            self.reorder(name)
            if not self.instances[name].held:
                del self.instances[name]
        for name, number in slots.items():
            instance = self.instances.setdefault(name, InstanceSlots(number))
            instance.slots = number

    def has_alternative(self, avoid: typing.Collection[str]) -> bool:
        """Return whether the pool has an instance outside the given ones.

        Args:
            avoid: Names of instances that must not be chosen.
        """
        return any(
            instance.slots and name not in avoid
            for name, instance in self.instances.items()
        )

    def choose(
        self,
        request: requests.SlotRequest,
        class_limit: typing.Callable[[int], int],
        queued_requests: int,
    ) -> str | None:
        """Return the best instance for a request, ``None`` to wait.

        Args:
            request: The request.
            class_limit: Returns how many slots of one instance the class may
                hold, given the instance's number of slots.
            queued_requests: Number of queued requests.
        """
        for slow, _, _, name in self.available:
            instance = self.instances[name]
            if name in request.avoid:
                continue
            if instance.held_by_class[request.request_class] >= class_limit(
                instance.slots
            ):
                continue
            # While the queue is short, waiting for a faster instance takes
            # less time than the slow instance would add.
            if (
                slow
                and queued_requests
                <= (instance.slowness - 1) * self.fast_slots
            ):
                return None
            return name
        return None

    def acquire(self, name: str, request_id: str, request_class: str) -> None:
        """Acquire a slot of an instance.

        Args:
            name: The instance.
            request_id: The request that uses the slot.
            request_class: The request's class.
        """
        instance = self.instances.setdefault(name, InstanceSlots(0))
        instance.held.add(request_id)
        instance.held_by_class[request_class] += 1
        self.grant_count += 1
        instance.last_grant_number = self.grant_count
        self.reorder(name)

    def release(self, name: str, request_id: str, request_class: str) -> None:
        """Release a slot of an instance.

        Args:
            name: The instance.
            request_id: The request that used the slot.
            request_class: The request's class.
        """
        instance = self.instances[name]
        instance.held.discard(request_id)
        instance.held_by_class[request_class] -= 1
        self.reorder(name)
        if not instance.slots and not instance.held:
            del self.instances[name]

    def reorder(self, name: str) -> None:
        """Update the position of an instance in the order.

        Args:
            name: The instance.
        """
        instance = self.instances[name]
        if instance.sort_key is not None:
            self.available.remove(instance.sort_key)
            instance.sort_key = None
        instance.slowness = self.health.slowness(name)
        if instance.free > 0:
            weight = (
                (len(instance.held) + 1) / instance.slots * instance.slowness
            )
            slow = instance.slowness >= MIN_SLOW_RATIO
            instance.sort_key = (
                slow,
                weight,
                instance.last_grant_number,
                name,
            )
            self.available.add(instance.sort_key)

    def refresh(self, reserved_slots: typing.Callable[[int], int]) -> None:
        """Update health, usable slots and order, at most once an interval.

        Args:
            reserved_slots: Returns how many slots of an instance must not be
                granted, given the instance's number of slots.
        """
        now = self.clock.monotonic()
        interval_s = max(
            MIN_REFRESH_INTERVAL_S,
            REFRESH_INTERVAL_PER_INSTANCE_S * len(self.instances),
        )
        if now - self.refreshed_at < interval_s:
            return
        self.refreshed_at = now
        self.health.refresh()
        for name, instance in self.instances.items():
            instance.usable = min(
                self.health.open_slots(name),
                instance.slots - reserved_slots(instance.slots),
            )
            self.reorder(name)
        self.usable_slots = sum(
            instance.usable for instance in self.instances.values()
        )
        self.fast_slots = sum(
            instance.usable
            for instance in self.instances.values()
            if instance.slowness < MIN_SLOW_RATIO
        )
