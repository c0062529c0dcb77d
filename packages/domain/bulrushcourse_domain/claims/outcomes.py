"""Facts about an attempt and the outcomes that they prove."""

import enum

import attrs


class Outcome(enum.Enum):
    """What a caller is told about the request with its key.

    ``NOT_RUN`` is final: the request did not run and never will under this
    key. ``UNKNOWN`` claims nothing.
    """

    DONE = 'done'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class UpstreamFact(enum.Enum):
    """How a dispatch to an upstream instance ended."""

    NO_BYTE_SENT = 'no-byte-sent'
    RESET = 'reset'
    TIMED_OUT = 'timed-out'
    TRUNCATED = 'truncated'
    SHED = 'shed'
    SHED_NOT_RUN = 'shed-not-run'
    ANSWERED = 'answered'


class StoreFact(enum.Enum):
    """What is known of a write to the store."""

    COMMITTED = 'committed'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


# A reset, a time-out or a truncated answer may follow a run. A shed answer
# without the pool's header may come from a part in front of the instance that
# gave up after the instance had started.
UPSTREAM_OUTCOMES = {
    UpstreamFact.NO_BYTE_SENT: Outcome.NOT_RUN,
    UpstreamFact.SHED_NOT_RUN: Outcome.NOT_RUN,
    UpstreamFact.SHED: Outcome.UNKNOWN,
    UpstreamFact.RESET: Outcome.UNKNOWN,
    UpstreamFact.TIMED_OUT: Outcome.UNKNOWN,
    UpstreamFact.TRUNCATED: Outcome.UNKNOWN,
    UpstreamFact.ANSWERED: Outcome.DONE,
}

SHED_STATUSES = frozenset({429, 503})


@attrs.frozen
class Answer:
    """A whole answer of an upstream.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers as name and value.
        body: Content; empty if it is kept in the object store.
        object_key: Key of the content in the object store, empty for none.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    object_key: str = ''


@attrs.frozen
class Reply:
    """What a caller is told.

    Attributes:
        outcome: One of the three outcomes.
        reason: Stable identifier of the reason, empty for an answer.
        answer: The run's whole answer, only with ``DONE``.
    """

    outcome: Outcome
    reason: str = ''
    answer: Answer | None = None


def answer_fact(status: int, not_run: bool) -> UpstreamFact:
    """Return the fact that a whole answer states.

    Args:
        status: HTTP status of the answer.
        not_run: Whether the answer has the pool's header for "not run".

    Examples:
        >>> answer_fact(503, True), answer_fact(503, False)
        (<UpstreamFact.SHED_NOT_RUN: 'shed-not-run'>, <UpstreamFact.SHED: 'shed'>)
        >>> answer_fact(200, True)
        <UpstreamFact.ANSWERED: 'answered'>
    """  # noqa: E501
    if status not in SHED_STATUSES:
        return UpstreamFact.ANSWERED
    return UpstreamFact.SHED_NOT_RUN if not_run else UpstreamFact.SHED


def attempt_outcome(fact: UpstreamFact) -> Outcome:
    """Return what a dispatch proves about its own attempt.

    Args:
        fact: How the dispatch ended.

    Examples:
        >>> attempt_outcome(UpstreamFact.RESET)
        <Outcome.UNKNOWN: 'unknown'>
    """
    return UPSTREAM_OUTCOMES[fact]


def may_dispatch_again(fact: UpstreamFact) -> bool:
    """Return whether the attempt may try another instance.

    Args:
        fact: How the last dispatch ended.
    """
    return attempt_outcome(fact) is Outcome.NOT_RUN
