"""Sends requests to upstreams and reads their whole answers."""

import asyncio
import functools
import socket
import typing

import aiohttp
import aiohttp.client_proto
import attrs
import multidict
import yarl
from returns import result

from bulrushcourse_domain.placement import connections
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.edge import knowledge as knowledges
from bulrushcourse_entry.platform import headers as platform_headers
from bulrushcourse_entry.upstreams import client as upstream_client

Failure = upstream_client.Failure

# A connection takes a round trip and about a millisecond.
CONNECT_TIMEOUT_S = 0.5
# Upstreams close idle connections after some seconds; one that is closed by
# this side first cannot break under a request.
IDLE_S = 5.0
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


@attrs.frozen
class Answer:
    """A whole answer of an upstream.

    Attributes:
        status: HTTP status.
        headers: Its headers.
        body: Its whole body.
    """

    status: int
    headers: multidict.CIMultiDictProxy[str]
    body: bytes


@attrs.frozen
class Outbound:
    """A request as it is sent.

    Attributes:
        method: HTTP method.
        target: Path and query as the caller sent them.
        headers: Headers to send.
        body: The whole body.
        request_id: Identifier that the answer must bear.
        remaining_s: Time until an answer is of no use.
    """

    method: str
    target: str
    headers: multidict.CIMultiDict[str]
    body: bytes
    request_id: str
    remaining_s: float


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
        self.known.delays.note(context.trace_request_ctx, took)


@attrs.define(eq=False)
class Sender:
    """HTTP client of the upstreams.

    Attributes:
        session: HTTP session.
        known: What this process believes.
        meter: Measures its connections.
    """

    session: aiohttp.ClientSession
    known: knowledges.Knowledge
    meter: ConnectMeter

    async def send(
        self, upstream: upstreams.Upstream, outbound: Outbound
    ) -> result.Result[Answer, Failure]:
        """Send a request and return its whole answer.

        Args:
            upstream: Where to send it.
            outbound: The request.
        """
        response = None
        try:
            async with asyncio.timeout(outbound.remaining_s):
                response = await self.session.request(
                    outbound.method,
                    yarl.URL(
                        f'http://{upstream.address}{outbound.target}',
                        encoded=True,
                    ),
                    headers=outbound.headers,
                    data=outbound.body or None,
                    allow_redirects=False,
                    trace_request_ctx=upstream,
                )
                body = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return result.Failure(Failure.NOT_SENT)
        except TimeoutError:
            _close(response)
            return result.Failure(Failure.DEADLINE)
        except (aiohttp.ClientError, OSError, ValueError):
            _close(response)
            lost = Failure.LOST if response is None else Failure.TRUNCATED
            return result.Failure(lost)
        except asyncio.CancelledError:
            _close(response)
            raise
        return self._judge(upstream, outbound, response, body)

    def _judge(
        self,
        upstream: upstreams.Upstream,
        outbound: Outbound,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> result.Result[Answer, Failure]:
        headers = response.headers
        report = platform_headers.decode_load(headers)
        if report is not None:
            self.known.load.hear_upstream(upstream.name, report)
        warmup_s = platform_headers.decode_warmup_s(headers)
        if warmup_s:
            self.known.upstreams.mark_cold(
                upstream.name, self.known.clock.monotonic() + warmup_s
            )
        status = response.status
        if not platform_headers.is_genuine(
            status, headers, outbound.request_id
        ):
            response.close()
            return result.Failure(Failure.FOREIGN)
        if status == platform_headers.MISDIRECTED:
            return result.Failure(Failure.MISDIRECTED)
        if platform_headers.says_not_run(status, headers):
            return result.Failure(Failure.SHED)
        return result.Success(Answer(status, headers, body))


def open_sender(known: knowledges.Knowledge) -> Sender:
    """Return a sender; call it inside a running event loop.

    Args:
        known: What this process believes.
    """
    meter = ConnectMeter(known)
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(meter.connecting)
    trace.on_connection_create_end.append(meter.connected)
    session = aiohttp.ClientSession(
        connector=CleanConnector(
            limit=0,
            limit_per_host=connections.MOST_CONNECTIONS,
            keepalive_timeout=IDLE_S,
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
    return Sender(session, known, meter)


def _close(response: aiohttp.ClientResponse | None) -> None:
    if response is not None:
        response.close()
