"""Requests and responses within the limits pass a VM as they came."""

import asyncio
import gzip
import itertools

import hypothesis
import pytest
from hypothesis import strategies

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import raw_client

NUMBERS = itertools.count()
TARGETS = strategies.lists(
    strategies.sampled_from(
        ('a', 'B', '%2f', '%2F', '%c3%A9', '/', '//', '.', '..', '/./', '?')
        + ('=', '&', '&&', '+', '~', ':', '@', ';', ',', '!', "'", '%20', '-')
    ),
    max_size=12,
).map(lambda tokens: '/order/' + ''.join(tokens))
VALUES = strategies.text(
    strategies.sampled_from('aZ09 \t",;=:/\xe9%()'), max_size=20
).map(lambda text: text.strip(' \t').encode())
FIELDS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ('x-one', 'x-two', 'accept', 'cookie', 'cache-control')
        ),
        VALUES,
    ),
    max_size=6,
)
ENCODINGS = strategies.sampled_from((b'', b'gzip', b'deflate', b'br'))
BODIES = strategies.binary(max_size=300)


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


def request(target, fields=(), body=b'', method='POST', extra=b''):
    lines = [
        f'{method} {target} HTTP/1.1'.encode(),
        f'Host: {documents.HOST}'.encode(),
        f'X-Request-Id: f{next(NUMBERS)}'.encode(),
        *(name.encode() + b': ' + value for name, value in fields),
    ]
    if body:
        lines.append(b'Content-Length: %d' % len(body))
    return b'\r\n'.join(lines) + extra + b'\r\n\r\n' + body


def only(fields, names):
    return [(name, value) for name, value in fields if name in names]


async def start(cluster, **limits):
    document = documents.configuration(1, *documents.DEFAULT_RULES)
    document['limits'].update(limits)
    cluster.store.put('op', 'config', document)
    upstream = await cluster.add_upstream('u1')
    await cluster.start()
    return upstream


def test_requests_and_responses_pass_unchanged():
    # Guards against targets, repeated fields and encoded bodies that change
    # on the way in either direction.
    with asyncio.Runner() as runner:
        cluster = runner.run(clusters.EdgeCluster().__aenter__())
        upstream = runner.run(start(cluster))
        address = cluster.vms[0].listen['front']

        @hypothesis.settings(max_examples=150)
        @hypothesis.given(TARGETS, FIELDS, ENCODINGS, BODIES, FIELDS, BODIES)
        def check(target, sent, encoding, body, returned, content):
            sent = [
                *sent,
                *([('content-encoding', encoding)] if encoding else []),
            ]
            upstream.extra_headers = tuple(
                f'{name}: {value.decode()}' for name, value in returned
            )
            upstream.content = content
            data = request(target, sent, body)
            reply = runner.run(raw_client.exchange(address, data))
            assert reply.status == 200
            arrival = upstream.arrivals[-1]
            assert arrival.target == target
            assert arrival.body == body
            names = dict(sent)
            fields = raw_client.parse_fields(arrival.head)
            assert only(fields, names) == sent
            assert reply.body == content
            assert only(reply.fields(), dict(returned)) == returned

        try:
            check()
        finally:
            runner.run(cluster.__aexit__(None, None, None))


def test_compressed_body_arrives_as_sent():
    # Guards against a small body that is decompressed into a large one.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            upstream = await start(cluster)
            body = gzip.compress(bytes(1 << 22))
            fields = [('content-encoding', b'gzip')]
            data = request('/order/x', fields, body)
            address = cluster.vms[0].listen['front']
            assert (await raw_client.exchange(address, data)).status == 200
            assert upstream.arrivals[-1].body == body

    run(scenario())


def chunked(*lines):
    return b'\r\nTransfer-Encoding: chunked\r\n\r\n' + b'\r\n'.join(lines)


EXTENDED = chunked(b'3;a=b;c="d"', b'xyz', b'0', b'X-Sum: 1', b'', b'')


def in_one_piece(data):
    return (data,)


def in_small_pieces(data):
    return tuple(data[n : n + 7] for n in range(0, len(data), 7))


