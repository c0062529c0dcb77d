"""Each check of the soak finds a planted violation, and only that."""

import attrs
import pytest

from bulrushcourse_testkit.platform import soak_checks
from bulrushcourse_testkit.platform import soak_history
from bulrushcourse_testkit.platform import soak_observations
from bulrushcourse_testkit.platform import soak_run_checks

RouteState = soak_history.RouteState
CATALOG = frozenset({'catalog'})
HOME_A = RouteState(CATALOG, frozenset('a'))
HOME_B = RouteState(CATALOG, frozenset('b'))
# Versions are written at 10 s and 20 s and must be known 2 s later.
START, CHANGE, KNOWN = 10.0, 20.0, 22.0


def version(number, at, route, accounts=None, **limits):
    routes = {'/home/': route} if route else {}
    homes = {'acme': frozenset()} if accounts is None else accounts
    return soak_history.Version(number, at, at, routes, homes, **limits)


def request(**changes):
    fields = {
        'request_id': 'k1',
        'vm': 'vm-0',
        'incarnation': 1,
        'path': '/home/x',
        'prefix': '/home/',
        'account': 'acme',
        'repeatable': True,
        'sent_at': 30.0,
        'ended_at': 30.5,
        'status': 200,
        'is_own_answer': True,
    }
    return soak_observations.SentRequest(**{**fields, **changes})


def arrival(region='b', **changes):
    fields = {
        'request_id': 'k1',
        'upstream': 'u1',
        'address': '127.0.0.1:1',
        'service': 'catalog',
        'failure_domain': f'{region}1',
        'region': region,
        'received_at': 30.1,
        'expected': 'u1',
        'ran': True,
    }
    return soak_observations.ReceivedRequest(**{**fields, **changes})


def observed(sent, received=(), versions=(), **history):
    versions = versions or [version(1, START, HOME_A)]
    return soak_observations.Observations(
        [sent],
        received,
        soak_history.History(versions=list(versions), **history),
    )


def rules(findings):
    return [(finding.rule, finding.cause) for finding in findings]


def test_arrival_in_another_region_breaks_home_also_when_it_gets_421():
    # Guards against a check that counts only requests that ran.
    for expected in ('u1', 'other'):
        found = soak_checks.home_violations(
            observed(request(), [arrival(expected=expected, ran=False)])
        )
        assert [finding.rule for finding in found] == ['HOME']


def test_homes_of_accounts_bind_beside_those_of_routes():
    # Guards against a check that looks at the homes of the route alone.
    accounts = {'acme': frozenset('b'), 'free': frozenset()}
    versions = [version(1, START, RouteState(CATALOG), accounts)]
    received = [arrival('a')]
    assert soak_checks.home_violations(observed(request(), received, versions))
    assert not soak_checks.home_violations(
        observed(request(account='free'), received, versions)
    )


@pytest.mark.parametrize(
    ('sent_at', 'region', 'cause'),
    [
        (KNOWN - 0.1, 'a', None),
        (KNOWN - 0.1, 'b', None),
        (KNOWN + 0.1, 'b', None),
        (KNOWN + 0.1, 'a', 'older version, in touch, accepted'),
    ],
)
def test_earlier_homes_count_until_the_next_must_be_known(
    sent_at, region, cause
):
    # Guards against a check that allows the homes of every version of a run.
    versions = [version(1, START, HOME_A), version(2, CHANGE, HOME_B)]
    sent = request(sent_at=sent_at)
    received = [arrival(region, received_at=sent_at + 0.1)]
    found = soak_checks.home_violations(observed(sent, received, versions))
    assert rules(found) == ([('HOME', cause)] if cause else [])


