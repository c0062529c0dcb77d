"""Upstreams that all send bytes without end at the same time."""

import asyncio
import contextlib

import attrs

PIECE_BYTES = 256 << 10
# A connection waits this long for the others before it sends.
GATHER_S = 1.5
TRICKLE_S = 0.05

_LINE = b'HTTP/1.1 200 OK\r\n'
_HEAD = _LINE + b'X-Request-Id: %s\r\nX-Server-Signature: s\r\n'
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


@attrs.frozen
class Stream:
    """Bytes that a faulty upstream sends.

    Attributes:
        name: Name of the way in.
        start: What it sends once; ``%s`` stands for the identifier of the
            request.
        repeated: What it sends without end.
    """

    name: str
    start: bytes
    repeated: bytes

    def begin(self, request_id: bytes) -> bytes:
        """Return the bytes that are sent first.

        Args:
            request_id: Identifier of the request.
        """
        return self.start.replace(b'%s', request_id)

    def piece(self) -> bytes:
        """Return about ``PIECE_BYTES`` of what is sent without end."""
        return self.repeated * (PIECE_BYTES // len(self.repeated))


STREAMS = (
    Stream('status_line', b'HTTP/1.1 200 ', b'x'),
    Stream('no_protocol', b'', b'\x00\xff'),
    Stream('one_field', _HEAD + b'X-A: ', b'x'),
    Stream('field_name', _HEAD, b'x'),
    Stream('short_fields', _HEAD, b'A:b\r\n'),
    Stream('long_fields', _HEAD, b'X-A: ' + b'x' * 60_000 + b'\r\n'),
    Stream('empty_lines', b'', b'\r\n'),
    Stream('interim', b'', b'HTTP/1.1 102 P\r\n\r\n'),
    Stream(
        'interim_fields',
        b'',
        b'HTTP/1.1 103 E\r\n' + b'A: b\r\n' * 100 + b'\r\n',
    ),
    Stream('switched', b'HTTP/1.1 101 S\r\nUpgrade: x\r\n\r\n', b'x'),
    Stream('answers', b'', _LINE + b'Content-Length: 0\r\n\r\n'),
    Stream(
        'answers_with_body',
        _HEAD + b'Content-Length: 0\r\n\r\n',
        _LINE + b'Content-Length: 1\r\n\r\nx',
    ),
    Stream('no_length', _HEAD + b'\r\n', b'x'),
    Stream('length', _HEAD + b'Content-Length: 99999999999\r\n\r\n', b'x'),
    Stream('large_chunks', _CHUNKED, b'10000\r\n' + b'x' * 65_536 + b'\r\n'),
    Stream('small_chunks', _CHUNKED, b'1\r\nx\r\n'),
    Stream('one_chunk', _CHUNKED + b'fffffffffff\r\n', b'x'),
    Stream('chunk_digits', _CHUNKED, b'0'),
    Stream('chunk_extension', _CHUNKED + b'4;', b'x'),
    Stream('short_trailers', _CHUNKED + b'1\r\nx\r\n0\r\n', b'A:b\r\n'),
    Stream('one_trailer', _CHUNKED + b'1\r\nx\r\n0\r\nX-A: ', b'x'),
)
# A whole answer, and nothing after it.
EARLY = Stream('early', _HEAD + b'Content-Length: 2\r\n\r\nok', b'')
BY_NAME = {stream.name: stream for stream in (*STREAMS, EARLY)}


@attrs.define(eq=False)
class Flood:
    """A server whose connections begin to send without end together.

    Attributes:
        streams: What the connections send, one after another.
        expected: Number of connections that wait for each other.
        trickles: Whether a few bytes are sent at a time, with pauses.
        address: ``ip:port`` once started.
        arrived: Number of requests so far.
        health_checks: Number of health requests among them.
        sending: Number of connections that are sending.
        sent_bytes: Bytes sent by all connections.
        all_arrived: Set when the expected number of requests has arrived.
        server: Listening server, ``None`` before the start.
    """

    streams: tuple[Stream, ...]
    expected: int
    trickles: bool = False
    address: str = ''
    arrived: int = 0
    health_checks: int = 0
    sending: int = 0
    sent_bytes: int = 0
    all_arrived: asyncio.Event = attrs.field(factory=asyncio.Event)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def is_over(self) -> bool:
        """Return whether the VM has closed all connections that sent."""
        return bool(self.arrived) and not self.sending

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            self.sending += 1
            try:
                await self._send(head, writer)
            finally:
                self.sending -= 1
        except (OSError, EOFError, asyncio.CancelledError):
            # The VM closed the connection, or the test ends.
            pass
        finally:
            writer.transport.abort()

    async def _send(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        stream = self.streams[self.arrived % len(self.streams)]
        self.arrived += 1
        self.health_checks += head.startswith(b'GET /health ')
        if self.arrived >= self.expected:
            self.all_arrived.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GATHER_S):
                await self.all_arrived.wait()
        writer.write(stream.begin(_request_id(head)))
        await writer.drain()
        piece = stream.repeated if self.trickles else stream.piece()
        while True:
            if writer.transport.is_closing():
                return
            writer.write(piece)
            await writer.drain()
            self.sent_bytes += len(piece)
            await asyncio.sleep(TRICKLE_S if self.trickles else 0)


def _request_id(head: bytes) -> bytes:
    for line in head.split(b'\r\n'):
        name, _, value = line.partition(b': ')
        if name.lower() == b'x-request-id':
            return value
    return b''
