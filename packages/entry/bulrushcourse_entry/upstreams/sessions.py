"""HTTP client sessions for upstreams."""

import asyncio
import collections
import functools
import socket
import typing
import weakref

import aiohttp
import aiohttp.client_proto
from aiohttp import http_exceptions

# The kernel closes a connection whose data stays unacknowledged for this long.
USER_TIMEOUT_MS = 3000
# Shorter than the idle timeout of upstreams: a connection that this side
# closes first cannot be reset while a request is being sent on it.
IDLE_TIMEOUT_S = 5.0
# Maximum size of a status line and of a header field.
MAX_HEADER_BYTES = 1 << 16
# Maximum size of a status line with all header fields.
MAX_HEAD_BYTES = 1 << 18
# Maximum size of a whole response as received: interim responses, head, chunk
# extensions, body and trailers.
MAX_RESPONSE_BYTES = 32 << 20
# Largest number of bytes that one read of a connection brings. aiohttp parses
# all of them at once, and a head takes up to 60 times its bytes.
MAX_RECEIVED_BYTES = 64 << 10
# Bytes of a body that a connection holds unread; twice as many pause it.
UNREAD_BYTES = 64 << 10
# Memory of a head, for each of its bytes: as received, and as decoded fields.
HEAD_COPIES = 3
# Memory of a header field beside its bytes.
FIELD_BYTES = 100
SWITCHING_PROTOCOLS = 101
OK = 200


class ResponseTooLarge(aiohttp.ClientPayloadError):
    """An upstream sent more bytes than a response may have."""


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

    It distinguishes a reset from the end of a response, which matters for
    responses whose body ends with the connection. A faulty upstream may send
    bytes without end, as a head, a body or on an idle connection; such a
    connection is closed. Of several responses to one request, only the first
    final one is kept.

    Attributes:
        is_idle: Whether no request is waiting for a response.
        response_bytes: Bytes received since the last request.
        owner: Residence of the upstream that it certainly leads to, empty if
            unknown.
        head_bytes: Bytes of the head as far as it was received.
        has_final: Whether the head of the final response was received.
        memory: Memory of the response, ``None`` if it is not counted.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.is_idle = False
        self.response_bytes = 0
        self.owner = ''
        self.head_bytes = 0
        self.has_final = False
        self.memory: weakref.ref[ResponseMemory] | None = None

    def set_response_params(self, **options: typing.Any) -> None:
        """Start to receive the response to a new request.

        Args:
            **options: Options of the parser.
        """
        self.response_bytes = 0
        self.head_bytes = 0
        self.has_final = False
        self.memory = None
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
        head, _ = data
        if self.has_final:
            # It belongs to no request.
            self.force_close()
            return
        self.has_final = head.code >= OK or head.code == SWITCHING_PROTOCOLS
        if self.has_final:
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

    def _fail(self, error: ResponseTooLarge) -> None:
        self._fail_body(error)
        self.set_exception(error)
        self.transport.abort()

    def _fail_body(self, error: aiohttp.ClientPayloadError) -> None:
        """Fail a body that is being received, unless it has failed.

        aiohttp does not, if the end of a chunked body is malformed.
        """
        payload = self._payload
        if (
            payload is not None
            and not payload.is_eof()
            and payload.exception() is None
        ):
            payload.set_exception(error)

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
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError('connection reset')
            )
        super().connection_lost(exc)


class ConnectionRejectedError(aiohttp.ClientConnectionError):
    """No connection was acceptable, and nothing was sent on any."""


class RequestWithdrawnError(aiohttp.ClientConnectionError):
    """A request must no longer be sent, and nothing was sent."""


class ConnectionUser(typing.Protocol):
    """Request that needs a connection, the context of a trace.

    Attributes:
        connection: The connection that it uses, ``None`` before it has one.
    """

    connection: BoundedResponseHandler | None

    def may_reuse(self, connection: BoundedResponseHandler) -> bool:
        """Return whether the request may be sent on an idle connection."""
        ...

    def may_connect(self) -> bool:
        """Return whether opening a connection now can be of use."""
        ...

    def may_send(self) -> bool:
        """Return whether the request may still be sent to its upstream."""
        ...

    def accept_new(self, connection: BoundedResponseHandler) -> bool:
        """Return whether it may be sent on a connection opened just now."""
        ...