def test_pause_of_a_vm_does_not_excuse_earlier_homes():
    # Guards against an excuse for VMs out of touch, which the rule lacks.
    versions = [version(1, START, HOME_A), version(2, CHANGE, HOME_B)]
    pause = soak_history.Disruption('vm-0', 19.0, 24.0)
    found = soak_checks.home_violations(
        observed(
            request(sent_at=24.1),
            [arrival('a', received_at=24.2)],
            versions,
            disruptions=[pause],
        )
    )
    assert rules(found) == [('HOME', 'older version, out of touch, accepted')]


def test_outage_of_the_store_delays_when_a_version_must_be_known():
    # Guards against findings for versions that no VM could read.
    versions = [version(1, START, HOME_A), version(2, CHANGE, HOME_B)]
    outage = soak_history.Disruption('', 20.5, 26.0)
    for sent_at, count in ((28.9, 0), (29.1, 1)):
        found = soak_checks.home_violations(
            observed(
                request(sent_at=sent_at),
                [arrival('a', received_at=sent_at)],
                versions,
                outages=[outage],
            )
        )
        assert len(found) == count


def test_own_status_404_for_an_allowed_request_breaks_denied():
    # Guards against proper requests that are turned away as wrong.
    found = soak_checks.denial_violations(observed(request(status=404)))
    assert rules(found) == [('DENIED', '404, in touch, all versions allow it')]


@pytest.mark.parametrize(
    'changes',
    [
        {'status': 429},
        {'status': 421},
        {'status': 408},
        {'status': 503},
        {'status': 404, 'signed': True},
        {'status': 404, 'prefix': '/unknown/'},
        {'status': 401, 'account': 'unknown'},
        {'status': 413, 'body_bytes': 2 << 20},
        {'status': 431, 'header_bytes': 20 << 10},
    ],
)
def test_true_refusals_do_not_break_denied(changes):
    # Guards against findings for improper requests and for other promises.
    assert not soak_checks.denial_violations(observed(request(**changes)))


def test_route_that_comes_back_may_be_denied_until_it_must_be_known():
    # Guards against a check that allows 404 for as long as any version of the
    # run lacks the route.
    versions = [version(1, START, None), version(2, CHANGE, HOME_A)]
    for sent_at, count in ((KNOWN - 0.1, 0), (KNOWN + 0.1, 1)):
        sent = request(status=404, sent_at=sent_at, ended_at=sent_at + 0.05)
        found = soak_checks.denial_violations(observed(sent, (), versions))
        assert len(found) == count


def test_smaller_limit_may_deny_until_the_larger_must_be_known():
    # Guards against a check that ignores limits of earlier versions.
    versions = [
        version(1, START, HOME_A, body_bytes=100),
        version(2, CHANGE, HOME_A, body_bytes=1000),
    ]
    for sent_at, count in ((KNOWN - 0.1, 0), (KNOWN + 0.1, 1)):
        sent = request(
            status=413,
            body_bytes=500,
            sent_at=sent_at,
            ended_at=sent_at + 0.05,
        )
        found = soak_checks.denial_violations(observed(sent, (), versions))
        assert len(found) == count


def test_vm_out_of_touch_may_deny_only_what_some_version_forbids():
    # Guards against an excuse for routes that every configuration has.
    cut = soak_history.Disruption('vm-0', 20.0, 29.0)
    both = [version(1, START, HOME_A), version(2, CHANGE, HOME_A)]
    added = [version(1, START, None), version(2, CHANGE, HOME_A)]
    for versions, count in ((both, 1), (added, 0)):
        found = soak_checks.denial_violations(
            observed(request(status=404), (), versions, disruptions=[cut])
        )
        assert len(found) == count


def test_run_by_a_service_of_no_version_breaks_route():
    # Guards against runs by another service on a reused address.
    received = [arrival('a', service='orders')]
    found = soak_checks.route_violations(observed(request(), received))
    assert [finding.rule for finding in found] == ['ROUTE']
    refused = [attrs.evolve(received[0], expected='other', ran=False)]
    assert not soak_checks.route_violations(observed(request(), refused))