@pytest.mark.parametrize('split', (in_one_piece, in_small_pieces))
def test_chunk_extensions_and_trailers_of_ordinary_size_are_served(split):
    # Guards against limits that an ordinary client meets.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            upstream = await start(cluster)
            head = request('/order/x').removesuffix(b'\r\n\r\n')
            address = cluster.vms[0].listen['front']
            pieces = split(head + EXTENDED)
            reply = await raw_client.exchange(address, *pieces)
            assert reply.status == 200
            assert upstream.arrivals[-1].body == b'xyz'

    run(scenario())


def test_request_with_140_lines_is_served():
    # Guards against a limit on the number of lines: the configuration limits
    # the size only.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            upstream = await start(cluster)
            fields = [(f'x-{n}', b'v' * 80) for n in range(140)]
            address = cluster.vms[0].listen['front']
            data = request('/order/x', fields)
            assert (await raw_client.exchange(address, data)).status == 200
            names = dict(fields)
            found = raw_client.parse_fields(upstream.arrivals[-1].head)
            assert only(found, names) == fields

    run(scenario())


def test_pipelined_requests_are_answered_in_order_behind_any_body():
    # Guards against bytes of the next request that are lost or served with
    # the body before it.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            await start(cluster)
            bodies = (b'', b'abc', b'\r\n\r\nGET / HTTP/1.1\r\n\r\n', b'')
            plain = [
                request(f'/order/{n}', body=b) for n, b in enumerate(bodies)
            ]
            ends = request('/order/c').removesuffix(b'\r\n\r\n') + EXTENDED
            sent = [*plain, ends, *plain, request('/browse/x', method='GET')]
            ids = [
                dict(raw_client.parse_fields(data))['x-request-id']
                for data in sent
            ]
            host, _, port = cluster.vms[0].listen['front'].rpartition(':')
            for split in (in_one_piece, in_small_pieces):
                streams = await asyncio.open_connection(host, int(port))
                for piece in split(b'\r\n'.join(sent)):
                    streams[1].write(piece)
                    await asyncio.sleep(0)
                for request_id in ids:
                    reply = await raw_client.read_response(streams[0])
                    assert reply.body == b'u1:' + request_id
                streams[1].close()

    run(scenario())


def test_expected_continue_is_sent_before_the_body_is_read():
    # Guards against clients that wait for it in vain.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            await start(cluster)
            host, _, port = cluster.vms[0].listen['front'].rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            data = request('/order/x', [('expect', b'100-continue')], b'xy')
            writer.write(data.removesuffix(b'xy'))
            interim = await reader.readuntil(b'\r\n\r\n')
            assert interim.startswith(b'HTTP/1.1 100 ')
            writer.write(b'xy')
            assert (await raw_client.read_response(reader)).status == 200
            writer.close()

    run(scenario())


REFUSED = {
    'head over the limit': (
        request('/order/x', [('x', b'v' * 40_000)]),
        431,
    ),
    'body over the limit': (request('/order/x', body=bytes(3000)), 413),
    'head that stops': (request('/order/x')[:-9], 408),
    'body that stops': (request('/order/x', body=b'xxx')[:-1], 408),
    'chunk size that is no number': (
        request('/order/x').removesuffix(b'\r\n\r\n') + chunked(b'zz', b''),
        400,
    ),
    'chunk extension over the limit': (
        request('/order/x').removesuffix(b'\r\n\r\n')
        + chunked(b'1;' + b'x' * 40_000),
        400,
    ),
    'tunnel': (request('shop.example:80', method='CONNECT'), 501),
    'no request': (b'x' * 50 + b'\r\n\r\n', 400),
}


@pytest.mark.parametrize('name', REFUSED)
def test_refused_request_reaches_no_upstream(name):
    # Guards against refusals that are not true.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            limits = {'header_timeout': '300ms', 'idle_timeout': '300ms'}
            upstream = await start(cluster, max_body_bytes=2000, **limits)
            data, status = REFUSED[name]
            address = cluster.vms[0].listen['front']
            reply = await raw_client.exchange(address, data)
            assert reply.status == status
            assert upstream.arrivals == []

    run(scenario())


def test_field_bytes_outside_utf8_pass_unchanged():
    # Guards against bytes of a field that are dropped on the way.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            upstream = await start(cluster)
            fields = [('x-one', b'caf\xe9')]
            address = cluster.vms[0].listen['front']
            data = request('/order/x', fields)
            assert (await raw_client.exchange(address, data)).status == 200
            found = raw_client.parse_fields(upstream.arrivals[-1].head)
            assert only(found, dict(fields)) == fields

    run(scenario())
