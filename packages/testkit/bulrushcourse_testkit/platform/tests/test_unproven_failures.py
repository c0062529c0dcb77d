"""Statuses that an upstream did not certainly give are not passed on."""

import asyncio
import functools

import pytest

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import raw_http

RULES = (
    documents.rule('/browse/', max_attempts=3),
    documents.rule('/order/', kind='non_idempotent'),
)
SIGNED = 'X-Server-Signature: signed'


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))


def respond(status, named, *headers):
    return lambda request_id: raw_http.format_response(
        status, request_id if named else '', b'none of ours', *headers
    )


async def ask(cluster, path, response, *others):
    cluster.configure(1, *RULES)
    await cluster.add_upstream('u1', respond=response)
    for name in others:
        await cluster.add_upstream(name, slots=1, work_s=0.02)
    await cluster.start()
    return [await cluster.send(path) for _ in range(6)]


unproven = functools.partial(
    pytest.mark.parametrize,
    'status, named',
    [
        (status, named)
        for status in (301, 400, 404, 408, 413, 429, 431, 503)
        for named in (False, True)
    ],
)


@unproven()
def test_status_without_signature_sends_idempotent_request_elsewhere(
    status, named
):
    # Guards against a refusal by another kind of server at the address of an
    # upstream, or by garbled bytes, that the caller must not retry.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            replies = await ask(
                cluster, '/browse/1', respond(status, named), 'u2'
            )
            assert [reply.status for reply in replies] == [200] * 6
            assert cluster.upstreams['u1'].arrivals

    run(scenario())


@unproven()
def test_status_without_signature_promises_nothing_about_a_request(
    status, named
):
    # Guards against a request that may have run and is answered as refused.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            replies = await ask(cluster, '/order/1', respond(status, named))
            assert replies[0].status == 502
            assert cluster.run_count(replies[0].request_id) == 1

    run(scenario())


@pytest.mark.parametrize('status', (99, 600, 700, 999))
def test_signed_status_that_http_does_not_have_is_not_passed_on(status):
    # Guards against callers that get a status that no client understands from
    # an upstream in trouble.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            response = respond(status, True, SIGNED)
            replies = await ask(cluster, '/order/1', response)
            assert replies[0].status == 502
            assert 'X-Server-Signature' not in replies[0].headers
            assert cluster.run_count(replies[0].request_id) == 1

    run(scenario())


@pytest.mark.parametrize('status', (301, 400, 404, 409, 500, 503))
@pytest.mark.parametrize('path', ('/browse/1', '/order/1'))
def test_status_of_an_upstream_is_passed_on(status, path):
    # Guards against an upstream's own statuses that are replaced.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            replies = await ask(cluster, path, respond(status, True, SIGNED))
            assert replies[0].status == status
            assert replies[0].headers['X-Server-Signature'] == 'signed'
            assert replies[0].body == b'none of ours'

    run(scenario())
