"""HTTP client sessions for upstreams."""

import asyncio
import functools
import socket
import typing

import aiohttp
import aiohttp.client_proto

# The kernel closes a connection whose data stays unacknowledged for this long.
USER_TIMEOUT_MS = 3000
# Shorter than the idle timeout of upstreams: a connection that this side
# closes first cannot be reset while a request is being sent on it.
IDLE_TIMEOUT_S = 5.0
# Maximum size of a status line and of a header field.
MAX_HEADER_BYTES = 1 << 16


class ResetDetectingHandler(aiohttp.client_proto.ResponseHandler):
    """Connection that distinguishes a reset from the end of a response.

    It matters for responses whose body ends with the connection.
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the timeout for unacknowledged data.

        Args:
            transport: The new connection.
        """
        super().connection_made(transport)
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


class SafeReuseConnector(aiohttp.TCPConnector):
    """Connector that does not reuse a connection with unread bytes.

    A faulty upstream may send a second response after the first. It would be
    taken for the response to the next request on that connection.
    """

    def __init__(self, **options: typing.Any) -> None:
        super().__init__(**options)
        self._factory = functools.partial(
            ResetDetectingHandler, loop=asyncio.get_running_loop()
        )

    async def _get(self, key: typing.Any, traces: typing.Any) -> typing.Any:
        for connection in list(self._conns.get(key, ())):
            protocol = connection[0]
            if protocol.should_close and protocol.transport is not None:
                protocol.transport.abort()
        return await super()._get(key, traces)


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
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
    # By default aiohttp retries idempotent methods when a connection breaks,
    # which would bypass the retry budget and the quarantine.
    session._retry_connection = False
    return session
