"""The aggregate that grants the slots of one service in one region."""

import functools
import math
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.health import instance_health
from bulrushcourse_domain.slots import active_grants
from bulrushcourse_domain.slots import estimates
from bulrushcourse_domain.slots import instances
from bulrushcourse_domain.slots import queue as queues
from bulrushcourse_domain.slots import recovery as recoveries
from bulrushcourse_domain.slots import requests

MAX_QUEUED_REQUESTS = 2_000
"""Further requests would wait longer than their callers do."""

AGED_AFTER_S = 0.5
"""Time in the queue after which a request may precede higher classes."""

GRANTS_PER_AGED_GRANT = 8
"""One grant in this many goes to the oldest aged request.

A fixed share, unlike a priority that grows with age, bounds the delay of
urgent requests by aged ones while the pool is overloaded.
"""

MIN_HEDGE_SLOWNESS_RATIO = 1.5
"""Slowness of an instance from which its requests may be hedged."""

DECISION_INTERVAL_S = 0.05
"""Interval of decisions while requests are queued.

The slowness of an instance changes with time, without other calls.
"""

EXPIRED_RESULT = requests.ReleaseResult(requests.ReleaseOutcome.CANCELLED)


@attrs.define
class SlotPool:
    """Grants slots so that no instance runs more requests than it has slots.

    Requests are queued by priority of their class and then by deadline. Each
    request gets one decision. All times are seconds of the pool's clock.

    Attributes:
        clock: Source of time.
        classes: Request classes by name.
        in_flight_limit: Maximum of concurrent grants, ``None`` for no limit.
        health: Health of the pool's instances.
        selector: Slots by instance, and choice of the instance for a grant.
        active: Grants in use.
        queue: Queued requests.
        recovery: Slots that are reserved after a takeover.
        queue_grant_count: Number of grants from the queue.
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
    selector: instances.InstanceSelector = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda self: instances.InstanceSelector(self.clock, self.health),
            takes_self=True,
        ),
    )
    active: active_grants.ActiveGrants = attrs.field(
        init=False, factory=active_grants.ActiveGrants
    )
    queue: queues.RequestQueue = attrs.field(
        init=False, factory=queues.RequestQueue
    )
    recovery: recoveries.Recovery = attrs.field(
        init=False, factory=lambda: recoveries.Recovery(0.0, set())
    )
    queue_grant_count: int = attrs.field(init=False, default=0)

    @property
    def granted(self) -> dict[str, requests.ActiveGrant]:
        """Grants in use by request identifier."""
        return self.active.by_request_id

    @property
    def instances(self) -> dict[str, instances.InstanceSlots]:
        """Slots by name of instance."""
        return self.selector.instances

    def healthy_slots(self) -> int:
        """Return the number of usable slots at healthy instances."""
        return sum(
            min(slots.usable, self.health.healthy_slots(name))
            for name, slots in self.instances.items()
        )

    def set_instances(self, slots: dict[str, int]) -> None:
        """Replace the instances whose slots may be granted.

        Args:
            slots: Number of slots by name of instance.
        """
        self.health.set_instances(slots)
        self.selector.set_instances(slots)
        self._refresh()

    def set_leaving(
        self, name: str, leaving: bool = True
    ) -> tuple[requests.Decision, ...]:
        """Stop or resume granting the slots of an instance.

        Args:
            name: The instance.
            leaving: Whether it is leaving.
        """
        self.health.set_leaving(name, leaving)
        self.selector.refreshed_at = -math.inf
        return self.decide()

    def request(
        self, request: requests.SlotRequest
    ) -> tuple[requests.Decision, ...]:
        """Queue a request and return the resulting decisions.

        Args:
            request: The request; one that was sent before has no effect.

        Examples:
            >>> short = objects.RequestClass('short', 1, 5000)
            >>> pool = SlotPool(clocks.ManualClock(), {'short': short})
            >>> pool.set_instances({'a': 1})
            >>> request = requests.SlotRequest('r', 'e', 'short', 5.0)
            >>> [grant.instance for grant in pool.request(request)]
            ['a']
        """
        if (
            request.request_id in self.granted
            or request.request_id in self.queue
        ):
            return ()
        if not self.selector.has_alternative(request.avoid):
            return (_refuse(request, requests.RefusalReason.NO_INSTANCE),)
        if request.hedged and not self._is_hedge_useful(request):
            return (_refuse(request, requests.RefusalReason.NO_GAIN),)
        priority = self.classes[request.request_class].priority
        decisions = self._shed_if_full(request, priority)
        if decisions and decisions[0].request_id == request.request_id:
            return decisions
        self.queue.push(request, priority, self.clock.monotonic())
        decisions += self.decide()
        if request.request_id in self.queue and not self._can_meet_deadline(
            request
        ):
            self.queue.remove(request.request_id)
            decisions += (_refuse(request, requests.RefusalReason.DEADLINE),)
        return decisions

    def release(
        self,
        request_id: str,
        outcome: requests.ReleaseOutcome = requests.ReleaseOutcome.CANCELLED,
        service_time_s: float | None = None,
    ) -> tuple[requests.Decision, ...]:
        """Release a slot and return the resulting decisions.

        Args:
            request_id: The request that held the slot.
            outcome: Outcome of the request.
            service_time_s: Measured service time; ``None`` to use the time
                since the grant.
        """
        self._end_grant(
            request_id, requests.ReleaseResult(outcome, service_time_s)
        )
        return self.decide()

    def cancel(self, request_id: str) -> None:
        """Remove a queued request; a granted one has to be released.

        Args:
            request_id: The request that no longer needs a slot.
        """
        self.queue.remove(request_id)

    def start_recovery(self, holders: typing.Iterable[str]) -> None:
        """Reserve the slots that entries may hold from a former owner.

        Args:
            holders: Incarnations of entries that may hold such slots.
        """
        self.recovery = recoveries.Recovery(
            self.clock.monotonic(), set(holders)
        )
        self._refresh()

    def record_held_grants(
        self, holder: str, grants: typing.Iterable[requests.Grant]
    ) -> tuple[requests.Decision, ...]:
        """Record the grants that an entry reports to hold.

        Args:
            holder: Incarnation of the entry.
            grants: All grants that the entry holds.
        """
        for grant in grants:
            if grant.request_id not in self.granted:
                self.queue.remove(grant.request_id)
                self._record_grant(grant)
        self.recovery.record_report(holder)
        self.selector.refreshed_at = -math.inf
        return self.decide()

    def decide(self) -> tuple[requests.Decision, ...]:
        """Return the grants and refusals that are due now."""
        now = self.clock.monotonic()
        for request_id in self.active.expired_requests(now):
            self._end_grant(request_id, EXPIRED_RESULT)
        self._refresh(force=False)
        decisions: list[requests.Decision] = []
        while (decision := self._next_decision(now)) is not None:
            decisions.append(decision)
        return tuple(decisions)

    def next_due(self) -> float | None:
        """Return when to call ``decide`` next, ``None`` if nothing is due.

        The result is in clock seconds.
        """
        now = self.clock.monotonic()
        if len(self.queue):
            return now + DECISION_INTERVAL_S
        return self.active.next_expiry()

    def _next_decision(self, now: float) -> requests.Decision | None:
        """Decide one queued request and remove it, if any can be decided."""
        for queued in self._candidates(now):
            request = queued.request
            if request.deadline <= now:
                self.queue.remove(request.request_id)
                return _refuse(request, requests.RefusalReason.DEADLINE)
            name = self._choose_instance(request)
            if name is not None:
                self.queue.remove(request.request_id)
                self.queue_grant_count += 1
                grant = requests.Grant(
                    request.request_id,
                    request.holder,
                    name,
                    request.request_class,
                    request.deadline,
                )
                self._record_grant(grant)
                return grant
        for queued in self.queue.earliest_deadlines():
            request = queued.request
            typical_s = self.health.typical_s(request.request_class)
            if request.deadline <= now + typical_s:
                self.queue.remove(request.request_id)
                return _refuse(request, requests.RefusalReason.DEADLINE)
        return None

    def _candidates(self, now: float) -> typing.Iterator[queues.QueuedRequest]:
        if self.queue_grant_count % GRANTS_PER_AGED_GRANT == 0:
            for queued in self.queue.oldest_by_class():
                if now - queued.queued_at >= AGED_AFTER_S:
                    yield queued
        yield from self.queue.candidates()

    def _choose_instance(self, request: requests.SlotRequest) -> str | None:
        limit = self.in_flight_limit
        if limit is not None and len(self.granted) >= limit:
            return None
        request_class = self.classes[request.request_class]
        class_limit = recoveries.max_pool_slots(
            request_class, self.selector.usable_slots
        )
        if self.active.count_by_class[request.request_class] >= class_limit:
            return None
        instance_limit = functools.partial(
            recoveries.max_instance_slots, request_class
        )
        return self.selector.choose(request, instance_limit, len(self.queue))

    def _record_grant(self, grant: requests.Grant) -> None:
        typical_s = self.health.typical_s(grant.request_class)
        self.active.add(
            requests.ActiveGrant(grant, self.clock.monotonic(), typical_s)
        )
        self.health.record_start(grant.instance, typical_s)
        self.selector.acquire(
            grant.instance, grant.request_id, grant.request_class
        )

    def _end_grant(
        self, request_id: str, result: requests.ReleaseResult
    ) -> None:
        active = self.active.remove(request_id)
        if active is None:
            return
        grant = active.grant
        self.health.record_end(active, result)
        self.selector.release(grant.instance, request_id, grant.request_class)

    def _is_hedge_useful(self, request: requests.SlotRequest) -> bool:
        """Return whether a hedge likely completes before the first attempt.

        It does if the first attempt's instance is slow and a slot of another
        instance is free now.
        """
        slowness = self.health.slowness(request.hedged)
        return (
            slowness >= MIN_HEDGE_SLOWNESS_RATIO
            and not len(self.queue)
            and self._choose_instance(request) is not None
        )

    def _shed_if_full(
        self, request: requests.SlotRequest, priority: int
    ) -> tuple[requests.Decision, ...]:
        last = self.queue.last()
        if last is None or len(self.queue) < MAX_QUEUED_REQUESTS:
            return ()
        shed = request
        if priority < last[0]:
            shed = last[1].request
            self.queue.remove(shed.request_id)
        return (_refuse(shed, requests.RefusalReason.QUEUE_FULL),)

    def _can_meet_deadline(self, request: requests.SlotRequest) -> bool:
        typical_s = {
            name: self.health.typical_s(name) for name in self.classes
        }
        wait_s = estimates.estimate_wait_s(
            request,
            self.queue,
            self.classes,
            self.active.count_by_class,
            typical_s,
            self.selector.usable_slots,
        )
        end = (
            self.clock.monotonic() + wait_s + typical_s[request.request_class]
        )
        return end <= request.deadline

    def _refresh(self, force: bool = True) -> None:
        if force:
            self.selector.refreshed_at = -math.inf
        now = self.clock.monotonic()
        self.selector.refresh(
            lambda slots: self.recovery.reserved_slots(
                slots, self.classes, now
            )
        )


def _refuse(
    request: requests.SlotRequest, reason: requests.RefusalReason
) -> requests.Refusal:
    return requests.Refusal(request.request_id, request.holder, reason)
