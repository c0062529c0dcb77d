"""Check the guarantees of a soak from what callers and upstreams saw.

Each check takes the observations of a run and returns its findings.
"""

from bulrushcourse_testkit.platform import soak_history
from bulrushcourse_testkit.platform import soak_observations

Finding = soak_observations.Finding
Observations = soak_observations.Observations
ReceivedRequest = soak_observations.ReceivedRequest
SentRequest = soak_observations.SentRequest

REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
# Statuses of a VM's own that no proper request may get. A caller may repeat a
# request after 408, 421 and 429.
_DENIALS = frozenset(range(300, 500)) - {408, 421, 429}
_NEVER_FROM_ANY_VM = frozenset({401, 403, 404})


def home_violations(
    observed: Observations,
) -> list[Finding]:
    """Return arrivals outside the home regions of route and account.

    The rule binds all VMs, also those that were stopped or cut off, and
    counts requests that were answered 421.

    Args:
        observed: Observations of the run.
    """
    findings = []
    for request, arrival in observed.deliveries():
        versions = observed.history.in_force(
            request.sent_at, arrival.received_at
        )
        if _allows_region(request, arrival, versions):
            continue
        older = _allows_region(request, arrival, observed.history.versions)
        findings.append(
            _finding('HOME', observed, request, arrival, versions, older)
        )
    return findings


def _allows_region(
    request: SentRequest,
    arrival: ReceivedRequest,
    versions: list[soak_history.Version],
) -> bool:
    return any(
        arrival.region in version.regions(request.prefix, request.account)
        for version in versions
        if version.sent_at <= arrival.received_at
    )


def route_violations(
    observed: Observations,
) -> list[Finding]:
    """Return runs by a service that no configuration sends them to.

    Runs that only an outdated configuration allows are violations at VMs in
    touch.

    Args:
        observed: Observations of the run.
    """
    findings = []
    for request, arrival in observed.deliveries():
        if not arrival.ran:
            continue
        versions = observed.history.in_force(
            request.sent_at, arrival.received_at
        )
        if _allows_service(request, arrival, versions):
            continue
        older = _allows_service(request, arrival, observed.history.versions)
        if older and not observed.in_touch(request, arrival.received_at):
            continue
        rule = 'CONFIG' if older else 'ROUTE'
        findings.append(
            _finding(rule, observed, request, arrival, versions, older)
        )
    return findings


def _allows_service(
    request: SentRequest,
    arrival: ReceivedRequest,
    versions: list[soak_history.Version],
) -> bool:
    return any(
        arrival.service in version.services(request.prefix)
        for version in versions
        if version.sent_at <= arrival.received_at
    )


def evacuation_violations(
    observed: Observations,
) -> list[Finding]:
    """Return late arrivals in evacuated failure domains from VMs in touch.

    Args:
        observed: Observations of the run.
    """
    findings = []
    for request, arrival in observed.deliveries():
        if arrival.was_misdirected or not any(
            evacuation.failure_domain == arrival.failure_domain
            and evacuation.acknowledged_at + soak_history.EVACUATE_S
            < arrival.received_at
            < evacuation.ended_at
            for evacuation in observed.history.evacuations
        ):
            continue
        if observed.in_touch(request, arrival.received_at):
            findings.append(
                _finding('EVAC', observed, request, arrival, [], False)
            )
    return findings


def _finding(
    rule: str,
    observed: Observations,
    request: SentRequest,
    arrival: ReceivedRequest,
    versions: list[soak_history.Version],
    older: bool,
) -> Finding:
    touch = observed.in_touch(request, arrival.received_at)
    causes = (
        'older version' if older else 'no version',
        'in touch' if touch else 'out of touch',
        '421' if arrival.was_misdirected else 'accepted',
    )
    return Finding(
        rule,
        ', '.join(causes),
        arrival.received_at,
        f'{request.request_id} {request.path} of {request.account}, sent to'
        f' {request.vm} at {request.sent_at:.3f}, reached {arrival.upstream}'
        f' ({arrival.service}, {arrival.failure_domain}, {arrival.address})'
        f' at {arrival.received_at:.3f} for {arrival.expected}; versions'
        f' {[version.number for version in versions]} may be in force;'
        f' the caller got {request.status}',
    )


def denial_violations(observed: Observations) -> list[Finding]:
    """Return proper requests that a VM itself answered 3xx or 4xx.

    For VMs out of touch only those count that all configurations of the run
    allow.

    Args:
        observed: Observations of the run.
    """
    denied = [
        request
        for request in observed.sent
        if request.status in _DENIALS and not request.signed
    ]
    findings = []
    for request in denied:
        history = observed.history
        versions = history.in_force(request.sent_at, request.ended_at)
        touch = observed.in_touch(request, request.ended_at)
        always = _all_allow(request, history.versions)
        counts = touch or (always and request.status in _NEVER_FROM_ANY_VM)
        if counts and _all_allow(request, versions):
            findings.append(_denial(request, versions, touch, always))
    return findings


def _denial(
    request: SentRequest,
    versions: list[soak_history.Version],
    touch: bool,
    always: bool,
) -> Finding:
    return Finding(
        'DENIED',
        f'{request.status}, {"in" if touch else "out of"} touch,'
        f' {"all" if always else "current"} versions allow it',
        request.ended_at,
        f'{request.request_id} {request.path} of {request.account},'
        f' {request.body_bytes} bytes, sent to {request.vm} at'
        f' {request.sent_at:.3f}, answered at {request.ended_at:.3f};'
        f' versions {[version.number for version in versions]} may be in'
        ' force',
    )


def _all_allow(
    request: SentRequest,
    versions: list[soak_history.Version],
) -> bool:
    return bool(versions) and all(
        request.prefix in version.routes
        and request.account in version.account_homes
        and request.body_bytes <= version.body_bytes
        and request.header_bytes <= version.header_bytes
        for version in versions
    )
