"""The aggregate of a planned shift or drain."""

import datetime
import enum
import typing

import attrs

from bulrushcourse_domain.configuration import objects


class State(enum.Enum):
    """Life of a plan."""

    WAITING = 'waiting'
    RAMPING = 'ramping'
    HOLDING = 'holding'
    FINISHED = 'finished'
    FAILED = 'failed'


class HoldReason(enum.Enum):
    """Why a plan does not move more traffic."""

    NONE = ''
    SLOW = 'receiving side is slow'
    FAILURES = 'receiving side fails'
    NO_HEADROOM = 'receiving side has no free slots'
    UNKNOWN = 'receiving side shows no service times'
    CAP = 'the shift cap is reached'
    IN_FLIGHT = 'work is still in flight at the source'


@attrs.frozen
class Evidence:
    """What the receiving side has shown since the last step.

    Attributes:
        service_time_ratio: Service time by its usual value; ``None`` if no
            request has ended.
        failure_part: Part of the requests that failed.
        headroom: Part of the slots that is free.
        cap_reached: Whether the shift cap turned requests away.
        source_in_flight: Requests at work at the source.
        offered: Requests that the plan concerned.
    """

    service_time_ratio: float | None = None
    failure_part: float = 0.0
    headroom: float = 1.0
    cap_reached: bool = False
    source_in_flight: int = 0
    offered: int = 1


# A cold cache raises service times. Above this ratio a ramp holds, and goes on
# below the lower one, so that it does not alternate at one value.
SLOW_RATIO = 1.5
RECOVERED_RATIO = 1.2
FAILURE_LIMIT = 0.02
HEADROOM_FLOOR = 0.1
# First part of the traffic; each later step adds half of what flows already.
FIRST_PART = 0.02
GROWTH = 1.5
RETREAT = 0.8
TERMINAL = frozenset((State.FINISHED, State.FAILED))


@attrs.define
class ShiftPlan:
    """Moves part of the traffic and reports how that went.

    Attributes:
        plan: The plan as it was published.
        state: Where the plan stands.
        moved_share: Part of the source's traffic that moves now, 0 to 1.
        hold_reason: What held the plan last.
    """

    plan: objects.Plan
    state: State = State.WAITING
    moved_share: float = 0.0
    hold_reason: HoldReason = HoldReason.NONE

    @property
    def start(self) -> datetime.datetime:
        """When the plan starts."""
        return datetime.datetime.fromisoformat(self.plan.start)

    @property
    def finish_by(self) -> datetime.datetime:
        """When the plan must have finished."""
        return datetime.datetime.fromisoformat(self.plan.finish_by)

    def step(self, now: datetime.datetime, evidence: Evidence) -> State:
        """Take the next step and return the state that it led to.

        Args:
            now: Time of day in UTC.
            evidence: What the receiving side has shown since the last step.

        Examples:
            >>> times = ('2026-12-04T10:00:00Z', '2026-12-04T11:00:00Z')
            >>> plan = objects.Plan(
            ...     'p', objects.PlanKind.SHIFT, 'dakar', *times
            ... )
            >>> shift = ShiftPlan(plan)
            >>> shift.step(shift.start, Evidence()).value, shift.moved_share
            ('ramping', 0.02)
        """
        if self.state not in TERMINAL and now >= self.finish_by:
            self.state = self._conclude(evidence)
        else:
            self.state = STEPS[self.state](self, now, evidence)
        return self.state

    @property
    def report(self) -> str:
        """Why the plan failed or holds, empty if it does neither."""
        if self.state not in (State.FAILED, State.HOLDING):
            return ''
        return f'{self.moved_share:.0%} of {self.plan.share:.0%} moved: ' + (
            self.hold_reason.value or 'there was too little time'
        )

    def _wait(self, now: datetime.datetime, evidence: Evidence) -> State:
        if now < self.start:
            return State.WAITING
        self.moved_share = min(self.plan.share, FIRST_PART)
        return State.RAMPING

    def _ramp(self, now: datetime.datetime, evidence: Evidence) -> State:
        self.hold_reason = find_hold_reason(evidence, SLOW_RATIO)
        if self.hold_reason is not HoldReason.NONE:
            if self.hold_reason is not HoldReason.UNKNOWN:
                self.moved_share *= RETREAT
            return State.HOLDING
        if evidence.cap_reached:
            # More traffic would only be turned away.
            self.hold_reason = HoldReason.CAP
            return State.RAMPING
        if self.moved_share >= self.plan.share:
            return self._arrive(evidence)
        self.moved_share = min(self.plan.share, self.moved_share * GROWTH)
        return State.RAMPING

    def _hold(self, now: datetime.datetime, evidence: Evidence) -> State:
        hold_reason = find_hold_reason(evidence, RECOVERED_RATIO)
        if hold_reason is HoldReason.NONE:
            return State.RAMPING
        self.hold_reason = hold_reason
        return State.HOLDING

    def _stay(self, now: datetime.datetime, evidence: Evidence) -> State:
        return self.state

    def _arrive(self, evidence: Evidence) -> State:
        drains = self.plan.kind is objects.PlanKind.DRAIN
        if drains and evidence.source_in_flight:
            self.hold_reason = HoldReason.IN_FLIGHT
            return State.RAMPING
        return State.FINISHED

    def _conclude(self, evidence: Evidence) -> State:
        """Return how the plan stands when its time is over."""
        if self.moved_share >= self.plan.share:
            state = self._arrive(evidence)
            return state if state is State.FINISHED else State.FAILED
        return State.FAILED


Step = typing.Callable[[ShiftPlan, datetime.datetime, Evidence], State]
STEPS: dict[State, Step] = {
    State.WAITING: ShiftPlan._wait,
    State.RAMPING: ShiftPlan._ramp,
    State.HOLDING: ShiftPlan._hold,
    State.FINISHED: ShiftPlan._stay,
    State.FAILED: ShiftPlan._stay,
}


def find_hold_reason(evidence: Evidence, slow_ratio: float) -> HoldReason:
    """Return what speaks against more traffic, ``NONE`` if nothing does.

    Args:
        evidence: What the receiving side has shown.
        slow_ratio: Ratio of service times from which it counts as slow.

    Examples:
        >>> find_hold_reason(Evidence(service_time_ratio=1.6), SLOW_RATIO).name
        'SLOW'
    """
    if evidence.failure_part > FAILURE_LIMIT:
        return HoldReason.FAILURES
    if evidence.service_time_ratio is None:
        return HoldReason.UNKNOWN if evidence.offered else HoldReason.NONE
    if evidence.service_time_ratio > slow_ratio:
        return HoldReason.SLOW
    if evidence.headroom < HEADROOM_FLOOR:
        return HoldReason.NO_HEADROOM
    return HoldReason.NONE
