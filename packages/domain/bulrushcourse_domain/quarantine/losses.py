"""Facts about lost instances that entries tell one another."""

import attrs


@attrs.frozen
class Loss:
    """An instance whose connection was reset while it ran a request.

    Attributes:
        fingerprint: Hash of the request's content.
        loss_id: Identifier of the run, unique over all entries.
        instance: Name of the instance.
        expires: Wall clock seconds since the epoch until which it counts.
        repeatable: Whether the request may run more than once.
    """

    fingerprint: str
    loss_id: str
    instance: str
    expires: float
    repeatable: bool


@attrs.frozen
class LossClearance:
    """A whole answer to a suspect; the earlier losses had another cause.

    Attributes:
        fingerprint: Hash of the request's content.
        loss_ids: Losses that no longer count.
        expires: Wall clock seconds since the epoch until which the losses
            are remembered as cleared.
    """

    fingerprint: str
    loss_ids: frozenset[str]
    expires: float


LossUpdate = Loss | LossClearance
