"""Outcomes of requests and attempts, and what each of them proves."""

import typing

import attrs
from returns import result

from bulrushcourse_domain.attempts import broken
from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.upstreams import outlier_detection
from bulrushcourse_entry.edge.upstreams import upstream_client

Failure = upstream_client.Failure

# Failures that prove that the request did not run.
NOT_EXECUTED = frozenset(
    {
        Failure.NOT_SENT,
        Failure.SHED,
        Failure.MISDIRECTED,
        Failure.UNPROVEN,
        Failure.OUTDATED,
    }
)
# Failures after which the request has reached no upstream at all.
NOT_SENT = frozenset({Failure.NOT_SENT, Failure.UNPROVEN, Failure.OUTDATED})
# Those for a reason of this VM, which count as no attempt.
NOT_BEGUN = frozenset({Failure.UNPROVEN, Failure.OUTDATED})
# Whether the upstream may have crashed, by the failure of the attempt. Without
# a response until the deadline, it may have crashed when the request ended.
SUSPICIONS: typing.Mapping[Failure, broken.Suspicion] = {
    **{
        upstream_client.FAILURES[proof]: follows.suspicion
        for proof, follows in broken.CONSEQUENCES.items()
    },
    Failure.DEADLINE: broken.Suspicion.POSSIBLE,
}
# How outlier detection counts each failure.
DETECTOR_OUTCOMES: typing.Mapping[Failure, outlier_detection.Outcome] = {
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
    """The request has certainly not run, and the caller may retry it.

    Attributes:
        reason: Reason of the refusal.
        retry_after_s: Retry-After delay in seconds.
        over_quota: Whether the caller's account has used up its quota.
    """

    reason: str
    retry_after_s: float
    over_quota: bool = False


@attrs.frozen
class Lost:
    """The request may or may not have run.

    Attributes:
        reason: Failure that left this open.
        timed_out: Whether the deadline passed.
    """

    reason: str
    timed_out: bool


# Another VM can serve the request at once.
STOPPING = Refusal('stopping', 0.1)

# The names of the three classes, in lower case, are the outcomes in logs and
# metrics.
Outcome = upstream_client.Answer | Refusal | Lost


def describe_attempt(
    choice: placement.Choice, outcome: str, elapsed_s: float
) -> str:
    """Return a description of an attempt, for the log.

    Args:
        choice: The upstream with its estimates.
        outcome: HTTP status or failure of the attempt.
        elapsed_s: Duration of the attempt in seconds.
    """
    return (
        f'{choice.upstream.name} {outcome} after {elapsed_s * 1000:.0f} ms'
        f' (expected {choice.completion_s * 1000:.0f} ms,'
        f' affinity {choice.affinity.value}, {choice.queued} queued)'
    )


def describe_refusal(choice: placement.Choice | None, reason: str) -> str:
    """Return a description of why a request is not sent, for the log.

    Args:
        choice: The best upstream with its estimates, ``None`` if no upstream
            can serve the request.
        reason: Why it is not used.
    """
    if choice is None:
        return reason
    return (
        f'{reason} at {choice.upstream.name}'
        f' (expected {choice.completion_s * 1000:.0f} ms,'
        f' of which {choice.work_s * 1000:.0f} ms work,'
        f' affinity {choice.affinity.value}, {choice.queued} queued)'
    )


def is_deliverable(
    attempt: result.Result[upstream_client.Answer, Failure],
) -> bool:
    """Return whether an attempt got a response without a server error.

    Args:
        attempt: Result of the attempt.
    """
    return (
        isinstance(attempt, result.Success) and attempt.unwrap().status < 500
    )


def first_failure(
    attempts: list[result.Result[upstream_client.Answer, Failure]],
) -> Failure | None:
    """Return the failure of the first attempt that failed.

    Args:
        attempts: Results of the attempts.
    """
    for attempt in attempts:
        if isinstance(attempt, result.Failure):
            return attempt.failure()
    return None
