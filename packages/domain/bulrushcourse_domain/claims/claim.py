"""Store row that decides which attempt may run a free-form key.

A free-form key is an idempotency key that the caller chose itself.
"""

import enum
import hashlib
import typing

import attrs

from bulrushcourse_domain.claims import outcomes

RETENTION_S = 900.0

# A retry sent at the end of the retention period can still write a refusal
# until its deadline and the recording limit (300 s) have passed. If the row
# had been deleted by then, the retry would report that the request never ran
# although it may have.
DELETE_MARGIN_S = 600.0

# The attempt that claimed the key may be paused just before its dispatch, so
# a row without an outcome outlives any pause of a VM that is still in use.
CLAIMED_RETENTION_S = 86_400.0


class ClaimState(enum.Enum):
    """State of a claim row."""

    CLAIMED = 'claimed'
    REFUSED = 'refused'
    DONE = 'done'
    UNKNOWN = 'unknown'


class AttemptCheck(enum.Enum):
    """What an existing claim row means for an attempt."""

    OWN = 'own'
    ELSEWHERE = 'elsewhere'
    FINAL = 'final'
    OTHER_REQUEST = 'other-request'


class ClaimError(Exception):
    """An outcome that the present state of a claim does not allow."""


# States that are not listed as a source are final.
TRANSITIONS = {
    (ClaimState.CLAIMED, outcomes.Outcome.DONE): ClaimState.DONE,
    (ClaimState.CLAIMED, outcomes.Outcome.NOT_RUN): ClaimState.REFUSED,
    (ClaimState.CLAIMED, outcomes.Outcome.UNKNOWN): ClaimState.UNKNOWN,
}

ROW_OUTCOMES = {
    ClaimState.CLAIMED: outcomes.Outcome.UNKNOWN,
    ClaimState.REFUSED: outcomes.Outcome.NOT_RUN,
    ClaimState.DONE: outcomes.Outcome.DONE,
    ClaimState.UNKNOWN: outcomes.Outcome.UNKNOWN,
}

_REASONS = {
    ClaimState.CLAIMED: 'under-way',
    ClaimState.REFUSED: 'refused',
    ClaimState.DONE: '',
    ClaimState.UNKNOWN: 'lost',
}


@attrs.frozen
class Claim:
    """Claim of a key by one attempt, stored as a row.

    Attributes:
        state: State of the row.
        attempt: Identifier of the attempt, unique over all entries.
        digest: Digest of the request, see ``request_digest``.
        written_at: Wall-clock seconds of the last transition.
        answer: Response of the upstream, only if ``DONE``.
    """

    state: ClaimState
    attempt: str
    digest: str
    written_at: float
    answer: outcomes.Answer | None = None

    def check_attempt(self, attempt: str, digest: str) -> AttemptCheck:
        """Return what the row means for an attempt with the same key.

        Args:
            attempt: Identifier of the attempt.
            digest: Digest of the attempt's request.

        Examples:
            >>> claim = open_claim('a1', 'd', 0.0)
            >>> claim.check_attempt('a1', 'd'), claim.check_attempt('a2', 'd')
            (<AttemptCheck.OWN: 'own'>, <AttemptCheck.ELSEWHERE: 'elsewhere'>)
            >>> claim.check_attempt('a2', 'another body')
            <AttemptCheck.OTHER_REQUEST: 'other-request'>
        """
        if digest != self.digest:
            return AttemptCheck.OTHER_REQUEST
        if self.state is not ClaimState.CLAIMED:
            return AttemptCheck.FINAL
        return (
            AttemptCheck.OWN
            if attempt == self.attempt
            else AttemptCheck.ELSEWHERE
        )

    def finish(
        self,
        attempt: str,
        outcome: outcomes.Outcome,
        now: float,
        answer: outcomes.Answer | None = None,
    ) -> 'Claim':
        """Return the claim with the outcome that its attempt reports.

        Args:
            attempt: Identifier of the reporting attempt.
            outcome: The outcome that the attempt can prove.
            now: Wall-clock seconds.
            answer: Response of the upstream, only with ``DONE``.

        Raises:
            ClaimError: If another attempt holds the claim, the claim is final,
                or the answer does not go with the outcome.

        Examples:
            >>> claim = open_claim('a1', 'd', 0.0)
            >>> claim.finish('a1', outcomes.Outcome.NOT_RUN, 1.0).state
            <ClaimState.REFUSED: 'refused'>
            >>> claim.finish('a2', outcomes.Outcome.NOT_RUN, 1.0)
            Traceback (most recent call last):
            ...
            bulrushcourse_domain.claims.claim.ClaimError: claimed by attempt a1
        """
        if attempt != self.attempt:
            raise ClaimError(f'claimed by attempt {self.attempt}')
        state = TRANSITIONS.get((self.state, outcome))
        if state is None:
            raise ClaimError(f'claim is already {self.state.value}')
        if (answer is not None) != (state is ClaimState.DONE):
            raise ClaimError(
                'an answer is required with outcome done, and only then'
            )
        return attrs.evolve(self, state=state, written_at=now, answer=answer)

    def reply(self) -> outcomes.Reply:
        """Return the reply that this row alone justifies, for any caller."""
        return outcomes.Reply(
            ROW_OUTCOMES[self.state], _REASONS[self.state], self.answer
        )

    def expires_at(self) -> float:
        """Return the wall-clock seconds after which the row may be deleted."""
        if self.state is ClaimState.CLAIMED:
            return self.written_at + CLAIMED_RETENTION_S
        return self.written_at + RETENTION_S + DELETE_MARGIN_S