class SafeReuseConnector(aiohttp.TCPConnector):
    """Connector whose users decide on which connections they are sent.

    It does not reuse a connection with unread bytes. A faulty upstream may
    send a second response after the first, which would be taken for the
    response to the next request on that connection.
    """

    def __init__(self, **options: typing.Any) -> None:
        super().__init__(**options)
        self._factory = functools.partial(
            BoundedResponseHandler, loop=asyncio.get_running_loop()
        )

    async def connect(
        self, req: typing.Any, traces: typing.Any, **options: typing.Any
    ) -> typing.Any:
        """Return a connection that the users of the traces accept.

        Args:
            req: The request that is sent on it.
            traces: Traces of the request, whose contexts are
                ``ConnectionUser``.
            **options: Further options of the base class.

        Raises:
            ConnectionRejectedError: If they accept none.
            RequestWithdrawnError: If the request must no longer be sent.
        """
        connection = await super().connect(req, traces, **options)
        protocol = connection.protocol
        was_idle, protocol.is_idle = protocol.is_idle, False
        if not all(user.may_send() for user in _users(traces)):
            connection.close()
            raise RequestWithdrawnError('the upstream is no longer allowed')
        for user in _users(traces):
            if not was_idle and not user.accept_new(protocol):
                connection.close()
                raise ConnectionRejectedError('not to the expected upstream')
            user.connection = protocol
        return connection

    async def _create_connection(
        self, req: typing.Any, traces: typing.Any, *args: typing.Any
    ) -> typing.Any:
        if not all(user.may_connect() for user in _users(traces)):
            raise ConnectionRejectedError('the address is not proven')
        return await super()._create_connection(req, traces, *args)

    async def _get(self, key: typing.Any, traces: typing.Any) -> typing.Any:
        kept = self._conns.pop(key, ())
        usable: collections.deque[typing.Any] = collections.deque()
        others: collections.deque[typing.Any] = collections.deque()
        users = _users(traces)
        for idle in kept:
            protocol = idle[0]
            if protocol.should_close and protocol.transport is not None:
                protocol.transport.abort()
            may_reuse = all(user.may_reuse(protocol) for user in users)
            (usable if may_reuse else others).append(idle)
        if usable:
            self._conns[key] = usable
        try:
            return await super()._get(key, traces)
        finally:
            if others:
                self._conns[key].extendleft(reversed(others))

    def _release(
        self,
        key: typing.Any,
        protocol: typing.Any,
        *,
        should_close: bool = False,
    ) -> None:
        protocol.is_idle = True
        super()._release(key, protocol, should_close=should_close)


def _users(traces: typing.Any) -> list[ConnectionUser]:
    return [trace._trace_config_ctx.trace_request_ctx for trace in traces]


def open_session(
    connections: int,
    fresh: bool,
    connect_timeout_s: float,
    traces: typing.Sequence[aiohttp.TraceConfig] = (),
) -> aiohttp.ClientSession:
    """Return an HTTP session; call it inside a running event loop.

    Args:
        connections: Maximum number of connections to one upstream.
        fresh: Whether each request gets a new connection. If a reused one
            breaks, it is unknown whether the request ran.
        connect_timeout_s: Timeout for opening a connection.
        traces: Observers of its connections.
    """
    reuse = (
        {'force_close': True}
        if fresh
        else {'keepalive_timeout': IDLE_TIMEOUT_S}
    )
    session = aiohttp.ClientSession(
        connector=SafeReuseConnector(
            limit=0, limit_per_host=connections, **reuse
        ),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout_s
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=(
            'User-Agent',
            'Accept',
            'Accept-Encoding',
            'Content-Type',
        ),
        trace_configs=list(traces),
        read_bufsize=UNREAD_BYTES,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
    # By default aiohttp retries idempotent methods when a connection breaks,
    # which would bypass the retry budget and the quarantine.
    session._retry_connection = False
    return session
