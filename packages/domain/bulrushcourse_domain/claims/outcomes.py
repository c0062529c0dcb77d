"""Results of dispatches and store writes, and the outcomes they prove."""

import enum

import attrs


class Outcome(enum.Enum):
    """Outcome reported to a caller for the request with its key.

    ``NOT_RUN`` is final: the request did not run and never will under this
    key. ``UNKNOWN`` says nothing about whether it ran.
    """

    DONE = 'done'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class DispatchResult(enum.Enum):
    """How a dispatch to an upstream instance ended."""

    NO_BYTE_SENT = 'no-byte-sent'
    RESET = 'reset'
    TIMED_OUT = 'timed-out'
    TRUNCATED = 'truncated'
    SHED = 'shed'
    SHED_NOT_RUN = 'shed-not-run'
    ANSWERED = 'answered'


class StoreWriteResult(enum.Enum):
    """Result of a write to the store, as far as it is known."""

    COMMITTED = 'committed'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


# The request may have run before a reset, a timeout or a truncated response.
# A 429 or 503 without the pool's "not run" header may come from a proxy in
# front of the instance that gave up after the instance had started.
UPSTREAM_OUTCOMES = {
    DispatchResult.NO_BYTE_SENT: Outcome.NOT_RUN,
    DispatchResult.SHED_NOT_RUN: Outcome.NOT_RUN,
    DispatchResult.SHED: Outcome.UNKNOWN,
    DispatchResult.RESET: Outcome.UNKNOWN,
    DispatchResult.TIMED_OUT: Outcome.UNKNOWN,
    DispatchResult.TRUNCATED: Outcome.UNKNOWN,
    DispatchResult.ANSWERED: Outcome.DONE,
}

SHED_STATUSES = frozenset({429, 503})


@attrs.frozen
class Answer:
    """A complete response of an upstream.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers as pairs of name and value.
        body: Content; empty if it is kept in the object store.
        object_key: Key of the content in the object store, empty if the
            content is in ``body``.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    object_key: str = ''


@attrs.frozen
class Reply:
    """Reply to a caller about its key.

    Attributes:
        outcome: The proven outcome.
        reason: Stable identifier of the reason, empty with an answer.
        answer: Response of the upstream, only with ``DONE``.
    """

    outcome: Outcome
    reason: str = ''
    answer: Answer | None = None


def classify_response(status: int, not_run: bool) -> DispatchResult:
    """Classify a complete response of an upstream.

    Args:
        status: HTTP status of the response.
        not_run: Whether the response has the pool's "not run" header.

    Examples:
        >>> classify_response(503, True), classify_response(503, False)
        (<DispatchResult.SHED_NOT_RUN: 'shed-not-run'>, <DispatchResult.SHED: 'shed'>)
        >>> classify_response(200, True)
        <DispatchResult.ANSWERED: 'answered'>
    """  # noqa: E501
    if status not in SHED_STATUSES:
        return DispatchResult.ANSWERED
    return DispatchResult.SHED_NOT_RUN if not_run else DispatchResult.SHED


def attempt_outcome(result: DispatchResult) -> Outcome:
    """Return the outcome that a dispatch proves for its attempt.

    Args:
        result: How the dispatch ended.

    Examples:
        >>> attempt_outcome(DispatchResult.RESET)
        <Outcome.UNKNOWN: 'unknown'>
    """
    return UPSTREAM_OUTCOMES[result]


def may_dispatch_again(result: DispatchResult) -> bool:
    """Return whether the attempt may be dispatched to another instance.

    Args:
        result: How the last dispatch ended.
    """
    return attempt_outcome(result) is Outcome.NOT_RUN
