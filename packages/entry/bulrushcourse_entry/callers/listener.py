"""HTTP listener for callers."""

import asyncio
import typing

import aiohttp
import attrs
import multidict
from aiohttp import web
from returns import result

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import active_configuration
from bulrushcourse_domain.slots import requests
from bulrushcourse_entry import metrics as entry_metrics
from bulrushcourse_entry import request_framing
from bulrushcourse_entry.callers import attempts
from bulrushcourse_entry.callers import forwarding
from bulrushcourse_entry.callers import problems
from bulrushcourse_entry.callers import request_parsing
from bulrushcourse_entry.claims import listener as claims_listener

MAX_HEADER_BYTES = 16 << 10
SERVICE_PATH = '/v1/services/{service}/{path:.*}'


class Lookups(typing.Protocol):
    """Resolves client addresses to the entries that they are to use."""

    def answer(self, client: str) -> dict[str, typing.Any]:
        """Return the answer for a client address as a JSON object."""
        ...


@attrs.define(eq=False)
class CallersListener:
    """Serves look-ups and forwards requests.

    Attributes:
        clock: Source of time.
        configuration: Holder of the active configuration.
        forwarder: Runs calls on upstreams.
        lookups: Answers look-ups.
        metrics: Receiver of metrics.
        claims: Serves requests that run at most once.
        in_flight: Number of requests in flight.
    """

    clock: clocks.Clock
    configuration: active_configuration.ActiveConfiguration
    forwarder: forwarding.Forwarder
    lookups: Lookups
    metrics: entry_metrics.Metrics
    claims: claims_listener.ClaimsListener
    in_flight: int = 0

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(
            middlewares=(request_framing.refuse_unframed,),
            handler_args={
                'max_line_size': MAX_HEADER_BYTES,
                'max_field_size': MAX_HEADER_BYTES,
            },
        )
        application.router.add_get('/v1/entries', self.look_up)
        self.claims.add_routes(application)
        application.router.add_route('*', SERVICE_PATH, self.serve)
        return application

    async def look_up(self, request: web.Request) -> web.Response:
        """Answer a look-up of the entries that a client is to use.

        Args:
            request: Query ``client`` may give the client's IP address; the
                default is the address of the connection.
        """
        address = request.query.get('client', request.remote or '')
        answer = self.lookups.answer(address)
        headers = {'Cache-Control': f'max-age={answer["max_age_s"]}'}
        return web.json_response(answer, headers=headers)

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Forward a request to an upstream.

        Args:
            request: The caller's request.
        """
        self.in_flight += 1
        started = self.clock.monotonic()
        try:
            return await self._serve(request)
        finally:
            self.in_flight -= 1
            elapsed_ms = (self.clock.monotonic() - started) * 1000
            self._record_latency(request, elapsed_ms)

    def _record_latency(self, request: web.Request, elapsed_ms: float) -> None:
        configuration = self.configuration.current
        name = request.match_info['service']
        if configuration is None or name not in configuration.services:
            # A caller must not be able to create any number of metrics.
            return
        class_name = request.headers.get(
            request_parsing.CLASS_HEADER,
            configuration.services[name].request_class,
        )
        if class_name in configuration.request_classes:
            self.metrics.timing(f'latency.{name}.{class_name}', elapsed_ms)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        configuration = self.configuration.current
        if configuration is None:
            problem = problems.not_run(
                503, 'no-configuration', 'no configuration is active', 1
            )
            return claims_listener.refusal_problem(problem, request).response()
        parsed = await request_parsing.parse_call(
            request, configuration, self.clock
        )
        if isinstance(parsed, result.Failure):
            problem = claims_listener.refusal_problem(
                parsed.failure(), request
            )
            return problem.response()
        call = parsed.unwrap()
        if not claims_listener.is_repeatable(call):
            response = await self.claims.serve(call)
            outcome = response.headers[problems.OUTCOME_HEADER]
            self.metrics.incr(f'outcome.{outcome}')
            return response
        forwarded = await self.forwarder.forward(call)
        if isinstance(forwarded, result.Failure):
            problem = forwarded.failure()
            self.metrics.incr(f'outcome.{problem.outcome.value}')
            return problem.response()
        self.metrics.incr('outcome.done')
        return await relay(request, forwarded.unwrap())


async def relay(
    request: web.Request, exchange: attempts.Exchange
) -> web.StreamResponse:
    """Relay a response to the caller.

    If the instance truncates the response, or it does not end by the
    deadline, the caller's connection is aborted, so that a partial response
    is never taken for a complete one.

    Args:
        request: The caller's request.
        exchange: The response that is being received.
    """
    answer = exchange.answer
    outcome = requests.ReleaseOutcome.CANCELLED
    try:
        # A multidict, since headers such as Set-Cookie may be repeated.
        headers = multidict.CIMultiDict(
            (name, value)
            for name, value in answer.headers.items()
            if name.lower() not in request_parsing.HOP_BY_HOP_HEADERS
        )
        headers[problems.OUTCOME_HEADER] = problems.Outcome.DONE.value
        if answer.complete:
            outcome = requests.ReleaseOutcome.DONE
            return web.Response(
                status=answer.status, headers=headers, body=answer.prefix
            )
        response = web.StreamResponse(status=answer.status, headers=headers)
        response.content_length = answer.response.content_length
        async with asyncio.timeout(exchange.remaining_s()):
            await response.prepare(request)
            await response.write(answer.prefix)
            async for chunk in answer.chunks():
                await response.write(chunk)
            await response.write_eof()
        outcome = requests.ReleaseOutcome.DONE
        return response
    except aiohttp.ClientConnectionResetError:
        # The caller disconnected, so the outcome stays CANCELLED: a LOST one
        # would count as evidence of a crash-inducing request.
        raise
    except (aiohttp.ClientError, TimeoutError) as error:
        if not isinstance(error, TimeoutError):
            outcome = requests.ReleaseOutcome.LOST
        if request.transport is not None:
            request.transport.abort()
        raise
    finally:
        if outcome is not requests.ReleaseOutcome.DONE:
            answer.close()
        exchange.release_slot(outcome)
