"""No byte of a body is taken for a request."""

import asyncio

import pytest

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import framing_fuzz

ROUNDS = 60
# Time after the last byte in which a VM would pass on what it took for a
# request.
SETTLED_S = 0.3
INNER = (
    f'GET /browse/inner HTTP/1.1\r\nHost: {documents.HOST}\r\n'
    'X-Request-Id: inner\r\n\r\n'
).encode()
SIZE = len(INNER)
SIZED = f'Content-Length: {SIZE}'
CHUNKED = 'Transfer-Encoding: chunked'
CHUNKS = b'%x\r\n%s\r\n0\r\n\r\n' % (SIZE, INNER)
METHODS = (
    *('GET', 'HEAD', 'POST', 'PUT', 'DELETE', 'OPTIONS', 'TRACE', 'PATCH'),
    *('CONNECT', 'FROB', 'PRI', 'get'),
)
FRAMINGS = {
    'sized': (SIZED, INNER),
    'chunked': (CHUNKED, CHUNKS),
    'both': (f'{SIZED}\r\n{CHUNKED}', CHUNKS),
    'both, sized body': (f'{SIZED}\r\n{CHUNKED}', INNER),
    'both, length last': (f'{CHUNKED}\r\n{SIZED}', CHUNKS),
    'repeated length': (f'{SIZED}\r\n{SIZED}', INNER),
    'shorter length last': (f'{SIZED}\r\nContent-Length: 0', INNER),
    'shorter length first': (f'Content-Length: 0\r\n{SIZED}', INNER),
    'list of lengths': (f'Content-Length: {SIZE}, {SIZE}', INNER),
    'signed length': (f'Content-Length: +{SIZE}', INNER),
    'empty length': ('Content-Length: ', INNER),
    'length of 1.0': (SIZED, INNER),
    'unknown coding': ('Transfer-Encoding: xchunked', INNER),
    'chunked not last': ('Transfer-Encoding: chunked, gzip', INNER),
    'chunked twice': ('Transfer-Encoding: chunked, chunked', CHUNKS),
    'space before colon': (f'Transfer-Encoding : chunked\r\n{SIZED}', INNER),
    'upgrade': (
        f'Connection: Upgrade\r\nUpgrade: websocket\r\n{SIZED}',
        INNER,
    ),
    'chunked upgrade': (
        f'Connection: Upgrade\r\nUpgrade: h2c\r\n{CHUNKED}',
        CHUNKS,
    ),
    'expect': (f'Expect: 100-continue\r\n{SIZED}', INNER),
    'other expectation': (f'Expect: a-miracle\r\n{SIZED}', INNER),
    'bad chunk': (CHUNKED, b'zz\r\n' + INNER),
    'no end of chunk': (CHUNKED, b'1\r\nxx\r\n' + INNER),
    'late deadline': (f'X-Request-Deadline-Ms: 1\r\n{SIZED}', INNER),
}


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


async def write(cluster, *pieces):
    """Write pieces on a connection; return what was answered."""
    host, _, port = cluster.vms[0].listen['front'].rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    answered = b''
    try:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.01)
        async with asyncio.timeout(SETTLED_S):
            while data := await reader.read(1 << 16):
                answered += data
    except (OSError, TimeoutError):
        pass
    finally:
        writer.close()
    return answered


def encode(method, path, name, version):
    fields, body = FRAMINGS[name]
    head = (
        f'{method} {path} HTTP/{version}\r\nHost: {documents.HOST}\r\n'
        f'X-Request-Id: outer\r\n{fields}\r\n\r\n'
    )
    return head.encode(), body


@pytest.mark.parametrize('method', METHODS)
def test_request_in_a_body_does_not_run(method):
    # Guards against the body of a request, of CONNECT for instance, that runs
    # as a request of its own, wherever it ends in the eyes of the parser.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure(1, *documents.DEFAULT_RULES)
            upstream = await cluster.add_upstream('u1', slots=50)
            await cluster.start()
            connections = []
            for name in FRAMINGS:
                for version in ('1.1', '1.0'):
                    for path in ('/order/1', '/gone/1'):
                        head, body = encode(method, path, name, version)
                        connections += [
                            write(cluster, head + body),
                            write(cluster, head, body),
                            write(cluster, head + body[:50], body[50:]),
                        ]
            await asyncio.gather(*connections)
            ids = {arrival.request_id for arrival in upstream.heads}
            assert ids <= {'outer', ''}

    run(scenario())


@pytest.mark.parametrize('path', ['/order/1', '/gone/1', 'h.example:80'])
def test_connect_is_not_implemented_and_closes(path):
    # Guards against a tunnel that no upstream offers, and against a further
    # request on a connection of which nobody can tell where it goes on.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure(1, *documents.DEFAULT_RULES)
            upstream = await cluster.add_upstream('u1')
            await cluster.start()
            head, body = encode('CONNECT', path, 'sized', '1.1')
            answered = await write(cluster, head + body)
            assert answered.startswith(b'HTTP/1.1 501 ')
            assert answered.count(b'HTTP/1.1 ') == 1
            assert b'connection: close' in answered.lower()
            assert not [a for a in upstream.heads if a.request_id]

    run(scenario())


@pytest.mark.parametrize('seed', [1, 2])
def test_upstream_gets_only_what_clients_have_sent(seed):
    # Guards against bytes of random requests, proper and improper, that run as
    # requests that nobody has sent.
    fuzzer = asyncio.run(framing_fuzz.fuzz(seed, rounds=ROUNDS))
    assert fuzzer.findings == []
    assert fuzzer.served > ROUNDS
