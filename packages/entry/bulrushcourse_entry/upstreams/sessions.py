"""HTTP client sessions for upstreams."""

import asyncio
import collections
import functools
import typing
import weakref

import aiohttp

from bulrushcourse_entry.upstreams import bounded_responses

# Shorter than the idle timeout of upstreams: a connection that this side
# closes first cannot be reset while a request is being sent on it.
IDLE_TIMEOUT_S = 5.0
# Maximum size of a status line and of a header field.
MAX_HEADER_BYTES = 1 << 16
# Bytes of a body that a connection holds unread; twice as many pause it.
UNREAD_BYTES = 64 << 10


class ConnectionRejectedError(aiohttp.ClientConnectionError):
    """No connection was acceptable, and nothing was sent on any."""


class RequestWithdrawnError(aiohttp.ClientConnectionError):
    """A request must no longer be sent, and nothing was sent."""


class ConnectionUser(typing.Protocol):
    """Request that needs a connection, the context of a trace.

    Attributes:
        connection: The connection that it uses, ``None`` before it has one.
    """

    connection: bounded_responses.BoundedResponseHandler | None

    def may_reuse(
        self, connection: bounded_responses.BoundedResponseHandler
    ) -> bool:
        """Return whether the request may be sent on an idle connection."""
        ...

    def may_connect(self) -> bool:
        """Return whether opening a connection now can be of use."""
        ...

    def may_send(self) -> bool:
        """Return whether the request may still be sent to its upstream."""
        ...

    def accept_new(
        self, connection: bounded_responses.BoundedResponseHandler
    ) -> bool:
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
            bounded_responses.BoundedResponseHandler,
            loop=asyncio.get_running_loop(),
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
        protocol.request = weakref.ref(req)
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
