"""Check how often the requests of a soak ran and what callers were told."""

import collections

from bulrushcourse_testkit.platform import soak_checks
from bulrushcourse_testkit.platform import soak_history
from bulrushcourse_testkit.platform import soak_observations

Finding = soak_observations.Finding
Observations = soak_observations.Observations
SentRequest = soak_observations.SentRequest


def run_violations(observed: Observations) -> list[Finding]:
    """Return repeated runs of requests that may run only once.

    Args:
        observed: Observations of the run.
    """
    runs = _run_counts(observed)
    return [
        _finding('TWICE', request, f'ran {runs[request.request_id]} times')
        for request in observed.sent
        if not request.repeatable and runs[request.request_id] > 1
    ]


def refusal_violations(
    observed: Observations,
) -> list[Finding]:
    """Return requests that were refused as not run, but ran.

    Args:
        observed: Observations of the run.
    """
    runs = _run_counts(observed)
    return [
        _finding('REFUSED', request, f'got {request.status} but ran')
        for request in observed.sent
        if not request.repeatable
        and request.status in soak_checks.REFUSAL_STATUSES
        and runs[request.request_id]
    ]


def answer_violations(
    observed: Observations,
) -> list[Finding]:
    """Return successes that aren't the upstream's response to the request.

    Args:
        observed: Observations of the run.
    """
    return [
        _finding('MIXED', request, 'got a wrong response')
        for request in observed.sent
        if request.status == 200 and not request.is_own_answer
    ]


def reversion_violations(observed: Observations) -> list[Finding]:
    """Return requests for which a process went back to an older version.

    Args:
        observed: Observations of the run.
    """
    marking = [
        request
        for request in observed.sent
        if request.version and request.incarnation
    ]
    findings = []
    for request in marking:
        if request.status != 404 or _was_dropped(observed, request):
            continue
        newest = max(
            (
                other.version
                for other in marking
                if other.status == 200
                and (other.vm, other.incarnation)
                == (request.vm, request.incarnation)
                and other.ended_at + soak_history.ROLLBACK_SLACK_S
                < request.sent_at
            ),
            default=0,
        )
        if request.version <= newest:
            cause = 'older than an earlier response'
            findings.append(_finding('CONFIG', request, cause))
    return findings


def _was_dropped(observed: Observations, request: SentRequest) -> bool:
    return any(
        request.prefix not in version.routes
        for version in observed.history.versions
        if version.number >= request.version
        and version.sent_at <= request.ended_at
    )


def _run_counts(
    observed: Observations,
) -> collections.Counter[str]:
    return collections.Counter(
        arrival.request_id for arrival in observed.received if arrival.ran
    )


def _finding(rule: str, request: SentRequest, cause: str) -> Finding:
    return Finding(
        rule,
        cause,
        request.ended_at,
        f'{request.request_id} {request.path}, sent to {request.vm} at'
        f' {request.sent_at:.3f}, got {request.status}',
    )