def test_run_by_the_service_of_an_earlier_version_breaks_config():
    # Guards against a VM in touch that goes on with an outdated route.
    orders = RouteState(frozenset({'orders'}))
    versions = [version(1, START, orders), version(2, CHANGE, HOME_A)]
    received = [arrival('a', service='orders')]
    found = soak_checks.route_violations(
        observed(request(), received, versions)
    )
    assert [finding.rule for finding in found] == ['CONFIG']
    cut = soak_history.Disruption('vm-0', 20.0, 29.0)
    assert not soak_checks.route_violations(
        observed(request(), received, versions, disruptions=[cut])
    )


@pytest.mark.parametrize(
    ('acknowledged_at', 'ended_at', 'changes', 'count'),
    [
        (25.0, 40.0, {}, 1),
        (25.2, 40.0, {}, 0),
        (25.0, 30.0, {}, 0),
        (25.0, 40.0, {'expected': 'other', 'ran': False}, 0),
        (25.0, 40.0, {'failure_domain': 'a2'}, 0),
    ],
)
def test_late_arrival_in_an_evacuated_domain_breaks_evac(
    acknowledged_at, ended_at, changes, count
):
    # Guards against work for a failure domain that was evacuated.
    evacuation = soak_history.Evacuation('a1', acknowledged_at, ended_at)
    found = soak_checks.evacuation_violations(
        observed(
            request(), [arrival('a', **changes)], evacuations=[evacuation]
        )
    )
    assert [finding.rule for finding in found] == ['EVAC'] * count


def test_disruption_excuses_until_the_contact_time_has_passed():
    # Guards against checks with a time bound that hold VMs to it at once.
    history = soak_history.History(
        disruptions=[soak_history.Disruption('vm-0', 10.0, 20.0)]
    )
    assert history.in_touch('vm-0', 8.0, 9.9)
    assert not history.in_touch('vm-0', 9.0, 10.1)
    assert not history.in_touch('vm-0', 22.9, 23.5)
    assert history.in_touch('vm-0', 23.1, 23.5)
    assert history.in_touch('vm-1', 15.0, 15.1)


def test_second_run_and_untrue_refusal_are_found():
    # Guards against repeated runs of what may run once.
    twice = [arrival('a'), arrival('a', upstream='u2', expected='u2')]
    order = request(repeatable=False, status=503)
    assert soak_run_checks.run_violations(observed(order, twice))
    assert soak_run_checks.refusal_violations(observed(order, twice[:1]))
    assert not soak_run_checks.run_violations(observed(order, twice[:1]))
    repeatable = observed(request(), twice)
    assert not soak_run_checks.run_violations(repeatable)
    assert not soak_run_checks.refusal_violations(repeatable)


def test_success_that_is_not_the_answer_is_found():
    # Guards against the answer of another request.
    wrong = observed(request(is_own_answer=False))
    assert soak_run_checks.answer_violations(wrong)
    assert not soak_run_checks.answer_violations(observed(request()))


def test_route_that_a_process_served_and_denies_later_is_found():
    # Guards against a process that goes back to an older configuration.
    served = request(
        prefix='/v2/', version=2, sent_at=30.0, ended_at=30.1, path='/v2/x'
    )
    denied = attrs.evolve(served, status=404, sent_at=30.5, ended_at=30.6)
    marked = {'/v2/': RouteState(CATALOG)}
    versions = [
        version(1, START, HOME_A),
        attrs.evolve(version(2, CHANGE, None), routes=marked),
    ]
    history = soak_history.History(versions=versions)
    found = soak_run_checks.reversion_violations(
        soak_observations.Observations([served, denied], (), history)
    )
    assert [finding.rule for finding in found] == ['CONFIG']
    other_process = attrs.evolve(denied, incarnation=2)
    assert not soak_run_checks.reversion_violations(
        soak_observations.Observations([served, other_process], (), history)
    )
