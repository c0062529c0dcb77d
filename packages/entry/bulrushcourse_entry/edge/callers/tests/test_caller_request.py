"""A fingerprint identifies a request by its content and its caller."""

import attrs
import multidict
import pytest

from bulrushcourse_domain.accounts import account as accounts
from bulrushcourse_domain.accounts import account_table
from bulrushcourse_domain.accounts import keys
from bulrushcourse_domain.quarantine import fingerprints
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry.edge.callers import body_content
from bulrushcourse_entry.edge.callers import caller_request

ACCOUNTS = account_table.build_table(
    accounts.ClientAccount(name, frozenset(map(keys.digest_key, held)))
    for name, held in (('a', ('a1', 'a2')), ('b', ('b1',)))
)
REQUEST = caller_request.CallerRequest(
    request_id='r1',
    method='GET',
    target='/browse/7',
    headers=multidict.CIMultiDictProxy(multidict.CIMultiDict()),
    body=body_content.Content(),
    route=routes.Route('h', '/browse/', ()),
    configuration_version=1,
    service='catalog',
    region='r',
    object_key='',
    arrived=0.0,
    deadline=2.0,
)


def body(*parts):
    content = body_content.Content()
    content.parts.extend(parts)
    return content


def sent_with(key):
    identity = ACCOUNTS.identify(key, is_public=False)
    return attrs.evolve(REQUEST, identity=identity)


@pytest.mark.parametrize(
    'other',
    [
        sent_with('a1'),
        attrs.evolve(REQUEST, method='HEAD'),
        attrs.evolve(REQUEST, target='/browse/7?page=2'),
        attrs.evolve(REQUEST, body=body(b'x')),
        attrs.evolve(REQUEST, route=routes.Route('other', '/browse/', ())),
    ],
)
def test_requests_that_differ_have_different_fingerprints(other):
    # Guards against answers to one request that clear another one
    # (review/12: of another account).
    assert other.fingerprint != REQUEST.fingerprint


def test_caller_is_the_account_and_not_its_key():
    # Guards against a request that crashes upstreams and is counted anew with
    # each key of its account.
    first, second, other = (sent_with(key) for key in ('a1', 'a2', 'b1'))
    assert first.fingerprint == second.fingerprint != other.fingerprint
    assert fingerprints.content_of(first.fingerprint) == (
        fingerprints.content_of(other.fingerprint)
    )


def test_later_attempts_have_the_same_fingerprint():
    # Guards against a request that is counted anew with each version of the
    # configuration or each attempt of its client.
    again = attrs.evolve(
        REQUEST,
        request_id='r2',
        service='other',
        region='elsewhere',
        configuration_version=2,
        route=routes.Route('h', '/', ()),
    )
    assert again.fingerprint == REQUEST.fingerprint


def test_fingerprints_of_earlier_versions_differ_from_all_present_ones():
    # Guards against evidence of VMs that leave the caller out, which would
    # clear or quarantine requests of all callers during a release.
    assert fingerprints.content_of(REQUEST.fingerprint)
    assert not fingerprints.content_of('0123456789abcdef')
