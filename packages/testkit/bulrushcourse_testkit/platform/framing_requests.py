"""Random requests, proper and improper, whose bodies hold further requests."""

import random

import attrs

from bulrushcourse_testkit.platform import documents

METHODS = (
    ('GET', 4),
    ('POST', 6),
    ('HEAD', 1),
    ('PUT', 1),
    ('DELETE', 1),
    ('OPTIONS', 1),
    ('TRACE', 1),
    ('PATCH', 1),
    ('CONNECT', 2),
    ('FROB', 1),
    ('get', 1),
)
TARGETS = (
    *(('/browse/1', '/order/1') * 5),
    *('/gone/1', '*', 'h.example:80', '//a'),
)
VERSIONS = (*(('HTTP/1.1',) * 8), 'HTTP/1.0', 'HTTP/1.2')
FIELDS = (
    'Connection: Upgrade\r\nUpgrade: websocket',
    'Connection: Upgrade\r\nUpgrade: h2c',
    'Connection: keep-alive',
    'Connection: close',
    'Expect: 100-continue',
    'Expect: a-miracle',
    'X-Request-Deadline-Ms: 30',
    'X-Odd: a\r\n b',
    'X-Odd : a',
    'X-Odd: \x00',
)
# Ways to state the length of a body, by what a sender means by them.
SIZED = 'Content-Length: {size}'
CHUNKED = 'Transfer-Encoding: chunked'
NO_BODY = ''
PROPER = (SIZED, SIZED, CHUNKED, CHUNKED, NO_BODY)
IMPROPER = (
    f'{SIZED}\r\n{CHUNKED}',
    f'{CHUNKED}\r\n{SIZED}',
    f'{SIZED}\r\n{SIZED}',
    f'{SIZED}\r\nContent-Length: 0',
    f'Content-Length: 0\r\n{SIZED}',
    'Content-Length: {size}, {size}',
    'Content-Length: +{size}',
    'Content-Length: 0x{size:x}',
    'Content-Length: {size}_0',
    'Content-Length : {size}',
    'Content-Length:\r\n {size}',
    'Content-Length: ',
    'Transfer-Encoding: gzip, chunked',
    'Transfer-Encoding: chunked, gzip',
    'Transfer-Encoding: chunked, chunked',
    'Transfer-Encoding: identity',
    'Transfer-Encoding: xchunked',
    'Transfer-Encoding:\tchunked',
    'Transfer-Encoding : chunked',
    'Transfer-Encoding: chunked\r\nTransfer-Encoding: identity',
)
ENDS_OF_LINES = ('\r\n',) * 12 + ('\n',)


@attrs.frozen
class Sent:
    """A request that a client sends.

    Attributes:
        request_id: Its identifier.
        target: Its target.
        body: Its body, ``None`` where its framing is improper, so that the
            receiver may refuse it or understand another body.
    """

    request_id: str
    target: str
    body: bytes | None


@attrs.define
class RequestGenerator:
    """Generates what a client sends on one connection.

    Attributes:
        rng: Source of randomness.
        prefix: First part of all identifiers.
        count: Number of identifiers so far.
    """

    rng: random.Random
    prefix: str
    count: int = 0

    def connection(self) -> tuple[list[bytes], list[Sent]]:
        """Return the bytes of some requests, in pieces, and the requests."""
        encoded, sent = b'', []
        for _ in range(self.rng.randint(1, 4)):
            data, request = self.request()
            encoded += data
            sent.append(request)
        return self._cut(encoded), sent

    def request(self) -> tuple[bytes, Sent]:
        """Return a request as bytes and as it is meant."""
        rng = self.rng
        names, weights = zip(*METHODS, strict=True)
        (method,) = rng.choices(names, weights)
        target = rng.choice(TARGETS)
        is_proper = rng.random() < 0.7
        framing = rng.choice(PROPER if is_proper else IMPROPER)
        body = b'' if framing == NO_BODY else self._body()
        coded = body
        if 'chunked' in framing:
            coded = self._chunks(body)
        request_id = self._next_id('sent')
        lines = [
            f'{method} {target} {rng.choice(VERSIONS)}',
            f'Host: {documents.HOST}',
            f'X-Request-Id: {request_id}',
            *(f for f in FIELDS if rng.random() < 0.03),
        ]
        if framing:
            lines.append(framing.format(size=len(coded)))
        end = rng.choice(ENDS_OF_LINES)
        head = end.join(lines) + end + end
        sent = Sent(request_id, target, body if is_proper else None)
        return head.encode('latin-1') + coded, sent

    def _body(self) -> bytes:
        rng = self.rng
        parts = [b'', b'x' * rng.randint(1, 3000), self._inner(), b'\r\n']
        return b''.join(rng.choices(parts, k=rng.randint(1, 3)))

    def _inner(self) -> bytes:
        """Return a request that nobody sends, to be part of a body."""
        name = self._next_id('inner')
        head = (
            f'GET /browse/inner HTTP/1.1\r\nHost: {documents.HOST}\r\n'
            f'X-Request-Id: {name}\r\n\r\n'
        )
        return head.encode()

    def _chunks(self, body: bytes) -> bytes:
        size = self.rng.randint(1, len(body) + 1)
        extension = self.rng.choice((b'', b'', b';a=b', b';a="\r\n'))
        chunks = [
            body[at : at + size] for at in range(0, len(body), size) if body
        ]
        coded = b''.join(
            b'%x%s\r\n%s\r\n' % (len(chunk), extension, chunk)
            for chunk in chunks
        )
        last = self.rng.choice(
            (b'0\r\n\r\n',) * 6 + (b'0\r\nA: b\r\n\r\n', b'')
        )
        return coded + last

    def _next_id(self, kind: str) -> str:
        self.count += 1
        return f'{kind}-{self.prefix}-{self.count}'

    def _cut(self, data: bytes) -> list[bytes]:
        count = self.rng.choice((0, 0, 1, 3, 8))
        places = sorted(self.rng.randint(0, len(data)) for _ in range(count))
        ends = [*places, len(data)]
        starts = [0, *places]
        return [data[a:b] for a, b in zip(starts, ends, strict=True) if a < b]
