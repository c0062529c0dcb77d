"""Generated sequences of proper requests on kept connections."""

import asyncio
import itertools

import attrs
import hypothesis
from hypothesis import strategies

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import raw_client

NUMBERS = itertools.count()
CONNECTIONS_IN_FLIGHT = 3


@attrs.frozen
class Framing:
    """How a body is sent.

    Attributes:
        fields: Header lines that announce it.
        data: The body as sent.
        body: The body without its coding.
    """

    fields: tuple[str, ...] = ()
    data: bytes = b''
    body: bytes = b''


@attrs.frozen
class Proper:
    """A proper request without its identifier.

    Attributes:
        method: Method.
        target: Target as sent.
        host: Host field.
        fields: Further header lines.
        framing: Its body.
        before: Empty lines before the head.
        has_route: Whether the configuration has a route for it.
    """

    method: str
    target: str
    host: str
    fields: tuple[str, ...]
    framing: Framing
    before: bytes
    has_route: bool

    def encode(self, request_id: str) -> bytes:
        """Return the request as sent."""
        lines = (
            f'{self.method} {self.target} HTTP/1.1',
            f'Host: {self.host}',
            f'X-Request-Id: {request_id}',
            *self.fields,
            *self.framing.fields,
        )
        text = '\r\n'.join(lines) + '\r\n\r\n'
        return self.before + text.encode() + self.framing.data


def sized(body):
    return Framing((f'Content-Length: {len(body)}',), body, body)


def chunked(chunks, extension, trailer):
    data = b''.join(
        b'%x%s\r\n%s\r\n' % (len(chunk), extension, chunk) for chunk in chunks
    )
    return Framing(
        ('Transfer-Encoding: chunked',),
        data + b'0\r\n' + trailer + b'\r\n',
        b''.join(chunks),
    )


# Fewer empty lines than those behind which a connection is closed.
PARTS = strategies.sampled_from(
    (b'', b'\r\n', b'\r\n\r\n', b'0\r\n\r\n', b'GET / HTTP/1.1\r\n\r\n')
    + (b'x', b'\x00\xff', b'y' * 5000, b'\r\n\r\n' * 4)
)
BODIES = strategies.lists(PARTS, max_size=4).map(b''.join)
SIZED = BODIES.map(sized)
CHUNKED = strategies.builds(
    chunked,
    strategies.lists(BODIES.filter(bool), max_size=3),
    strategies.sampled_from((b'', b';a', b';a="b c"')),
    strategies.sampled_from((b'', b'X-Sum: 1\r\n', b'X-Sum: 1\r\nX-2:\r\n')),
)
EXPECTING = strategies.one_of(SIZED, CHUNKED).map(
    lambda framing: attrs.evolve(
        framing, fields=(*framing.fields, 'Expect: 100-continue')
    )
)
TARGETS = strategies.sampled_from(
    ('/browse/', '/browse/1?', '/browse//../%2F?a=/&b', '/browse/~;x=1,2')
    + ('/order/', '/order/1?a=%0d%0a', '/order/' + 'z' * 5000)
    + ('/gone/1', '/', '/brows')
)
HOSTS = strategies.sampled_from(
    (documents.HOST, documents.HOST.upper(), documents.HOST + ':8080')
    + (documents.HOST + '.', documents.HOST + '.:80')
)
FIELDS = strategies.lists(
    strategies.sampled_from(
        ('X-Empty:', 'X-Pad: \t a \t', 'Cookie: a=b; c=d', 'TE: trailers')
        + ('Connection: keep-alive', 'Keep-Alive: timeout=5', 'accept:*/*')
        + ('X-Request-Deadline-Ms: 4000', 'Upgrade: h2c', 'X-Long: ')
        + ('Connection: Upgrade, HTTP2-Settings', 'Upgrade: websocket')
        + ('X-Wide: ' + 'w' * 9000, 'Accept-Encoding: identity')
    ),
    max_size=4,
    unique=True,
).map(tuple)


