"""Check that planned stops lose no request that was taken from a caller."""

import collections

from bulrushcourse_testkit.platform import soak_history
from bulrushcourse_testkit.platform import soak_observations

Finding = soak_observations.Finding
Observations = soak_observations.Observations
ReceivedRequest = soak_observations.ReceivedRequest
SentRequest = soak_observations.SentRequest

# Of the users' rules: a request that was sent until then may be cut off if it
# is still at work in the last sixth of the grace time.
LAST_ACCEPTED_S = 3.0
LAST_SIXTH_S = soak_history.GRACE_S * 5 / 6
ROUTE_TIMEOUT_S = 2.0
# A status 504 is sent before the deadline, so that it arrives in time.
ANSWER_MARGIN_S = 0.05


def loss_violations(observed: Observations) -> list[Finding]:
    """Return whole requests that a planned stop left without an answer.

    The users' rules say under LOST: "Around planned work, with no unplanned
    disruption [...], a process has read a whole request and the connection
    ends without a complete answer, either once it has been passed on to an
    instance, or later than ``loss_slack`` after its last byte was sent." And:
    "After a SIGTERM it is the same if you break off a request at which its
    instance is at work and give an answer of your own in its place."

    The time for which a slowed process was held is added to ``loss_slack``,
    since it can't read or close anything meanwhile. "Not counted: the
    instance broke off, the deadline or the route's timeout was reached, or
    the instance was still at work in the last sixth of ``grace`` on a request
    that was sent no later than 3 s after the SIGTERM." No upstream breaks off
    in the fault set with planned stops.

    Args:
        observed: Observations of the run.
    """
    arrivals = collections.defaultdict(list)
    for arrival in observed.received:
        arrivals[arrival.request_id].append(arrival)
    findings = []
    for request in observed.sent:
        stop = observed.history.stop_during(
            request.vm, request.sent_at, request.ended_at
        )
        if stop is None or not request.whole_at:
            continue
        arrived = arrivals[request.request_id]
        cause = _loss(observed.history, request, arrived)
        if cause and not _is_allowed(request, arrived, stop):
            findings.append(
                _finding(cause, observed.history, request, arrived, stop)
            )
    return findings


def _loss(
    history: soak_history.History,
    request: SentRequest,
    arrived: list[ReceivedRequest],
) -> str:
    """Return how a request was lost, empty if it was not."""
    if request.is_cut and arrived:
        return 'passed on'
    waited_s = request.ended_at - request.whole_at
    slack_s = soak_history.LOSS_SLACK_S + history.held_s(
        request.vm, request.whole_at, request.ended_at
    )
    if request.is_cut and waited_s > slack_s:
        return 'not passed on, late'
    if (
        request.status >= 300
        and not request.signed
        and _is_at_work(request, arrived)
    ):
        return f'at work, answered {request.status}'
    return ''


def _is_at_work(request: SentRequest, arrived: list[ReceivedRequest]) -> bool:
    return any(
        arrival.ran and request.ended_at < arrival.received_at + arrival.work_s
        for arrival in arrived
    )


def _is_allowed(
    request: SentRequest,
    arrived: list[ReceivedRequest],
    stop: soak_history.Stop,
) -> bool:
    limit_s = min(request.deadline_s, ROUTE_TIMEOUT_S)
    if request.status:
        limit_s -= ANSWER_MARGIN_S
    if request.ended_at - request.sent_at >= limit_s:
        return True
    return (
        bool(arrived)
        and request.sent_at <= stop.term_at + LAST_ACCEPTED_S
        and request.ended_at >= stop.term_at + LAST_SIXTH_S
    )


def _finding(
    cause: str,
    history: soak_history.History,
    request: SentRequest,
    arrived: list[ReceivedRequest],
    stop: soak_history.Stop,
) -> Finding:
    span = (request.whole_at, request.ended_at)
    stalled_s = soak_history.overlap_s(history.stalls, *span)
    times = (
        ('sent', request.sent_at),
        ('whole', request.whole_at),
        *(
            (f'at {arrival.upstream}', arrival.received_at)
            for arrival in arrived
        ),
        ('ended', request.ended_at),
        ('process ended', stop.exited_at),
    )
    trace = ', '.join(f'{name} {at - stop.term_at:.3f}' for name, at in times)
    kind = 'repeatable' if request.repeatable else 'once only'
    if request.is_behind_close:
        kind += ', behind a closing response'
    return Finding(
        'LOST',
        f'{cause}, {kind}',
        request.ended_at,
        f'{request.request_id} {request.path}, {request.body_bytes} bytes,'
        f' {request.vm}; s after SIGTERM: {trace};'
        f' held {history.held_s(request.vm, *span):.3f} s,'
        f' own loop late {stalled_s:.3f} s',
    )
