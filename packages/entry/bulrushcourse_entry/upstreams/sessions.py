"""HTTP sessions with upstreams."""

import asyncio
import functools
import socket
import typing

import aiohttp
import aiohttp.client_proto

# Data that is not acknowledged for so long ends a connection.
USER_TIMEOUT_MS = 3000
# Upstreams close idle connections after some seconds; one that is closed by
# this side first cannot break under a request.
IDLE_S = 5.0
# Longest line and field of a header that is read.
HEADER_BYTES = 1 << 16


class WholeAnswerHandler(aiohttp.client_proto.ResponseHandler):
    """Connection that tells a reset from the end of an unframed answer."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound how long unacknowledged data may hang.

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
        """Fail an answer that was reset before its end.

        aiohttp takes the end of the connection for the end of an answer
        without a length, even after a reset.

        Args:
            exc: Why the connection was lost, ``None`` for a proper end.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError('connection reset')
            )
        super().connection_lost(exc)


class CleanConnector(aiohttp.TCPConnector):
    """Connector that does not reuse a connection with unread bytes.

    An upstream may send a second answer after its answer. It would be taken
    for the answer to the next request on that connection.
    """

    def __init__(self, **options: typing.Any) -> None:
        super().__init__(**options)
        self._factory = functools.partial(
            WholeAnswerHandler, loop=asyncio.get_running_loop()
        )

    async def _get(self, key: typing.Any, traces: typing.Any) -> typing.Any:
        for kept in list(self._conns.get(key, ())):
            protocol = kept[0]
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
        connections: Connections that it may hold to one upstream.
        fresh: Whether each request gets a new connection. A used one that
            breaks cannot tell whether the request ran.
        connect_timeout_s: Longest time to open a connection.
        traces: Observers of its connections.
    """
    reuse = {'force_close': True} if fresh else {'keepalive_timeout': IDLE_S}
    session = aiohttp.ClientSession(
        connector=CleanConnector(limit=0, limit_per_host=connections, **reuse),
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
        max_line_size=HEADER_BYTES,
        max_field_size=HEADER_BYTES,
    )
    # aiohttp repeats idempotent methods on a broken connection. Such a
    # hidden retry would bypass the retry budget and the quarantine.
    session._retry_connection = False
    return session
