"""How attempts and requests end, and what an end proves."""

import typing

import attrs
from returns import result

from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.upstreams import outlier_detection
from bulrushcourse_entry.edge import sending

Failure = sending.Failure

# Failures that prove that the request did not run.
NOT_RUN = frozenset({Failure.NOT_SENT, Failure.SHED, Failure.MISDIRECTED})
# What a failure tells of the upstream's health.
OUTCOMES: typing.Mapping[Failure, outlier_detection.Outcome] = {
    Failure.NOT_SENT: outlier_detection.Outcome.UNREACHABLE,
    Failure.SHED: outlier_detection.Outcome.SHED,
    Failure.MISDIRECTED: outlier_detection.Outcome.UNREACHABLE,
    Failure.LOST: outlier_detection.Outcome.LOST,
    Failure.TRUNCATED: outlier_detection.Outcome.ERROR,
    Failure.FOREIGN: outlier_detection.Outcome.ERROR,
    Failure.DEADLINE: outlier_detection.Outcome.LOST,
}


@attrs.frozen
class Refusal:
    """An answer that promises that the request has not run.

    Attributes:
        reason: Why.
        retry_after_s: When the caller may come back.
    """

    reason: str
    retry_after_s: float


@attrs.frozen
class Lost:
    """An answer that promises nothing.

    Attributes:
        reason: Why.
        timed_out: Whether the time ran out.
    """

    reason: str
    timed_out: bool


Ending = sending.Answer | Refusal | Lost


def describe(choice: placement.Choice, ended: str, took: float) -> str:
    """Return an attempt in words, for the log.

    Args:
        choice: The upstream with what was expected of it.
        ended: How the attempt ended.
        took: How long it took in seconds.
    """
    return (
        f'{choice.upstream.name} {ended} after {took * 1000:.0f} ms'
        f' (expected {choice.completion_s * 1000:.0f},'
        f' {choice.affinity.value} keeper, {choice.busy} over its slots)'
    )


def describe_refusal(choice: placement.Choice | None, reason: str) -> str:
    """Return in words why a request is not sent, for the log.

    Args:
        choice: The best upstream with what was expected of it.
        reason: Why it is not used.
    """
    if choice is None:
        return reason
    return (
        f'{reason} at {choice.upstream.name}'
        f' (expected {choice.completion_s * 1000:.0f},'
        f' {choice.work_s * 1000:.0f} of it work,'
        f' {choice.affinity.value} keeper, {choice.busy} over its slots)'
    )


def is_good(attempt: result.Result[sending.Answer, Failure]) -> bool:
    """Return whether an attempt ended with an answer worth delivering.

    Args:
        attempt: How it ended.
    """
    return (
        isinstance(attempt, result.Success) and attempt.unwrap().status < 500
    )


def first_failure(
    ended: list[result.Result[sending.Answer, Failure]],
) -> Failure | None:
    """Return the failure of the first attempt that failed.

    Args:
        ended: How attempts ended.
    """
    for attempt in ended:
        if isinstance(attempt, result.Failure):
            return attempt.failure()
    return None
