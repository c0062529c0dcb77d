"""Messages about slots, pool ownership and crash-inducing requests.

A pool is named ``region/service``. Deadlines are sent as remaining seconds,
since the monotonic clocks of entries are unrelated.
"""

import attrs

from bulrushcourse_wire import messages


@messages.message('slot_request')
class SlotRequest:
    """Requests a slot from the owner of a pool.

    Attributes:
        pool: Name of the pool.
        request_id: Identifier, unique over all entries and attempts.
        request_class: Name of the request's class.
        remaining_s: Seconds until the deadline.
        fingerprint: Hash of the request's content.
        avoid: Instances that already failed the request.
        hedged: For a hedge, the instance that runs the first copy; otherwise
            empty.
    """

    pool: str
    request_id: str
    request_class: str
    remaining_s: float
    fingerprint: str = ''
    avoid: tuple[str, ...] = ()
    hedged: str = ''


@messages.message('slot_cancel')
class SlotCancel:
    """Cancels a request, or releases a grant that was not used.

    Attributes:
        pool: Name of the pool.
        request_id: The request.
    """

    pool: str
    request_id: str


@messages.message('slot_release')
class SlotRelease:
    """Releases a slot.

    Attributes:
        pool: Name of the pool.
        request_id: The request that held the slot.
        outcome: A value of ``ReleaseOutcome``.
        seconds: Measured service time, in seconds.
    """

    pool: str
    request_id: str
    outcome: str
    seconds: float


@messages.message('slot_grant')
class SlotGrant:
    """Grants a slot.

    Attributes:
        pool: Name of the pool.
        request_id: The request that may run.
        instance: Name of the instance.
    """

    pool: str
    request_id: str
    instance: str


@messages.message('slot_refusal')
class SlotRefusal:
    """Refuses a slot request.

    Attributes:
        pool: Name of the pool.
        request_id: The refused request.
        reason: A value of ``RefusalReason``.
    """

    pool: str
    request_id: str
    reason: str


@messages.message('slots_wanted')
class HeldSlotsRequest:
    """Announces the sender as the pool's owner and requests a report.

    The report lists the slots of the pool that the receiver holds.

    Attributes:
        pool: Name of the pool.
        term: Term of the sender's ownership.
    """

    pool: str
    term: int


@attrs.frozen
class HeldSlot:
    """A slot that an entry holds.

    Attributes:
        request_id: The request that holds it.
        instance: Name of the instance.
        request_class: Name of the request's class.
        remaining_s: Seconds until the deadline.
        fingerprint: Hash of the request's content.
    """

    request_id: str
    instance: str
    request_class: str
    remaining_s: float
    fingerprint: str = ''


@messages.message('slots_held')
class HeldSlotsReport:
    """Replies to ``HeldSlotsRequest`` with all slots that the sender holds.

    Attributes:
        pool: Name of the pool.
        term: Term in the ``HeldSlotsRequest``.
        held: The held slots.
    """

    pool: str
    term: int
    held: tuple[HeldSlot, ...] = ()


@messages.message('promise_wish')
class PromiseRequest:
    """Requests a promise not to take over a pool.

    Attributes:
        pool: Name of the pool.
        candidate: Incarnation of the sender.
        number: Number of the request.
        owns: Whether the sender already owns the pool.
    """

    pool: str
    candidate: str
    number: int
    owns: bool = False


@messages.message('ownership_promise')
class OwnershipPromise:
    """Promises not to take over a pool.

    Attributes:
        pool: Name of the pool.
        candidate: Incarnation that the pool is promised to.
        number: Number of the promise request.
    """

    pool: str
    candidate: str
    number: int


@messages.message('pool_released')
class PoolReleased:
    """The sender released a pool permanently.

    Attributes:
        pool: Name of the pool.
        candidate: Incarnation of the sender.
    """

    pool: str
    candidate: str


@messages.message('quarantine')
class UpstreamLoss:
    """An instance was lost while it ran a request.

    Attributes:
        fingerprint: Hash of the request's content.
        loss_id: Identifier of the run.
        instance: Name of the instance.
        expires: Seconds since the epoch until which the loss counts.
        repeatable: Whether the request may run more than once.
    """

    fingerprint: str
    loss_id: str
    instance: str
    expires: float
    repeatable: bool


@messages.message('quarantine_cleared')
class UpstreamLossCleared:
    """A complete response showed that losses had another cause.

    Attributes:
        fingerprint: Hash of the request's content.
        loss_ids: Identifiers of the losses that no longer count.
        expires: Seconds since the epoch until which this must be kept.
    """

    fingerprint: str
    loss_ids: tuple[str, ...]
    expires: float
