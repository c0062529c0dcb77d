"""Mapping of upstream failures to slot outcomes and caller problems."""

from bulrushcourse_domain.slots import requests
from bulrushcourse_entry.callers import problems
from bulrushcourse_entry.callers import request_parsing
from bulrushcourse_entry.upstreams import client

RETRY_AFTER_S = 1

RELEASE_OUTCOMES = {
    client.Failure.NOT_SENT: requests.ReleaseOutcome.UNREACHABLE,
    client.Failure.SHED: requests.ReleaseOutcome.SHED,
    client.Failure.NO_SHARE: requests.ReleaseOutcome.CANCELLED,
    client.Failure.LOST: requests.ReleaseOutcome.LOST,
    client.Failure.TRUNCATED: requests.ReleaseOutcome.LOST,
    client.Failure.DEADLINE: requests.ReleaseOutcome.CANCELLED,
}
# Failures that prove that the instance did not run the request.
NOT_RUN_FAILURES = frozenset(
    (
        client.Failure.NOT_SENT,
        client.Failure.SHED,
        client.Failure.NO_SHARE,
    )
)
HTTP_STATUSES = {
    client.Failure.NOT_SENT: 502,
    client.Failure.SHED: 503,
    client.Failure.NO_SHARE: 503,
    client.Failure.LOST: 502,
    client.Failure.TRUNCATED: 502,
    client.Failure.DEADLINE: 504,
}


def describe_failure(
    call: request_parsing.Call,
    refusal: requests.Refusal | None,
    failure: client.Failure | None,
) -> problems.Problem:
    """Return the problem that reports a failed attempt to the caller.

    Args:
        call: The caller's request.
        refusal: Set if no slot was granted for the attempt.
        failure: Set if a slot was granted but no response arrived.
    """
    if refusal is not None:
        return problems.not_run(
            503,
            f'no-slot-{refusal.reason.value}',
            f'no slot of {call.service.name} was granted in time',
            RETRY_AFTER_S,
        )
    outcome = (
        problems.Outcome.NOT_RUN
        if failure in NOT_RUN_FAILURES
        else problems.Outcome.UNKNOWN
    )
    return problems.Problem(
        HTTP_STATUSES[failure],
        f'upstream-{failure.value}',
        f'upstream of {call.service.name} failed: {failure.value}',
        outcome,
        RETRY_AFTER_S,
    )


def may_have_run(failure: client.Failure | None) -> bool:
    """Return whether a failed request may have run.

    Args:
        failure: How it failed, ``None`` if it was not sent.
    """
    return failure is not None and failure not in NOT_RUN_FAILURES


def used_no_capacity(failure: client.Failure) -> bool:
    """Return whether a failed attempt used no capacity of an instance.

    No byte of such a request was sent, so a retry adds no load and is not
    charged to the retry budget.

    Args:
        failure: How the attempt failed.
    """
    return failure in (client.Failure.NOT_SENT, client.Failure.NO_SHARE)


def may_retry(call: request_parsing.Call, failure: client.Failure) -> bool:
    """Return whether a call may be retried after a failure.

    Args:
        call: The caller's request.
        failure: How its last attempt failed.
    """
    if call.body_stream is not None:
        # A streamed body is not buffered, so it cannot be sent again.
        return False
    if failure is client.Failure.DEADLINE:
        return False
    return failure in NOT_RUN_FAILURES or call.service.idempotent
