"""Admission with a waiting room, an order of service and fair shares."""

import asyncio
import typing

import attrs

from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.placement import reservation
from bulrushcourse_domain.waiting import decision
from bulrushcourse_domain.waiting import drain_rate
from bulrushcourse_domain.waiting import waiting_room
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.callers import admission_control
from bulrushcourse_entry.edge.callers import caller_request
from bulrushcourse_entry.edge.callers import outcomes
from bulrushcourse_entry.edge.waiting import room_decisions
from bulrushcourse_entry.edge.waiting import waiter as room_waiters

Action = decision.Action
End = waiting_room.End

# Time after an offer of room. Without room another offer this soon would find
# none.
OFFER_PAUSE_S = 0.005
# Largest number of entries of a pool that are tried at one offer: the upstream
# that has the object of the first one in memory may still be full.
MAX_OFFERS = 4
# Room at a service counts as short from this share of its requests without
# room on, and as sufficient again below the second one.
SHORT_SHARE = 0.05
SUFFICIENT_SHARE = 0.01


@attrs.define(eq=False)
class WaitingRoomAdmission:
    """Lets requests wait for room where their ranks or accounts differ.

    Requests of all other services are decided on by ``immediate``.

    Attributes:
        state: The process state.
        immediate: Decides without a waiting room.
        decisions: Decides whether requests are sent or wait.
        drain_rates: Rate at which waiting requests find room.
        waiters: Waiting requests by entry.
        on_end: Called with the way in which a wait ended.
        on_room: Called with a service and whether its room is short, when
            this changes.
        short_services: Services whose room is short.
        offer_handle: Next offer of room, ``None`` if none is planned.
    """

    state: process_state.ProcessState
    immediate: admission_control.ImmediateAdmission = attrs.field(init=False)
    decisions: room_decisions.RoomDecisions = attrs.field(init=False)
    drain_rates: drain_rate.DrainRates = attrs.field(init=False)
    waiters: dict[waiting_room.Entry, room_waiters.Waiter] = attrs.field(
        factory=dict
    )
    on_end: typing.Callable[[End], None] = lambda end: None
    on_room: typing.Callable[[str, bool], None] = lambda service, short: None
    short_services: set[str] = attrs.field(factory=set)
    offer_handle: asyncio.Handle | None = None

    def __attrs_post_init__(self) -> None:
        """Create the parts and subscribe to changes of the load."""
        self.immediate = admission_control.ImmediateAdmission(self.state)
        self.decisions = room_decisions.RoomDecisions(self.state)
        self.drain_rates = drain_rate.DrainRates(self.state.clock)
        self.state.room_changes.subscribe(lambda _: self._plan_offer(0.0))

    async def choose_first(
        self, request: caller_request.CallerRequest
    ) -> reservation.Reservation | outcomes.Outcome:
        """Reserve the first attempt of a request, or return its outcome.

        Args:
            request: The request.
        """
        if not self.decisions.current_ranks().applies_to(request.service):
            return await self.immediate.choose_first(request)
        self.decisions.record_arrival(request)
        result = await self._choose_or_wait(request)
        if self.decisions.ranks.are_ranked(request.service):
            self.state.pressure.record(
                request.service,
                request.priority,
                isinstance(result, reservation.Reservation),
            )
            self._report_room(request)
        return result

    def _report_room(self, request: caller_request.CallerRequest) -> None:
        """Report if room at a service became short or sufficient."""
        service = request.service
        share = self.state.pressure.level(service, request.priority).share
        was_short = service in self.short_services
        is_short = share > (SUFFICIENT_SHARE if was_short else SHORT_SHARE)
        if is_short == was_short:
            return
        if is_short:
            self.short_services.add(service)
        else:
            self.short_services.discard(service)
        self.on_room(service, is_short)

    def choose_again(
        self, request: caller_request.CallerRequest
    ) -> reservation.Reservation | outcomes.Outcome:
        """Reserve a retry or hedge, or return the outcome.

        Args:
            request: The request.
        """
        return self.immediate.choose_again(request)

    def refuse(
        self, request: caller_request.CallerRequest, reason: str
    ) -> outcomes.Refusal:
        """Return the refusal of a request that certainly has not run.

        Args:
            request: The request.
            reason: Why it is refused.
        """
        ranks = self.decisions.current_ranks()
        if not ranks.applies_to(request.service):
            return self.immediate.refuse(request, reason)
        level = self.state.pressure.level(request.service, request.priority)
        remaining_s = request.deadline - self.state.clock.monotonic()
        delay_s = self.state.expected_retries.delay_s(
            request.service,
            max(0.0, remaining_s),
            request.priority
            <= ranks.most_urgent(request.service, request.priority),
            level.share,
        )
        return outcomes.Refusal(reason, delay_s)

    async def _choose_or_wait(
        self, request: caller_request.CallerRequest
    ) -> reservation.Reservation | outcomes.Outcome:
        if not self.state.may_begin(request.deadline):
            request.steps.append(outcomes.STOPPING.reason)
            return outcomes.STOPPING
        action, choice, demand = self.decisions.decide(request)
        if action is Action.SEND and choice is not None:
            return self.state.reservations.reserve(choice)
        if action is not Action.WAIT or choice is None:
            return self._refuse(request, choice, action.value)
        waiter = self._enter(request, choice, demand)
        if waiter is None:
            return self._refuse(request, choice, End.NO_ROOM.value)
        try:
            return await waiter.result
        except asyncio.CancelledError:
            waiter.forgo()
            raise
        finally:
            if not waiter.result.done() or waiter.result.cancelled():
                self._record_end(
                    End.LEFT
                    if self.state.may_begin(request.deadline)
                    else End.STOPPING
                )
                self._leave(waiter)

    def _refuse(
        self,
        request: caller_request.CallerRequest,
        choice: placement.Choice | None,
        reason: str,
    ) -> outcomes.Refusal:
        request.steps.append(outcomes.describe_refusal(choice, reason))
        return self.refuse(request, reason)

    def _enter(
        self,
        request: caller_request.CallerRequest,
        choice: placement.Choice,
        demand: decision.Demand,
    ) -> room_waiters.Waiter | None:
        """Add a request to the room unless it would wait in vain."""
        now = self.state.clock.monotonic()
        entry = self.decisions.make_entry(request, choice, demand)
        if entry.leaves_at <= now or self._is_hopeless(entry, now):
            self._record_end(End.HOPELESS)
            return None
        displaced = self.state.waiting_room.add(entry, now)
        if displaced is None:
            self._record_end(End.ROOM_FULL)
            return None
        for other in displaced:
            self._refuse_waiter(self.waiters[other], End.DISPLACED)
        return self._start_waiting(request, entry, now)

    def _is_hopeless(self, entry: waiting_room.Entry, now: float) -> bool:
        """Return whether the entries ahead take all room until it leaves."""
        rate = self.drain_rates.rate_per_s(entry.pool)
        if not rate:
            return False
        ahead = self.state.waiting_room.count_ahead(entry, now)
        return ahead / rate > entry.leaves_at - now

    def _start_waiting(
        self,
        request: caller_request.CallerRequest,
        entry: waiting_room.Entry,
        now: float,
    ) -> room_waiters.Waiter:
        loop = asyncio.get_running_loop()
        waiter = room_waiters.Waiter(request, entry, loop.create_future())
        waiter.timer = loop.call_later(
            entry.leaves_at - now, self._end_wait, waiter
        )
        self.waiters[entry] = waiter
        return waiter

    def _finish(
        self,
        waiter: room_waiters.Waiter,
        result: reservation.Reservation | outcomes.Outcome,
        end: End,
    ) -> None:
        waiter.result.set_result(result)
        self._record_end(end)
        self._leave(waiter)

    def _record_end(self, end: End) -> None:
        self.state.waiting_room.ends[end] += 1
        self.on_end(end)

    def _leave(self, waiter: room_waiters.Waiter) -> None:
        """Remove a request that was decided on or whose caller left."""
        self.state.waiting_room.remove(waiter.entry)
        self.waiters.pop(waiter.entry, None)
        if waiter.timer is not None:
            waiter.timer.cancel()

    def _end_wait(self, waiter: room_waiters.Waiter) -> None:
        """Send a request whose wait is over if there is room, or refuse it."""
        if self.state.planned_stop is not None:
            self._refuse_what_cannot_finish()
        try:
            if not self._try_to_send(waiter):
                self._refuse_waiter(waiter, End.NO_ROOM)
        except Exception as error:
            # Without a result the caller would wait in vain.
            self._leave(waiter)
            waiter.result.set_exception(error)

    def _refuse_waiter(self, waiter: room_waiters.Waiter, end: End) -> None:
        if not waiter.result.done():
            waited_s = self.state.clock.monotonic() - waiter.entry.entered
            waiter.request.steps.append(
                f'{end.value} after waiting {waited_s * 1000:.0f} ms'
            )
            refusal = self.refuse(waiter.request, end.value)
            self._finish(waiter, refusal, end)

    def _plan_offer(self, delay_s: float) -> None:
        if self.offer_handle is None and self.state.waiting_room.count:
            self.offer_handle = asyncio.get_running_loop().call_later(
                delay_s, self._offer_room
            )

    def _offer_room(self) -> None:
        """Offer room to the next entries of each pool."""
        self.offer_handle = None
        if self.state.planned_stop is not None:
            self._refuse_what_cannot_finish()
        now = self.state.clock.monotonic()
        for entry in self.state.waiting_room.expired(now):
            # The timers of a VM that was suspended are late.
            if entry in self.waiters:
                self._end_wait(self.waiters[entry])
        for pool in list(self.state.waiting_room.by_pool):
            for entry in self.state.waiting_room.first(pool, now, MAX_OFFERS):
                if self._try_to_send(self.waiters[entry]):
                    self._plan_offer(OFFER_PAUSE_S)
                    break

    def _refuse_what_cannot_finish(self) -> None:
        """Refuse requests that would outlast this VM."""
        for waiter in list(self.waiters.values()):
            request = waiter.request
            if not self.state.may_begin(request.deadline):
                request.steps.append(outcomes.STOPPING.reason)
                self._finish(waiter, outcomes.STOPPING, End.STOPPING)

    def _try_to_send(self, waiter: room_waiters.Waiter) -> bool:
        """Return whether a waiting request could be sent."""
        request = waiter.request
        if waiter.result.done():
            return True
        action, choice, _ = self.decisions.decide(request)
        if action is not Action.SEND or choice is None:
            return False
        self.decisions.shares.advance(waiter.entry.tag)
        self.drain_rates.record(waiter.entry.pool)
        reserved = self.state.reservations.reserve(choice)
        self._finish(waiter, reserved, End.SENT)
        return True
