"""HTTP client that sends requests to upstreams and reads whole responses."""

import asyncio
import typing

import aiohttp
import attrs
import multidict
from returns import result

from bulrushcourse_domain.attempts import broken
from bulrushcourse_domain.placement import connections
from bulrushcourse_domain.resources import memory as memories
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.callers import body_content
from bulrushcourse_entry.edge.upstreams import connection_tracing
from bulrushcourse_entry.edge.upstreams import identity_checks
from bulrushcourse_entry.edge.upstreams import urls
from bulrushcourse_entry.platform import headers as platform_headers
from bulrushcourse_entry.upstreams import client as instance_client
from bulrushcourse_entry.upstreams import sessions

Failure = instance_client.Failure

FAILURES: typing.Mapping[broken.Proof, Failure] = {
    broken.Proof.NOTHING_SENT: Failure.NOT_SENT,
    broken.Proof.PERHAPS_BEGUN: Failure.STALE,
    broken.Proof.BEGUN: Failure.LOST,
    broken.Proof.ANSWERED_IN_PART: Failure.TRUNCATED,
}

# A proof of an identity may end while a connection is opened, so that another
# one is needed.
MAX_PROOFS = 2
# Connecting takes one round trip and about a millisecond.
CONNECT_TIMEOUT_S = 0.5

UNPROVEN: result.Result[typing.Any, Failure] = result.Failure(Failure.UNPROVEN)


@attrs.frozen
class Answer:
    """A complete response of an upstream.

    Attributes:
        status: HTTP status.
        headers: Response headers.
        body: The whole body.
    """

    status: int
    headers: multidict.CIMultiDictProxy[str]
    body: body_content.Content


@attrs.frozen
class OutboundRequest:
    """A request as it is sent to an upstream.

    Attributes:
        method: HTTP method.
        target: Path and query as the caller sent them.
        headers: Headers to send.
        body: The whole body.
        request_id: Identifier that the response must carry.
        remaining_s: Time until the deadline in seconds.
        may_reuse: Whether the request may be sent on an idle connection, as
            far as it is concerned.
    """

    method: str
    target: str
    headers: multidict.CIMultiDict[str]
    body: body_content.Content
    request_id: str
    remaining_s: float
    may_reuse: bool


