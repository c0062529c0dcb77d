"""The aggregate that grants the slots of one service in one region."""

import heapq

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.slots import requests


@attrs.define
class InstanceSlots:
    """Slots of one instance.

    Attributes:
        slots: Number of slots.
        held: Identifiers of the requests at work.
    """

    slots: int
    held: set[str] = attrs.field(factory=set)

    @property
    def free(self) -> int:
        """Number of slots that may be granted."""
        return self.slots - len(self.held)


@attrs.define
class SlotPool:
    """Grants slots so that no instance gets more work than it has slots.

    Requests wait here, by priority of their class and then by deadline.

    Attributes:
        clock: Source of time.
        classes: Classes of requests by name.
        instances: Slots by name of instance.
        granted: Grants by request identifier.
        waiting: Heap of waiting requests.
    """

    clock: clocks.Clock
    classes: dict[str, objects.RequestClass]
    instances: dict[str, InstanceSlots] = attrs.field(factory=dict)
    granted: dict[str, requests.Grant] = attrs.field(factory=dict)
    waiting: list[tuple[int, float, str, requests.SlotRequest]] = attrs.field(
        factory=list
    )

    def set_instances(self, slots: dict[str, int]) -> None:
        """Replace the instances that may be granted.

        Args:
            slots: Number of slots by name of instance.
        """
        for name in self.instances.keys() - slots.keys():
            if not self.instances[name].held:
                del self.instances[name]
            else:
                self.instances[name].slots = 0
        for name, number in slots.items():
            held = self.instances.setdefault(name, InstanceSlots(number))
            held.slots = number

    def request(
        self, wish: requests.SlotRequest
    ) -> tuple[requests.Decision, ...]:
        """Queue a request and return the decisions that follow.

        Args:
            wish: The request.

        Examples:
            >>> short = objects.RequestClass('short', 1, 5000)
            >>> pool = SlotPool(clocks.ManualClock(), {'short': short})
            >>> pool.set_instances({'a': 1})
            >>> wish = requests.SlotRequest('r', 'e', 'short', 5.0)
            >>> pool.request(wish)
            (Grant(request_id='r', holder='e', instance='a'),)
        """
        priority = self.classes[wish.request_class].priority
        heapq.heappush(
            self.waiting, (priority, wish.deadline, wish.request_id, wish)
        )
        return self.decide()

    def release(self, request_id: str) -> tuple[requests.Decision, ...]:
        """Give a slot back and return the decisions that follow.

        Args:
            request_id: The request that held the slot.
        """
        grant = self.granted.pop(request_id, None)
        if grant is not None:
            self.instances[grant.instance].held.discard(request_id)
        return self.decide()

    def cancel(self, request_id: str) -> None:
        """Forget a waiting request.

        Args:
            request_id: The request that no longer needs a slot.
        """
        self.waiting = [w for w in self.waiting if w[2] != request_id]
        heapq.heapify(self.waiting)

    def decide(self) -> tuple[requests.Decision, ...]:
        """Return grants and refusals that are due now."""
        now = self.clock.monotonic()
        decisions: list[requests.Decision] = []
        while self.waiting:
            wish = self.waiting[0][3]
            if wish.deadline <= now:
                heapq.heappop(self.waiting)
                decisions.append(
                    requests.Refusal(
                        wish.request_id,
                        wish.holder,
                        requests.RefusalReason.DEADLINE,
                    )
                )
                continue
            instance = self._freest(wish)
            if instance is None:
                break
            heapq.heappop(self.waiting)
            grant = requests.Grant(wish.request_id, wish.holder, instance)
            self.instances[instance].held.add(wish.request_id)
            self.granted[wish.request_id] = grant
            decisions.append(grant)
        return tuple(decisions)

    def _freest(self, wish: requests.SlotRequest) -> str | None:
        free = [
            (len(slots.held), name)
            for name, slots in self.instances.items()
            if slots.free > 0 and name not in wish.avoid
        ]
        return min(free)[1] if free else None