def open_claim(attempt: str, digest: str, now: float) -> Claim:
    """Return a claim that allows an attempt to dispatch once it is stored.

    Args:
        attempt: Identifier of the attempt.
        digest: Digest of the request.
        now: Wall-clock seconds.
    """
    return Claim(ClaimState.CLAIMED, attempt, digest, now)


def refused_claim(attempt: str, digest: str, now: float) -> Claim:
    """Return a final row that refuses a key that no attempt has claimed.

    Args:
        attempt: Identifier of the attempt.
        digest: Digest of the request.
        now: Wall-clock seconds.
    """
    return Claim(ClaimState.REFUSED, attempt, digest, now)


def may_dispatch(
    write_result: outcomes.StoreWriteResult, row: Claim | None, attempt: str
) -> bool:
    """Return whether an attempt may dispatch after writing its claim.

    Args:
        write_result: Result of the write.
        row: Row read back after the write, ``None`` if absent or not read.
        attempt: Identifier of the attempt.

    Examples:
        >>> row = open_claim('a1', 'd', 0.0)
        >>> may_dispatch(outcomes.StoreWriteResult.UNKNOWN, None, 'a1')
        False
        >>> may_dispatch(outcomes.StoreWriteResult.UNKNOWN, row, 'a1')
        True
        >>> may_dispatch(outcomes.StoreWriteResult.CONFLICT, row, 'a2')
        False
    """
    if write_result is outcomes.StoreWriteResult.COMMITTED:
        return True
    return (
        row is not None
        and row.state is ClaimState.CLAIMED
        and row.attempt == attempt
    )


def refusal_reply(
    write_result: outcomes.StoreWriteResult, row: Claim | None
) -> outcomes.Reply:
    """Return the reply after writing a row from ``refused_claim``.

    Args:
        write_result: Result of the write.
        row: Row read back after the write, ``None`` if absent or not read.

    Examples:
        >>> refusal_reply(outcomes.StoreWriteResult.UNKNOWN, None).outcome
        <Outcome.UNKNOWN: 'unknown'>
    """
    if write_result is outcomes.StoreWriteResult.COMMITTED:
        return outcomes.Reply(outcomes.Outcome.NOT_RUN, 'refused')
    if row is not None:
        return row.reply()
    return outcomes.Reply(outcomes.Outcome.UNKNOWN, 'store')


def request_digest(
    method: str, path: str, chunks: typing.Iterable[bytes]
) -> str:
    """Return a digest that distinguishes requests with the same key.

    Args:
        method: HTTP method.
        path: Path with query.
        chunks: The request body in chunks of any size.

    Examples:
        >>> request_digest('POST', '/a', [b'x', b'y']) == request_digest(
        ...     'POST', '/a', [b'xy']
        ... )
        True
    """
    body = hashlib.sha256()
    for chunk in chunks:
        body.update(chunk)
    head = f'{method}\n{path}\n{body.hexdigest()}'
    return hashlib.sha256(head.encode()).hexdigest()