@attrs.define(eq=False)
class UpstreamClient:
    """HTTP client of the upstreams.

    Attributes:
        state: The process state.
        pooled: Session that reuses connections.
        fresh: Session with a new connection for each request.
        memory: Memory of the VM's traffic.
        identities: Proves that upstreams still have their addresses.
        on_banned: Called with an upstream that states that it is leaving or
            asks for a pause, and with the pause in seconds, 0 for leaving.
    """

    state: process_state.ProcessState
    pooled: aiohttp.ClientSession
    fresh: aiohttp.ClientSession
    memory: memories.MemoryBudget
    identities: identity_checks.IdentityChecks
    on_banned: typing.Callable[[upstreams.Upstream, float], None]

    async def send(
        self,
        trace: connection_tracing.AttemptTrace,
        outbound: OutboundRequest,
    ) -> result.Result[Answer, Failure]:
        """Send a request and return the complete response or the failure.

        Args:
            trace: The attempt, with the upstream to send it to.
            outbound: The request.
        """
        now = self.state.clock.monotonic
        deadline = now() + outbound.remaining_s
        for _ in range(MAX_PROOFS):
            outcome = await self._send(trace, outbound)
            if outcome != UNPROVEN:
                return outcome
            started = now()
            is_proven = await self.identities.prove(
                trace.upstream, deadline - started
            )
            trace.proof_s += now() - started
            if not is_proven:
                return UNPROVEN
            remaining_s = deadline - now()
            outbound = attrs.evolve(outbound, remaining_s=remaining_s)
            platform_headers.update_remaining(outbound.headers, remaining_s)
        return await self._send(trace, outbound)

    async def _send(
        self,
        trace: connection_tracing.AttemptTrace,
        outbound: OutboundRequest,
    ) -> result.Result[Answer, Failure]:
        response = None
        upstream = trace.upstream
        content = body_content.Content(
            memory=memories.BodyMemory(self.memory, memories.Use.RESPONSES)
        )
        trace.memory = content.memory
        state = self.state
        may_reuse = state.idle_connections.may_reuse(
            upstream.name, outbound.may_reuse
        )
        session = self.pooled if may_reuse else self.fresh
        started = state.clock.monotonic()
        try:
            async with asyncio.timeout(outbound.remaining_s):
                response = await session.request(
                    outbound.method,
                    urls.upstream_url(upstream.address, outbound.target),
                    headers=outbound.headers,
                    data=outbound.body.payload() or None,
                    allow_redirects=False,
                    trace_request_ctx=trace,
                )
                await _read_body(response, content)
        except sessions.ConnectionRejectedError:
            return UNPROVEN
        except sessions.RequestWithdrawnError:
            return result.Failure(Failure.OUTDATED)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            if _was_refused(error):
                identity_checks.record_refused(state, upstream)
            return result.Failure(Failure.NOT_SENT)
        except TimeoutError:
            _close(response)
            return result.Failure(Failure.DEADLINE)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            # The response keeps the error, whose traceback refers to it.
            error.__traceback__ = None
            _close(response)
            if response is not None:
                return result.Failure(Failure.TRUNCATED)
            return result.Failure(self._classify_break(trace, started))
        except asyncio.CancelledError:
            _close(response)
            raise
        return self._classify_response(
            trace,
            outbound,
            Answer(response.status, response.headers, content),
            response,
        )

    def _classify_break(
        self, trace: connection_tracing.AttemptTrace, started: float
    ) -> Failure:
        upstream = trace.upstream
        proof = broken.classify(
            broken.BrokenAttempt(
                trace.wrote,
                trace.reused,
                trace.answer_bytes,
                self.state.clock.monotonic() - started,
                self.state.round_trips.to_upstream(upstream),
            )
        )
        if broken.CONSEQUENCES[proof].suspects_connection:
            self.state.idle_connections.suspend_reuse(upstream.name)
        return FAILURES[proof]

    def _classify_response(
        self,
        trace: connection_tracing.AttemptTrace,
        outbound: OutboundRequest,
        answer: Answer,
        response: aiohttp.ClientResponse,
    ) -> result.Result[Answer, Failure]:
        upstream = trace.upstream
        headers = answer.headers
        trace.answered_by = platform_headers.decode_answerer(headers)
        status = answer.status
        if not platform_headers.is_genuine(
            status, headers, outbound.request_id, trace.reused
        ):
            response.close()
            return result.Failure(Failure.FOREIGN)
        if status == platform_headers.MISDIRECTED:
            if trace.answered_by != upstream.name:
                trace.record_displaced()
            return result.Failure(Failure.MISDIRECTED)
        if platform_headers.proves_identity(status, headers, upstream.name):
            trace.record_identified()
        identity_checks.record_condition(self.state, upstream, headers)
        self._record_bans(upstream, answer)
        if platform_headers.proves_not_executed(status, headers):
            return result.Failure(Failure.SHED)
        return result.Success(answer)

    def _record_bans(
        self, upstream: upstreams.Upstream, answer: Answer
    ) -> None:
        """Record that an upstream wants no requests, if it says so."""
        permissions = self.state.permissions
        incarnation = upstream.incarnation
        if platform_headers.states_leaving(answer.headers) and (
            permissions.record_leaving(incarnation)
        ):
            self.on_banned(upstream, 0.0)
        pause_s = platform_headers.decode_pause_s(
            answer.status, answer.headers
        )
        if pause_s:
            permissions.record_pause(incarnation, pause_s)
            self.on_banned(upstream, pause_s)


def open_client(
    state: process_state.ProcessState,
    on_banned: typing.Callable[[upstreams.Upstream, float], None],
    on_checked: typing.Callable[
        [upstreams.Upstream, identity_checks.Finding, str], None
    ],
) -> UpstreamClient:
    """Return a client; must be called inside a running event loop.

    Args:
        state: The process state.
        on_banned: See ``UpstreamClient``.
        on_checked: Called at the end of an identity check.
    """
    traces = (connection_tracing.trace_connections(state),)
    pooled, fresh = (
        sessions.open_session(
            connections.MAX_CONNECTIONS, fresh, CONNECT_TIMEOUT_S, traces
        )
        for fresh in (False, True)
    )
    identities = identity_checks.IdentityChecks(
        state, pooled, fresh, on_checked
    )
    return UpstreamClient(
        state, pooled, fresh, state.memory, identities, on_banned
    )


async def _read_body(
    response: aiohttp.ClientResponse, content: body_content.Content
) -> None:
    """Read the whole body, whose memory is counted as it is received."""
    async for chunk in response.content.iter_any():
        content.append(chunk)


def _was_refused(error: aiohttp.ClientError) -> bool:
    return isinstance(error, aiohttp.ClientConnectorError) and isinstance(
        error.os_error, ConnectionRefusedError
    )


def _close(response: aiohttp.ClientResponse | None) -> None:
    if response is not None:
        response.close()
