"""The row that decides which attempt may run a free-form key."""

import enum
import hashlib
import typing

import attrs

from bulrushcourse_domain.claims import outcomes

RETENTION_S = 900.0

# A re-send at the end of the retention may still write its refusal until its
# deadline and the limit of recording (300 s) have passed. If the row went
# away before, that refusal would be untrue.
DELETE_MARGIN_S = 600.0

# The claimant of a row without an outcome may still be paused before its
# dispatch, so the row outlives any pause of a VM that is still in use.
CLAIMED_RETENTION_S = 86_400.0


class ClaimState(enum.Enum):
    """State of a claim's row."""

    CLAIMED = 'claimed'
    REFUSED = 'refused'
    DONE = 'done'
    UNKNOWN = 'unknown'


class AttemptCheck(enum.Enum):
    """What an attempt finds when it meets the row of its key."""

    OWN = 'own'
    ELSEWHERE = 'elsewhere'
    FINAL = 'final'
    OTHER_REQUEST = 'other-request'


class ClaimError(Exception):
    """A transition of a claim is not allowed."""


# A state that is not listed as a source is final.
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
    """The claim of a key by one attempt.

    Attributes:
        state: State of the row.
        attempt: Identifier of the attempt, unique over all entries.
        digest: Digest of the request, see ``request_digest``.
        written_at: Wall-clock seconds of the last transition.
        answer: The run's answer, only if ``DONE``.
    """

    state: ClaimState
    attempt: str
    digest: str
    written_at: float
    answer: outcomes.Answer | None = None

    def check_attempt(self, attempt: str, digest: str) -> AttemptCheck:
        """Return what the row means to an attempt.

        Args:
            attempt: The attempt that meets the row.
            digest: Digest of its request.

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
        """Return the claim with the outcome of its attempt.

        Args:
            attempt: The attempt that reports.
            outcome: What the attempt proved.
            now: Wall-clock seconds.
            answer: The run's answer, only if done.

        Raises:
            ClaimError: If another attempt reports, or the claim is final.

        Examples:
            >>> claim = open_claim('a1', 'd', 0.0)
            >>> claim.finish('a1', outcomes.Outcome.NOT_RUN, 1.0).state
            <ClaimState.REFUSED: 'refused'>
            >>> claim.finish('a2', outcomes.Outcome.NOT_RUN, 1.0)
            Traceback (most recent call last):
            ...
            bulrushcourse_domain.claims.claim.ClaimError: claim of attempt a1
        """
        if attempt != self.attempt:
            raise ClaimError(f'claim of attempt {self.attempt}')
        state = TRANSITIONS.get((self.state, outcome))
        if state is None:
            raise ClaimError(f'claim is {self.state.value}')
        if (answer is not None) != (state is ClaimState.DONE):
            raise ClaimError('an answer belongs to a run that is done')
        return attrs.evolve(self, state=state, written_at=now, answer=answer)

    def reply(self) -> outcomes.Reply:
        """Return what anyone may say about the key from this row."""
        return outcomes.Reply(
            ROW_OUTCOMES[self.state], _REASONS[self.state], self.answer
        )

    def expires_at(self) -> float:
        """Return the wall-clock seconds after which the row may be deleted."""
        if self.state is ClaimState.CLAIMED:
            return self.written_at + CLAIMED_RETENTION_S
        return self.written_at + RETENTION_S + DELETE_MARGIN_S


def open_claim(attempt: str, digest: str, now: float) -> Claim:
    """Return the row that lets an attempt dispatch.

    Args:
        attempt: Identifier of the attempt.
        digest: Digest of the request.
        now: Wall-clock seconds.
    """
    return Claim(ClaimState.CLAIMED, attempt, digest, now)


def refused_claim(attempt: str, digest: str, now: float) -> Claim:
    """Return the row by which an attempt refuses a key without a claim.

    Args:
        attempt: Identifier of the attempt.
        digest: Digest of the request.
        now: Wall-clock seconds.
    """
    return Claim(ClaimState.REFUSED, attempt, digest, now)


def may_dispatch(
    stored: outcomes.StoreFact, row: Claim | None, attempt: str
) -> bool:
    """Return whether an attempt may dispatch after writing its claim.

    Args:
        stored: What is known of the write.
        row: The row as read afterwards, ``None`` if absent or not read.
        attempt: Identifier of the attempt.

    Examples:
        >>> row = open_claim('a1', 'd', 0.0)
        >>> may_dispatch(outcomes.StoreFact.UNKNOWN, None, 'a1')
        False
        >>> may_dispatch(outcomes.StoreFact.UNKNOWN, row, 'a1')
        True
        >>> may_dispatch(outcomes.StoreFact.CONFLICT, row, 'a2')
        False
    """
    if stored is outcomes.StoreFact.COMMITTED:
        return True
    return (
        row is not None
        and row.state is ClaimState.CLAIMED
        and row.attempt == attempt
    )


def refusal_reply(
    stored: outcomes.StoreFact, row: Claim | None
) -> outcomes.Reply:
    """Return what may be said after writing a ``refused`` row.

    Args:
        stored: What is known of the write.
        row: The row as read afterwards, ``None`` if absent or not read.

    Examples:
        >>> refusal_reply(outcomes.StoreFact.UNKNOWN, None).outcome
        <Outcome.UNKNOWN: 'unknown'>
    """
    if stored is outcomes.StoreFact.COMMITTED:
        return outcomes.Reply(outcomes.Outcome.NOT_RUN, 'refused')
    if row is not None:
        return row.reply()
    return outcomes.Reply(outcomes.Outcome.UNKNOWN, 'store')


def request_digest(
    method: str, path: str, parts: typing.Iterable[bytes]
) -> str:
    """Return the digest that tells requests with the same key apart.

    Args:
        method: HTTP method.
        path: Path with query.
        parts: Body in pieces.

    Examples:
        >>> request_digest('POST', '/a', [b'x', b'y']) == request_digest(
        ...     'POST', '/a', [b'xy']
        ... )
        True
    """
    body = hashlib.sha256()
    for part in parts:
        body.update(part)
    head = f'{method}\n{path}\n{body.hexdigest()}'
    return hashlib.sha256(head.encode()).hexdigest()
