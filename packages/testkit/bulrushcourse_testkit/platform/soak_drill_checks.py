"""Check a soak with drills for late arrivals and for lost requests."""

import collections
import math

import attrs

from bulrushcourse_testkit.platform import soak_drill_history
from bulrushcourse_testkit.platform import soak_history
from bulrushcourse_testkit.platform import soak_observations
from bulrushcourse_testkit.platform import soak_stop_checks

Finding = soak_observations.Finding
Observations = soak_observations.Observations
ReceivedRequest = soak_observations.ReceivedRequest
SentRequest = soak_observations.SentRequest

# Bound of the users' platform in seconds.
DRAIN_S = 2.0


def drain_violations(observed: Observations) -> list[Finding]:
    """Return late arrivals at upstreams that leave, from VMs in touch.

    The users' rules say under DRAIN: "A request reaches an instance later
    than ``drain`` after a machine in touch acknowledged that the instance is
    ``draining`` or gone", and "requests that get 421 don't count".

    Args:
        observed: Observations of the run, with a ``DrillHistory``.
    """
    leaves = collections.defaultdict(list)
    for leave in observed.history.leaves:
        leaves[leave.upstream, leave.address].append(leave)
    findings = []
    for request, arrival in observed.deliveries():
        if arrival.was_misdirected:
            continue
        for leave in leaves[arrival.upstream, arrival.address]:
            late = leave.acknowledged_at + DRAIN_S < arrival.received_at
            if (
                late
                and arrival.received_at < leave.lost_at
                and observed.in_touch(request, arrival.received_at)
            ):
                findings.append(_finding(request, arrival, leave))
    return findings


def _finding(
    request: SentRequest,
    arrival: ReceivedRequest,
    leave: soak_drill_history.Leave,
) -> Finding:
    after_s = arrival.received_at - leave.acknowledged_at
    return Finding(
        'DRAIN',
        'in touch',
        arrival.received_at,
        f'{request.request_id} {request.path}, sent to {request.vm} at'
        f' {request.sent_at:.3f}, reached {arrival.upstream}'
        f' ({arrival.service}, {arrival.failure_domain}, {arrival.address})'
        f' {after_s:.3f} s after its leaving was acknowledged; the caller got'
        f' {request.status}',
    )


def loss_violations(observed: Observations) -> list[Finding]:
    """Return whole requests that planned stops lost, unless others may have.

    The users' rules bound LOST "around planned work, with no unplanned
    disruption from ``contact`` before the request to its end", don't count
    where "the instance broke off", and say that a "disruption of the store
    alone excuses nothing".

    Args:
        observed: Observations of the run, with a ``DrillHistory``.
    """
    ended = _requests_at_ended_upstreams(observed)
    sent = [
        request
        for request in observed.sent
        if request.request_id not in ended
        and not _met_unplanned_disruption(observed.history, request)
    ]
    return soak_stop_checks.loss_violations(attrs.evolve(observed, sent=sent))


def _requests_at_ended_upstreams(observed: Observations) -> set[str]:
    ends = observed.history.ends
    return {
        request.request_id
        for request, arrival in observed.deliveries()
        if arrival.received_at
        <= ends.get((arrival.upstream, arrival.address), math.inf)
        <= request.ended_at
    }


def _met_unplanned_disruption(
    history: soak_history.History, request: SentRequest
) -> bool:
    return any(
        fault.start <= request.ended_at
        and fault.end + soak_history.CONTACT_S > request.sent_at
        for fault in history.disruptions
        if not fault.is_planned
        and fault.vm in (request.vm, soak_history.ALL_VMS)
    )
