"""Crowds of clients that break the limits of the agreed protocol.

Each shape is a stream of bytes. A client sends it on a connection of its own,
reads nothing and keeps the connection open.
"""

import asyncio
import itertools
import socket
import struct
import typing

import attrs

from bulrushcourse_testkit.platform import documents

# Bytes that one client offers of a stream without end.
OFFERED_BYTES = 256 << 10
# Time that a crowd takes to connect and send; clients that the other side no
# longer reads from stop then.
ATTACK_S = 8.0
CONNECT_TIMEOUT_S = 4.0
# Time that the crowd stays connected afterwards.
HOLD_S = 1.0
_PIECE_BYTES = 16 << 10
_HEAD = f'Host: {documents.HOST}\r\nX-Request-Id: a\r\n'.encode()
_GET = b'GET /browse/x HTTP/1.1\r\n' + _HEAD
_POST = b'POST /order/x HTTP/1.1\r\n' + _HEAD
_CHUNKED = _POST + b'Transfer-Encoding: chunked\r\n\r\n'
_SIZED = _POST + b'Content-Length: 1000000\r\n\r\n'
_PIECE = b'x' * _PIECE_BYTES


def _lines(size: int) -> typing.Iterator[bytes]:
    """Yield header lines of one size in bytes."""
    for number in itertools.count():
        yield (b'X-%d: ' % number).ljust(size - 2, b'x') + b'\r\n'


def oversized_heads() -> typing.Iterator[bytes]:
    """Yield complete heads of 100,000 bytes."""
    head = _GET + b''.join(itertools.islice(_lines(2000), 50)) + b'\r\n'
    yield from itertools.repeat(head)


def one_long_line() -> typing.Iterator[bytes]:
    """Yield a request line without end."""
    yield b'GET /'
    yield from itertools.repeat(_PIECE)


def one_long_field() -> typing.Iterator[bytes]:
    """Yield a header line without end."""
    yield _GET + b'X: '
    yield from itertools.repeat(_PIECE)


def long_fields() -> typing.Iterator[bytes]:
    """Yield header lines of 2,000 bytes without end."""
    yield _GET
    yield from _lines(2000)


def short_fields() -> typing.Iterator[bytes]:
    """Yield header lines of 12 bytes without end."""
    yield _GET
    for number in itertools.count():
        yield b'X-%07d:\r\n' % (number % 10_000_000)


def slow_head() -> typing.Iterator[bytes]:
    """Yield a head byte by byte."""
    for byte in _GET:
        yield bytes([byte])


def empty_lines() -> typing.Iterator[bytes]:
    """Yield empty lines before a request."""
    yield from itertools.repeat(b'\r\n' * (_PIECE_BYTES // 2))


def chunk_extensions() -> typing.Iterator[bytes]:
    """Yield a chunk whose extension has no end."""
    yield _CHUNKED + b'4;'
    yield from itertools.repeat(_PIECE)


def trailers() -> typing.Iterator[bytes]:
    """Yield trailer lines without end."""
    yield _CHUNKED + b'1\r\nx\r\n0\r\n'
    yield from _lines(2000)


def chunk_digits() -> typing.Iterator[bytes]:
    """Yield a chunk size with hundreds of digits, and more after them."""
    yield _CHUNKED
    yield from itertools.repeat(b'0' * 500)


def pipelined() -> typing.Iterator[bytes]:
    """Yield complete requests without end."""
    yield from itertools.repeat((_GET + b'\r\n') * 20)


def stalled_body() -> typing.Iterator[bytes]:
    """Yield part of a body."""
    yield _SIZED
    yield from itertools.repeat(_PIECE, 8)


def silence() -> typing.Iterator[bytes]:
    """Yield nothing."""
    yield from ()


def truncated_report() -> typing.Iterator[bytes]:
    """Yield part of a report of the largest size to a peer listener."""
    yield struct.pack('>I', 4 << 20)
    yield from itertools.repeat(_PIECE)


def malformed_reports() -> typing.Iterator[bytes]:
    """Yield reports that are a list of empty maps to a peer listener."""
    content = b'\xdd' + struct.pack('>I', 60_000) + b'\x80' * 60_000
    yield from itertools.repeat(struct.pack('>I', len(content)) + content)


Shape = typing.Callable[[], typing.Iterator[bytes]]
HTTP_SHAPES: tuple[Shape, ...] = (
    oversized_heads,
    one_long_line,
    one_long_field,
    long_fields,
    short_fields,
    slow_head,
    empty_lines,
    chunk_extensions,
    trailers,
    chunk_digits,
    pipelined,
    stalled_body,
    silence,
)
PEER_SHAPES: tuple[Shape, ...] = (
    truncated_report,
    malformed_reports,
    one_long_line,
    silence,
)
# Seconds between two pieces; other streams are sent as fast as possible.
PAUSES: typing.Mapping[Shape, float] = {slow_head: 1.0}


@attrs.define(eq=False)
class Crowd:
    """Clients with one connection each.

    Attributes:
        address: ``ip:port`` that they connect to.
        shapes: What they send, by turns.
        size: Number of clients.
        sockets: Their connections.
    """

    address: str
    shapes: tuple[Shape, ...]
    size: int
    sockets: list[socket.socket] = attrs.field(factory=list)

    async def attack(self) -> None:
        """Connect and send; return when no client has more to send."""
        shapes = itertools.islice(itertools.cycle(self.shapes), self.size)
        clients = [asyncio.create_task(self._send(shape)) for shape in shapes]
        await asyncio.wait(clients, timeout=ATTACK_S)
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        await asyncio.sleep(HOLD_S)

    async def _send(self, shape: Shape) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(':')
        sock = socket.socket()
        sock.setblocking(False)
        self.sockets.append(sock)
        sent = 0
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(sock, (host, int(port)))
            for piece in shape():
                if sent >= OFFERED_BYTES:
                    break
                await loop.sock_sendall(sock, piece)
                sent += len(piece)
                await asyncio.sleep(PAUSES.get(shape, 0.0))
        except (OSError, TimeoutError):
            # The connection was refused or closed, which is allowed.
            pass

    def leave(self) -> None:
        """Close all connections."""
        while self.sockets:
            self.sockets.pop().close()
