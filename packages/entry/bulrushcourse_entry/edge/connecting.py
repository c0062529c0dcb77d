"""Connections to upstreams: opened, measured, kept and left."""

import asyncio
import functools
import socket
import typing

import aiohttp
import aiohttp.client_proto
import attrs

from bulrushcourse_domain.placement import connections
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.edge import knowledge as knowledges

# A connection takes a round trip and about a millisecond.
CONNECT_TIMEOUT_S = 0.5
# Data that is not acknowledged for so long ends a connection.
USER_TIMEOUT_MS = 3000


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


@attrs.define(eq=False)
class Dispatch:
    """One sending of a request, as the connections see it.

    Attributes:
        upstream: Where it is sent.
        reused: Whether it went on a connection that was used before.
    """

    upstream: upstreams.Upstream
    reused: bool = False


@attrs.define(eq=False)
class ConnectMeter:
    """Measures how long connections take to open.

    Attributes:
        known: What this process believes.
        opened: Connections opened so far.
    """

    known: knowledges.Knowledge
    opened: int = 0

    async def connecting(
        self, _session: typing.Any, context: typing.Any, _params: typing.Any
    ) -> None:
        """Note when a connection is opened.

        Args:
            _session: HTTP session.
            context: Context of the request.
            _params: Nothing.
        """
        context.started = self.known.clock.monotonic()

    async def reused(
        self, _session: typing.Any, context: typing.Any, _params: typing.Any
    ) -> None:
        """Note that a request is sent on a connection that was used before.

        Args:
            _session: HTTP session.
            context: Context of the request.
            _params: Nothing.
        """
        context.trace_request_ctx.reused = True

    async def connected(
        self, _session: typing.Any, context: typing.Any, _params: typing.Any
    ) -> None:
        """Measure how long a connection took to open.

        Args:
            _session: HTTP session.
            context: Context of the request.
            _params: Nothing.
        """
        self.opened += 1
        took = self.known.clock.monotonic() - context.started
        self.known.delays.note(context.trace_request_ctx.upstream, took)


def open_session(meter: ConnectMeter, idle_s: float) -> aiohttp.ClientSession:
    """Return an HTTP session; call it inside a running event loop.

    Args:
        meter: Measures its connections.
        idle_s: Longest idle time of a connection that is used again.
    """
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(meter.connecting)
    trace.on_connection_reuseconn.append(meter.reused)
    trace.on_connection_create_end.append(meter.connected)
    session = aiohttp.ClientSession(
        connector=CleanConnector(
            limit=0,
            limit_per_host=connections.MOST_CONNECTIONS,
            keepalive_timeout=idle_s,
        ),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=(
            'User-Agent',
            'Accept',
            'Accept-Encoding',
            'Content-Type',
        ),
        trace_configs=[trace],
        max_line_size=1 << 16,
        max_field_size=1 << 16,
    )
    # aiohttp repeats idempotent methods on a broken connection. Such a
    # hidden retry would bypass the retry budget.
    session._retry_connection = False
    return session
