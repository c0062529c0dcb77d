"""Connections to upstreams that bound what they receive."""

import asyncio
import socket
import typing
import weakref

import aiohttp
import aiohttp.client_proto
from aiohttp import http_exceptions

from bulrushcourse_entry import sockets

# The kernel closes a connection whose data stays unacknowledged for this long.
USER_TIMEOUT_MS = 3000
# Maximum size of a status line with all header fields.
MAX_HEAD_BYTES = 1 << 18
# Maximum size of a whole response as received: interim responses, head, chunk
# extensions, body and trailers.
MAX_RESPONSE_BYTES = 32 << 20
# Largest number of bytes that one read of a connection brings. aiohttp parses
# all of them at once, and a head takes up to 60 times its bytes.
MAX_RECEIVED_BYTES = 64 << 10
# Memory of a head, for each of its bytes: as received, and as decoded fields.
HEAD_COPIES = 3
# Memory of a header field beside its bytes.
FIELD_BYTES = 100
SWITCHING_PROTOCOLS = 101
OK = 200
# All other statuses are invalid (RFC 9110, section 15).
VALID_STATUSES = range(100, 600)


class ResponseTooLarge(aiohttp.ClientPayloadError):
    """An upstream sent more bytes than a response may have."""


class InvalidStatus(aiohttp.ClientPayloadError):
    """An upstream sent a status that HTTP does not have."""


class ResponseMemory(typing.Protocol):
    """Memory that one response may take of what all of them share.

    Attributes:
        size: Bytes taken.
    """

    size: int

    def try_grow(self, added: int) -> bool:
        """Take more memory and return whether there was any.

        Args:
            added: Bytes to add.
        """
        ...


