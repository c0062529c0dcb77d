"""Sends requests to upstreams and reads their whole answers."""

import asyncio

import aiohttp
import attrs
import multidict
import yarl
from returns import result

from bulrushcourse_domain.placement import connections
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.edge import connecting
from bulrushcourse_entry.edge import knowledge as knowledges
from bulrushcourse_entry.platform import headers as platform_headers
from bulrushcourse_entry.upstreams import client as upstream_client
from bulrushcourse_entry.upstreams import sessions

Failure = upstream_client.Failure

# A connection takes a round trip and about a millisecond.
CONNECT_TIMEOUT_S = 0.5


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
        repeatable: Whether it may run twice.
    """

    method: str
    target: str
    headers: multidict.CIMultiDict[str]
    body: bytes
    request_id: str
    remaining_s: float
    repeatable: bool


@attrs.define(eq=False)
class Sender:
    """HTTP client of the upstreams.

    Attributes:
        known: What this process believes.
        pooled: Session that reuses connections.
        fresh: Session with a new connection for each request.
    """

    known: knowledges.Knowledge
    pooled: aiohttp.ClientSession
    fresh: aiohttp.ClientSession

    async def send(
        self, upstream: upstreams.Upstream, outbound: Outbound
    ) -> result.Result[Answer, Failure]:
        """Send a request and return its whole answer.

        Args:
            upstream: Where to send it.
            outbound: The request.
        """
        response = None
        known = self.known
        dispatch = connecting.Dispatch(upstream)
        may_reuse = known.idle.may_reuse(upstream.name, outbound.repeatable)
        session = self.pooled if may_reuse else self.fresh
        started = known.clock.monotonic()
        try:
            async with asyncio.timeout(outbound.remaining_s):
                response = await session.request(
                    outbound.method,
                    yarl.URL(
                        f'http://{upstream.address}{outbound.target}',
                        encoded=True,
                    ),
                    headers=outbound.headers,
                    data=outbound.body or None,
                    allow_redirects=False,
                    trace_request_ctx=dispatch,
                )
                body = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return result.Failure(Failure.NOT_SENT)
        except TimeoutError:
            _close(response)
            return result.Failure(Failure.DEADLINE)
        except (aiohttp.ClientError, OSError, ValueError):
            _close(response)
            if response is not None:
                return result.Failure(Failure.TRUNCATED)
            return result.Failure(self._judge_loss(dispatch, started))
        except asyncio.CancelledError:
            _close(response)
            raise
        return self._judge(upstream, outbound, response, body)

    def _judge_loss(
        self, dispatch: connecting.Dispatch, started: float
    ) -> Failure:
        upstream = dispatch.upstream
        took = self.known.clock.monotonic() - started
        forgotten = dispatch.reused and self.known.idle.record_reset(
            upstream.name, took, self.known.delays.to_upstream(upstream)
        )
        return Failure.STALE if forgotten else Failure.LOST

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
            self.known.load.record_load_report(upstream.name, report)
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
    traces = (connecting.observe_connections(known),)
    pooled, fresh = (
        sessions.open_session(
            connections.MOST_CONNECTIONS, fresh, CONNECT_TIMEOUT_S, traces
        )
        for fresh in (False, True)
    )
    return Sender(known, pooled, fresh)


def _close(response: aiohttp.ClientResponse | None) -> None:
    if response is not None:
        response.close()
