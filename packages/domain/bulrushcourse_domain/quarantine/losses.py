"""Loss updates that the entries send to each other."""

import attrs


@attrs.frozen
class Loss:
    """An instance whose connection was reset while it ran a request.

    Attributes:
        fingerprint: Hash of the request's content.
        loss_id: Identifier of the run, unique over all entries.
        instance: Name of the instance.
        expires: End of the loss's validity, in seconds since the epoch.
        repeatable: Whether the request may run more than once.
    """

    fingerprint: str
    loss_id: str
    instance: str
    expires: float
    repeatable: bool


@attrs.frozen
class LossClearance:
    """A complete response to a suspected request.

    It shows that the earlier losses had another cause.

    Attributes:
        fingerprint: Hash of the request's content.
        loss_ids: Identifiers of the losses that no longer count.
        expires: Time until which the losses are kept as cleared, in seconds
            since the epoch.
    """

    fingerprint: str
    loss_ids: frozenset[str]
    expires: float


LossUpdate = Loss | LossClearance
