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


class ReleaseOutcome(enum.Enum):
    """How the work in a slot ended."""

    DONE = 'done'
    SHED = 'shed'
    UNREACHABLE = 'unreachable'
    LOST = 'lost'
    CANCELLED = 'cancelled'


@attrs.frozen
class SlotRequest:
    """A wish to run one request.

    Attributes:
        request_id: Identifier, unique over all entries.
        holder: Name of the entry that asks.
        request_class: Name of the request's class.
        deadline: Clock seconds by which the work must have ended.
        fingerprint: Hash of the request's content.
        avoid: Instances that already failed this request.
        hedged: For a hedge, the instance that runs the first copy.
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
    """A slot at an instance.

    Attributes:
        request_id: The request that may run.
        holder: Name of the entry that asked.
        instance: Name of the instance.
        request_class: Name of the request's class.
        deadline: Clock seconds by which the work must have ended.
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
        started: Clock seconds when it was granted.
        typical_s: Typical service time of its class then, 0 if not known.
    """

    grant: Grant
    started: float
    typical_s: float = 0.0


@attrs.frozen
class ReleaseResult:
    """How the work in a slot ended.

    Attributes:
        outcome: What happened.
        seconds: Measured service time; ``None`` for the time of the grant.
    """

    outcome: ReleaseOutcome
    seconds: float | None = None


@attrs.frozen
class Refusal:
    """A request that gets no slot; it did not run.

    Attributes:
        request_id: The refused request.
        holder: Name of the entry that asked.
        reason: Why it is refused.
    """

    request_id: str
    holder: str
    reason: RefusalReason


Decision = Grant | Refusal
