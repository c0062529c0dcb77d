"""The aggregate that grants the slots of one service in one region."""

import functools
import math
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.health import instance_health
from bulrushcourse_domain.slots import estimates
from bulrushcourse_domain.slots import holdings
from bulrushcourse_domain.slots import instances
from bulrushcourse_domain.slots import queue as queues
from bulrushcourse_domain.slots import recovery as recoveries
from bulrushcourse_domain.slots import requests

QUEUE_LIMIT = 2_000
"""Waiting requests of a pool; more would wait for longer than callers do."""

AGING_S = 0.5
"""Waiting time after which a request may go before higher classes."""

AGED_EVERY = 8
"""One grant in this many goes to the oldest aged request.

A share, rather than a priority that grows, bounds what aged work costs rush
work while more work arrives than the pool can do.
"""

HEDGE_RATIO = 1.5
"""Slowness of an instance from which its running work may be hedged."""

POLL_S = 0.05
"""Interval of decisions while requests wait, since slow instances age."""

EXPIRED = requests.ReleaseResult(requests.ReleaseOutcome.CANCELLED)


@attrs.define
class SlotPool:
    """Grants slots so that no instance gets more work than it has slots.

    Requests wait here, by priority of their class and then by deadline. Each
    request gets one decision. All times are seconds of the pool's clock.

    Attributes:
        clock: Source of time.
        classes: Classes of requests by name.
        in_flight_limit: Most grants at a time, ``None`` for no such limit.
        health: State of the pool's instances.
        order: Slots by instance, and the order of choice.
        held: Grants in use.
        waiting: Requests that wait.
        recovery: Slots kept back after a takeover.
        turns: Number of grants from the queue.
    """

    clock: clocks.Clock
    classes: dict[str, objects.RequestClass]
    in_flight_limit: int | None = None
    health: instance_health.InstanceHealth = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda self: instance_health.InstanceHealth(self.clock),
            takes_self=True,
        ),
    )
    order: instances.InstanceOrder = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda self: instances.InstanceOrder(self.clock, self.health),
            takes_self=True,
        ),
    )
    held: holdings.Holdings = attrs.field(
        init=False, factory=holdings.Holdings
    )
    waiting: queues.WaitingQueue = attrs.field(
        init=False, factory=queues.WaitingQueue
    )
    recovery: recoveries.Recovery = attrs.field(
        init=False, factory=lambda: recoveries.Recovery(0.0, set())
    )
    turns: int = attrs.field(init=False, default=0)

    @property
    def granted(self) -> dict[str, requests.ActiveGrant]:
        """Grants in use by request identifier."""
        return self.held.runs

    @property
    def instances(self) -> dict[str, instances.InstanceSlots]:
        """Slots by name of instance."""
        return self.order.instances

    def healthy_slots(self) -> int:
        """Return the usable slots at instances that look healthy."""
        return sum(
            min(slots.usable, self.health.healthy_slots(name))
            for name, slots in self.instances.items()
        )

    def set_instances(self, slots: dict[str, int]) -> None:
        """Replace the instances that may be granted.

        Args:
            slots: Number of slots by name of instance.
        """
        self.health.set_instances(slots)
        self.order.set_instances(slots)
        self._refresh()

    def set_leaving(
        self, name: str, leaving: bool = True
    ) -> tuple[requests.Decision, ...]:
        """Stop granting the slots of an instance that is leaving.

        Args:
            name: The instance.
            leaving: Whether it is leaving; ``False`` when it serves again.
        """
        self.health.set_leaving(name, leaving)
        self.order.refreshed_at = -math.inf
        return self.decide()

    def request(
        self, wish: requests.SlotRequest
    ) -> tuple[requests.Decision, ...]:
        """Queue a request and return the decisions that follow.

        Args:
            wish: The request; one that was sent again changes nothing.

        Examples:
            >>> short = objects.RequestClass('short', 1, 5000)
            >>> pool = SlotPool(clocks.ManualClock(), {'short': short})
            >>> pool.set_instances({'a': 1})
            >>> wish = requests.SlotRequest('r', 'e', 'short', 5.0)
            >>> [grant.instance for grant in pool.request(wish)]
            ['a']
        """
        if wish.request_id in self.granted or wish.request_id in self.waiting:
            return ()
        if not self.order.has_other(wish.avoid):
            return (_refuse(wish, requests.RefusalReason.NO_INSTANCE),)
        if wish.hedged and not self._gains(wish):
            return (_refuse(wish, requests.RefusalReason.NO_GAIN),)
        priority = self.classes[wish.request_class].priority
        decisions = self._make_room(wish, priority)
        if decisions and decisions[0].request_id == wish.request_id:
            return decisions
        self.waiting.push(wish, priority, self.clock.monotonic())
        decisions += self.decide()
        if wish.request_id in self.waiting and not self._can_meet(wish):
            self.waiting.remove(wish.request_id)
            decisions += (_refuse(wish, requests.RefusalReason.DEADLINE),)
        return decisions

    def release(
        self,
        request_id: str,
        outcome: requests.ReleaseOutcome = requests.ReleaseOutcome.CANCELLED,
        seconds: float | None = None,
    ) -> tuple[requests.Decision, ...]:
        """Give a slot back and return the decisions that follow.

        Args:
            request_id: The request that held the slot.
            outcome: How its work ended.
            seconds: Measured service time.
        """
        self._end(request_id, requests.ReleaseResult(outcome, seconds))
        return self.decide()

    def cancel(self, request_id: str) -> None:
        """Forget a waiting request; a granted one has to be released.

        Args:
            request_id: The request that no longer needs a slot.
        """
        self.waiting.remove(request_id)

    def take_over(self, holders: typing.Iterable[str]) -> None:
        """Keep back the slots that other entries may hold.

        Args:
            holders: Entries that may hold slots of a former owner.
        """
        self.recovery = recoveries.Recovery(
            self.clock.monotonic(), set(holders)
        )
        self._refresh()

    def report_held(
        self, holder: str, grants: typing.Iterable[requests.Grant]
    ) -> tuple[requests.Decision, ...]:
        """Count the slots that an entry says it holds.

        Args:
            holder: Name of the entry.
            grants: All grants that it holds.
        """
        for grant in grants:
            if grant.request_id not in self.granted:
                self.waiting.remove(grant.request_id)
                self._hold(grant)
        self.recovery.report(holder)
        self.order.refreshed_at = -math.inf
        return self.decide()

    def decide(self) -> tuple[requests.Decision, ...]:
        """Return grants and refusals that are due now."""
        now = self.clock.monotonic()
        for request_id in self.held.expired(now):
            self._end(request_id, EXPIRED)
        self._refresh(force=False)
        decisions: list[requests.Decision] = []
        while (decision := self._next(now)) is not None:
            decisions.append(decision)
        return tuple(decisions)

    def next_due(self) -> float | None:
        """Return when ``decide`` is due without another call, or ``None``."""
        now = self.clock.monotonic()
        if len(self.waiting):
            return now + POLL_S
        return self.held.next_expiry()

    def _next(self, now: float) -> requests.Decision | None:
        """Take one request out of the queue, if one can be decided."""
        for waiting in self._candidates(now):
            wish = waiting.wish
            if wish.deadline <= now:
                self.waiting.remove(wish.request_id)
                return _refuse(wish, requests.RefusalReason.DEADLINE)
            name = self._choose(wish)
            if name is not None:
                self.waiting.remove(wish.request_id)
                self.turns += 1
                grant = requests.Grant(
                    wish.request_id,
                    wish.holder,
                    name,
                    wish.request_class,
                    wish.deadline,
                )
                self._hold(grant)
                return grant
        for waiting in self.waiting.firsts():
            wish = waiting.wish
            typical_s = self.health.typical_s(wish.request_class)
            if wish.deadline <= now + typical_s:
                self.waiting.remove(wish.request_id)
                return _refuse(wish, requests.RefusalReason.DEADLINE)
        return None

    def _candidates(self, now: float) -> typing.Iterator[queues.Waiting]:
        if self.turns % AGED_EVERY == 0:
            for waiting in self.waiting.oldest():
                if now - waiting.since >= AGING_S:
                    yield waiting
        yield from self.waiting.candidates()

    def _choose(self, wish: requests.SlotRequest) -> str | None:
        limit = self.in_flight_limit
        if limit is not None and len(self.granted) >= limit:
            return None
        request_class = self.classes[wish.request_class]
        most = recoveries.pool_limit(request_class, self.order.usable_slots)
        if self.held.by_class[wish.request_class] >= most:
            return None
        at_instance = functools.partial(
            recoveries.instance_limit, request_class
        )
        return self.order.choose(wish, at_instance, len(self.waiting))

    def _hold(self, grant: requests.Grant) -> None:
        typical_s = self.health.typical_s(grant.request_class)
        self.held.add(
            requests.ActiveGrant(grant, self.clock.monotonic(), typical_s)
        )
        self.health.start(grant.instance, typical_s)
        self.order.hold(grant.instance, grant.request_id, grant.request_class)

    def _end(self, request_id: str, result: requests.ReleaseResult) -> None:
        run = self.held.remove(request_id)
        if run is None:
            return
        grant = run.grant
        self.health.end(run, result)
        self.order.give_back(grant.instance, request_id, grant.request_class)

    def _gains(self, wish: requests.SlotRequest) -> bool:
        """Return whether a hedge likely ends before the first copy.

        It does if the first copy's instance is slow and a slot elsewhere is
        free now.
        """
        slowness = self.health.slowness(wish.hedged)
        return (
            slowness >= HEDGE_RATIO
            and not len(self.waiting)
            and self._choose(wish) is not None
        )

    def _make_room(
        self, wish: requests.SlotRequest, priority: int
    ) -> tuple[requests.Decision, ...]:
        last = self.waiting.last()
        if last is None or len(self.waiting) < QUEUE_LIMIT:
            return ()
        shed = wish
        if priority < last[0]:
            shed = last[1].wish
            self.waiting.remove(shed.request_id)
        return (_refuse(shed, requests.RefusalReason.QUEUE_FULL),)

    def _can_meet(self, wish: requests.SlotRequest) -> bool:
        typical_s = {
            name: self.health.typical_s(name) for name in self.classes
        }
        wait_s = estimates.wait_s(
            wish,
            self.waiting,
            self.classes,
            self.held.by_class,
            typical_s,
            self.order.usable_slots,
        )
        end = self.clock.monotonic() + wait_s + typical_s[wish.request_class]
        return end <= wish.deadline

    def _refresh(self, force: bool = True) -> None:
        if force:
            self.order.refreshed_at = -math.inf
        now = self.clock.monotonic()
        self.order.refresh(
            lambda slots: self.recovery.reserved(slots, self.classes, now)
        )


def _refuse(
    wish: requests.SlotRequest, reason: requests.RefusalReason
) -> requests.Refusal:
    return requests.Refusal(wish.request_id, wish.holder, reason)
