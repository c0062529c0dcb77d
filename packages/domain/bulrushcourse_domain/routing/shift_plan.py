"""Aggregate of a planned shift or drain in progress."""

import datetime
import enum
import typing

import attrs

from bulrushcourse_domain.configuration import objects


class State(enum.Enum):
    """State of a plan."""

    WAITING = 'waiting'
    RAMPING = 'ramping'
    HOLDING = 'holding'
    FINISHED = 'finished'
    FAILED = 'failed'


class HoldReason(enum.Enum):
    """Why a plan does not move more traffic, as shown to operators."""

    NONE = ''
    SLOW = 'receiving side is slow'
    FAILURES = 'too many requests fail at the receiving side'
    NO_HEADROOM = 'receiving side has no free slots'
    UNKNOWN = 'receiving side reports no service times'
    LIMIT_REACHED = 'the shift limit is reached'
    IN_FLIGHT = 'requests are still in flight at the source'


@attrs.frozen
class RampMeasurements:
    """Measurements of the receiving side since the last step.

    Attributes:
        service_time_ratio: Service time divided by its typical value; ``None``
            if no request has finished.
        failure_ratio: Share of the requests that failed.
        headroom: Share of the slots that is free.
        limit_reached: Whether the shift limit rejected requests.
        source_in_flight: Requests in flight at the source.
        request_count: Requests that the plan applied to.
    """

    service_time_ratio: float | None = None
    failure_ratio: float = 0.0
    headroom: float = 1.0
    limit_reached: bool = False
    source_in_flight: int = 0
    request_count: int = 1


# A cold cache raises service times. A ramp holds above the first ratio and
# resumes below the second; the gap keeps it from oscillating.
SLOW_RATIO = 1.5
RECOVERED_RATIO = 1.2
MAX_FAILURE_RATIO = 0.02
MIN_HEADROOM_SHARE = 0.1
# Share of the traffic that the first step moves; each later step adds half of
# what is moved already.
INITIAL_SHARE = 0.02
GROWTH_RATIO = 1.5
BACKOFF_RATIO = 0.8
TERMINAL_STATES = frozenset((State.FINISHED, State.FAILED))


@attrs.define
class ShiftPlan:
    """Ramps up the share of the traffic that a plan moves.

    Attributes:
        plan: The plan as published.
        state: State after the last step.
        moved_share: Share of the source's traffic that moves now, 0 to 1.
        hold_reason: Last reason not to move more traffic; cleared by each step
            of the ramp that has none.
    """

    plan: objects.Plan
    state: State = State.WAITING
    moved_share: float = 0.0
    hold_reason: HoldReason = HoldReason.NONE

    @property
    def start(self) -> datetime.datetime:
        """Time at which the plan starts."""
        return datetime.datetime.fromisoformat(self.plan.start)

    @property
    def finish_by(self) -> datetime.datetime:
        """Time by which the plan must have finished."""
        return datetime.datetime.fromisoformat(self.plan.finish_by)

    def step(
        self, now: datetime.datetime, measurements: RampMeasurements
    ) -> State:
        """Take the next step and return the new state.

        Args:
            now: Current time in UTC.
            measurements: Measurements since the last step.

        Examples:
            >>> times = ('2026-12-04T10:00:00Z', '2026-12-04T11:00:00Z')
            >>> plan = objects.Plan(
            ...     'p', objects.PlanKind.SHIFT, 'dakar', *times
            ... )
            >>> shift = ShiftPlan(plan)
            >>> state = shift.step(shift.start, RampMeasurements())
            >>> state.value, shift.moved_share
            ('ramping', 0.02)
        """
        if self.state not in TERMINAL_STATES and now >= self.finish_by:
            self.state = self._final_state(measurements)
        else:
            self.state = STEPS[self.state](self, now, measurements)
        return self.state

    @property
    def report(self) -> str:
        """Reason why the plan failed or is holding, empty in other states."""
        if self.state not in (State.FAILED, State.HOLDING):
            return ''
        return f'{self.moved_share:.0%} of {self.plan.share:.0%} moved: ' + (
            self.hold_reason.value or 'not enough time'
        )

    def _wait(
        self, now: datetime.datetime, measurements: RampMeasurements
    ) -> State:
        if now < self.start:
            return State.WAITING
        self.moved_share = min(self.plan.share, INITIAL_SHARE)
        return State.RAMPING

    def _ramp(
        self, now: datetime.datetime, measurements: RampMeasurements
    ) -> State:
        self.hold_reason = find_hold_reason(measurements, SLOW_RATIO)
        if self.hold_reason is not HoldReason.NONE:
            if self.hold_reason is not HoldReason.UNKNOWN:
                self.moved_share *= BACKOFF_RATIO
            return State.HOLDING
        if measurements.limit_reached:
            # The shift limit would reject any further traffic.
            self.hold_reason = HoldReason.LIMIT_REACHED
            return State.RAMPING
        if self.moved_share >= self.plan.share:
            return self._finish_if_drained(measurements)
        self.moved_share = min(
            self.plan.share, self.moved_share * GROWTH_RATIO
        )
        return State.RAMPING

    def _hold(
        self, now: datetime.datetime, measurements: RampMeasurements
    ) -> State:
        hold_reason = find_hold_reason(measurements, RECOVERED_RATIO)
        if hold_reason is HoldReason.NONE:
            return State.RAMPING
        self.hold_reason = hold_reason
        return State.HOLDING

    def _stay(
        self, now: datetime.datetime, measurements: RampMeasurements
    ) -> State:
        return self.state

    def _finish_if_drained(self, measurements: RampMeasurements) -> State:
        drains = self.plan.kind is objects.PlanKind.DRAIN
        if drains and measurements.source_in_flight:
            self.hold_reason = HoldReason.IN_FLIGHT
            return State.RAMPING
        return State.FINISHED

    def _final_state(self, measurements: RampMeasurements) -> State:
        """Return the final state once ``finish_by`` has passed."""
        if self.moved_share >= self.plan.share:
            state = self._finish_if_drained(measurements)
            return state if state is State.FINISHED else State.FAILED
        return State.FAILED


Step = typing.Callable[[ShiftPlan, datetime.datetime, RampMeasurements], State]
STEPS: dict[State, Step] = {
    State.WAITING: ShiftPlan._wait,
    State.RAMPING: ShiftPlan._ramp,
    State.HOLDING: ShiftPlan._hold,
    State.FINISHED: ShiftPlan._stay,
    State.FAILED: ShiftPlan._stay,
}


def find_hold_reason(
    measurements: RampMeasurements, slow_ratio: float
) -> HoldReason:
    """Return why no more traffic should move, ``NONE`` if more may move.

    Args:
        measurements: Measurements of the receiving side.
        slow_ratio: Service time ratio above which it counts as slow.

    Examples:
        >>> slow = RampMeasurements(service_time_ratio=1.6)
        >>> find_hold_reason(slow, SLOW_RATIO).name
        'SLOW'
    """
    if measurements.failure_ratio > MAX_FAILURE_RATIO:
        return HoldReason.FAILURES
    if measurements.service_time_ratio is None:
        return (
            HoldReason.UNKNOWN
            if measurements.request_count
            else HoldReason.NONE
        )
    if measurements.service_time_ratio > slow_ratio:
        return HoldReason.SLOW
    if measurements.headroom < MIN_HEADROOM_SHARE:
        return HoldReason.NO_HEADROOM
    return HoldReason.NONE
