"""Requests for slots and the decisions on them."""

import enum
import math

import attrs


class RefusalReason(enum.Enum):
    """Why no slot was granted."""

    DEADLINE = 'deadline'
    NO_INSTANCE = 'no-instance'
    QUEUE_FULL = 'queue-full'
    NOT_OWNER = 'not-owner'
    QUARANTINED = 'quarantined'
    UNREACHABLE = 'unreachable'
    NO_GAIN = 'no-gain'
    LEAVING = 'leaving'


class ReleaseOutcome(enum.Enum):
    """Outcome of the request for which a slot was granted."""

    DONE = 'done'
    SHED = 'shed'
    UNREACHABLE = 'unreachable'
    LOST = 'lost'
    CANCELLED = 'cancelled'


@attrs.frozen
class SlotRequest:
    """A request for one slot, to run one caller's request.

    Attributes:
        request_id: Identifier, unique over all entries.
        holder: Incarnation of the entry that requests the slot.
        request_class: Name of the request's class.
        deadline: Clock seconds by which the request must have completed.
        fingerprint: Hash of the request's content.
        avoid: Instances at which this request has already failed.
        hedged: For a hedge, the instance that runs the first attempt;
            otherwise empty.
    """

    request_id: str
    holder: str
    request_class: str
    deadline: float
    fingerprint: str = ''
    avoid: tuple[str, ...] = ()
    hedged: str = ''


@attrs.frozen
class Grant:
    """The right to use one slot of an instance for one request.

    Attributes:
        request_id: The request that may run.
        holder: Incarnation of the entry that requested the slot.
        instance: Name of the instance.
        request_class: Name of the request's class.
        deadline: Clock seconds by which the request must have completed.
    """

    request_id: str
    holder: str
    instance: str
    request_class: str = ''
    deadline: float = math.inf


@attrs.frozen
class ActiveGrant:
    """A grant that is in use.

    Attributes:
        grant: The grant.
        granted_at: Clock seconds at which it was granted.
        typical_s: Typical service time of its class at that time, 0 if
            unknown.
    """

    grant: Grant
    granted_at: float
    typical_s: float = 0.0


@attrs.frozen
class ReleaseResult:
    """Outcome and service time of the request that held a slot.

    Attributes:
        outcome: Outcome of the request.
        service_time_s: Measured service time; ``None`` to use the time since
            the grant.
    """

    outcome: ReleaseOutcome
    service_time_s: float | None = None


@attrs.frozen
class Refusal:
    """The decision not to grant a slot; the request has not run.

    Attributes:
        request_id: The refused request.
        holder: Incarnation of the entry that requested the slot.
        reason: Why it is refused.
    """

    request_id: str
    holder: str
    reason: RefusalReason


Decision = Grant | Refusal