class BoundedResponseHandler(aiohttp.client_proto.ResponseHandler):
    """Connection that bounds responses and detects truncated ones.

    It distinguishes the end of a response from a reset and from a close before
    the upstream had the whole request, which matters for responses whose body
    ends with the connection. A faulty upstream may send bytes without end, as
    a head, a body or on an idle connection; such a connection is closed. Of
    several responses to one request, only the first final one is kept.

    Attributes:
        is_idle: Whether no request is waiting for a response.
        response_bytes: Bytes received since the last request.
        owner: Residence of the upstream that it certainly leads to, empty if
            unknown.
        head_bytes: Bytes of the head as far as it was received.
        has_final: Whether the head of the final response was received.
        memory: Memory of the response, ``None`` if it is not counted.
        request: The request, ``None`` before the first one.
        body: Body of the final response, ``None`` before its head.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.is_idle = False
        self.response_bytes = 0
        self.owner = ''
        self.head_bytes = 0
        self.has_final = False
        self.memory: weakref.ref[ResponseMemory] | None = None
        self.request: weakref.ref[aiohttp.ClientRequest] | None = None
        self.body: aiohttp.StreamReader | None = None

    def set_response_params(self, **options: typing.Any) -> None:
        """Start to receive the response to a new request.

        Args:
            **options: Options of the parser.
        """
        self.response_bytes = 0
        self.head_bytes = 0
        self.has_final = False
        self.memory = None
        self.body = None
        super().set_response_params(**options)

    def count_memory(self, memory: ResponseMemory) -> None:
        """Count the bytes of the response from their receipt.

        Args:
            memory: Where they are counted; the connection does not keep it
                alive.
        """
        self.memory = weakref.ref(memory)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or close a connection that sends too many.

        Args:
            data: The bytes; aiohttp passes none when it resumes the parser.
        """
        if self.is_idle and data:
            # They belong to no request.
            if self.transport is not None:
                self.transport.abort()
            return
        self.response_bytes += len(data)
        if not self.has_final:
            self.head_bytes = self.response_bytes
        super().data_received(data)
        if self._exception is not None:
            self._fail_body(aiohttp.ClientPayloadError('malformed body'))
        if self.transport is None:
            return
        limit = MAX_RESPONSE_BYTES if self.has_final else MAX_HEAD_BYTES
        if self.response_bytes > limit:
            self._fail(ResponseTooLarge(f'over {limit} bytes'))
        elif not self._try_count():
            self._fail(ResponseTooLarge('no memory for the response'))

    def feed_data(
        self,
        data: tuple[typing.Any, aiohttp.StreamReader],
        size: int = 0,
    ) -> None:
        """Queue the head of a response unless it is of no use.

        Args:
            data: The head and the body.
            size: Not used.
        """
        head, body = data
        if self.has_final:
            # It belongs to no request.
            self.force_close()
            return
        if head.code not in VALID_STATUSES:
            self._fail(InvalidStatus(f'status {head.code:03}'))
            return
        self.has_final = head.code >= OK or head.code == SWITCHING_PROTOCOLS
        if self.has_final:
            self.body = body
            self.head_bytes = sum(
                len(name) + len(value) + FIELD_BYTES
                for name, value in head.raw_headers
            )
        elif self._buffer:
            # An interim response that says no more than the one before it,
            # which has not been read yet.
            return
        super().feed_data(data, size)

    def _try_count(self) -> bool:
        """Return whether there is memory for what was received so far."""
        memory = self.memory and self.memory()
        if memory is None:
            return True
        needed = self.response_bytes + HEAD_COPIES * self.head_bytes
        return memory.try_grow(max(0, needed - memory.size))

    def _fail(self, error: aiohttp.ClientPayloadError) -> None:
        self._fail_body(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def _fail_body(self, error: aiohttp.ClientPayloadError) -> None:
        """Fail a body that is being received, unless it has failed.

        aiohttp does not, if the end of a chunked body is malformed.
        """
        body = self.body
        if body is not None and not body.is_eof() and body.exception() is None:
            body.set_exception(error)

    def set_exception(
        self, exc: BaseException, *cause: BaseException | None
    ) -> None:
        """Fail the response that is being received.

        Args:
            exc: Why it failed.
            *cause: Cause of the failure.
        """
        if isinstance(exc, http_exceptions.HttpProcessingError):
            # aiohttp's message quotes all bytes of a read several times.
            exc = http_exceptions.HttpProcessingError(
                code=exc.code, message='malformed response'
            )
            cause = ()
        super().set_exception(exc, *cause)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set limits of reading and the timeout for unacknowledged data.

        Args:
            transport: The new connection.
        """
        super().connection_made(transport)
        transport.max_size = MAX_RECEIVED_BYTES
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response whose connection was reset before its end.

        For a response without a length, aiohttp takes the end of the
        connection for the end of the body, even after a reset.

        Args:
            exc: Why the connection was lost, ``None`` if it was closed.
        """
        if exc is not None:
            self._fail_body(aiohttp.ClientPayloadError('connection reset'))
        super().connection_lost(exc)

    def eof_received(self) -> None:
        """Fail a response that ends before the upstream has the request.

        A reset follows such an end, too late for the response.
        """
        if self._is_sending():
            self._fail_body(
                aiohttp.ClientPayloadError('closed before the request ended')
            )
        super().eof_received()

    def close(self) -> None:
        """Close the connection; a response that has not ended fails.

        aiohttp also closes it where a write failed since the upstream has
        reset it, before it learns of the reset.
        """
        self._fail_body(aiohttp.ClientPayloadError('connection closed'))
        super().close()

    def abort(self) -> None:
        """Reset the connection; a response that has not ended fails."""
        self._fail_body(aiohttp.ClientPayloadError('connection aborted'))
        super().abort()

    def _is_sending(self) -> bool:
        """Return whether the upstream may lack a part of the request."""
        request = self.request and self.request()
        writer = request._writer if request is not None else None
        if writer is not None and not writer.done():
            return True
        transport = self.transport
        if transport is None:
            return False
        if transport.get_write_buffer_size():
            return True
        source = transport.get_extra_info('socket')
        return source is not None and sockets.has_undelivered_bytes(source)