@strategies.composite
def proper_requests(draw):
    target, host = draw(TARGETS), draw(HOSTS)
    if target.startswith('/order'):
        methods = ('POST', 'PUT', 'PATCH', 'DELETE')
    else:
        methods = ('GET', 'HEAD', 'OPTIONS', 'PROPFIND')
    framing = draw(strategies.one_of(SIZED, CHUNKED, EXPECTING))
    if target.startswith('/browse') and draw(strategies.booleans()):
        framing = Framing()
    if draw(strategies.booleans()):
        sent, host = f'http://{host}{target}', 'other.example'
    else:
        sent = target
    return Proper(
        draw(strategies.sampled_from(methods)),
        sent,
        host,
        draw(FIELDS),
        framing,
        draw(strategies.sampled_from((b'', b'\r\n'))),
        target.startswith(('/browse/', '/order/')),
    )


SEQUENCES = strategies.lists(proper_requests(), min_size=1, max_size=5)
# Sizes of the parts in which a sequence is sent, repeated until its end.
CUTS = strategies.lists(
    strategies.sampled_from((1, 2, 3, 17, 100, 1000, 4096, 1 << 20)),
    min_size=1,
    max_size=5,
)

# Times between the parts in seconds.
PAUSES = strategies.sampled_from((0, 0, 0, 0.001))


async def read_final_response(reader, method):
    """Return the status and body of a response, without interim ones."""
    while True:
        head = await reader.readuntil(b'\r\n\r\n')
        reply = raw_client.RawResponse(head, b'')
        if reply.status >= 200:
            break
    length = int(dict(reply.fields()).get('content-length', 0))
    if method == 'HEAD':
        return reply.status, b''
    return reply.status, await reader.readexactly(length)


async def write_parts(writer, data, cuts, pause_s):
    sizes = itertools.cycle(cuts)
    position = 0
    while position < len(data):
        # Many small parts of a long sequence add nothing but time.
        size = max(next(sizes), len(data) // 300)
        writer.write(data[position : position + size])
        await writer.drain()
        await asyncio.sleep(pause_s)
        position += size


async def send_sequence(address, upstream, sequence, cuts, pause_s):
    """Send requests on one connection and check their responses."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    numbered = [(f's{next(NUMBERS)}', request) for request in sequence]
    data = b''.join(request.encode(name) for name, request in numbered)
    sending = asyncio.create_task(write_parts(writer, data, cuts, pause_s))
    try:
        for name, request in numbered:
            status, body = await asyncio.wait_for(
                read_final_response(reader, request.method), 5
            )
            assert status == (200 if request.has_route else 404)
            if status == 404:
                continue
            arrival = next(
                a for a in reversed(upstream.arrivals) if a.request_id == name
            )
            assert arrival.body == request.framing.body
            if request.method != 'HEAD':
                assert body == b'u1:' + name.encode()
        await sending
    finally:
        sending.cancel()
        writer.close()


def test_sequences_of_proper_requests_are_answered_one_by_one():
    # Guards against proper requests that are refused, lost or changed
    # because of how they are cut, or of what precedes them on a connection.
    with asyncio.Runner() as runner:
        cluster = runner.run(clusters.EdgeCluster().__aenter__())
        cluster.configure()
        upstream = runner.run(cluster.add_upstream('u1', work_s=0, slots=50))
        runner.run(cluster.start())
        address = cluster.vms[0].listen['front']

        async def send_all(sequences):
            await asyncio.gather(
                *(
                    send_sequence(address, upstream, *drawn)
                    for drawn in sequences
                )
            )

        @hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
        @hypothesis.given(
            strategies.lists(
                strategies.tuples(SEQUENCES, CUTS, PAUSES),
                min_size=1,
                max_size=CONNECTIONS_IN_FLIGHT,
            )
        )
        def check(sequences):
            runner.run(send_all(sequences))

        try:
            check()
        finally:
            runner.run(cluster.__aexit__(None, None, None))
