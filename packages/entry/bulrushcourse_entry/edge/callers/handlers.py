"""HTTP handler for callers' requests."""

import asyncio
import functools
import traceback

import attrs
from aiohttp import web

from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.accounts import account_gate
from bulrushcourse_entry.edge.callers import arrived_request
from bulrushcourse_entry.edge.callers import bodies
from bulrushcourse_entry.edge.callers import body_content
from bulrushcourse_entry.edge.callers import caller_request
from bulrushcourse_entry.edge.callers import outcomes
from bulrushcourse_entry.edge.callers import request_executor
from bulrushcourse_entry.edge.callers import request_target
from bulrushcourse_entry.edge.callers import responses
from bulrushcourse_entry.edge.callers import target_lookup
from bulrushcourse_entry.edge.callers import unsent_requests
from bulrushcourse_entry.edge.upstreams import destinations
from bulrushcourse_entry.edge.upstreams import upstream_client
from bulrushcourse_entry.platform import headers as platform_headers

# Statuses of requests whose body was refused; for lack of memory, 503.
BODY_STATUSES = {
    bodies.TOO_LARGE: 413,
    bodies.MALFORMED: 400,
    bodies.TIMED_OUT: 408,
}
NO_CONFIGURATION = outcomes.Refusal('no-configuration', 0.1)


@attrs.define(eq=False)
class Handlers:
    """Parses callers' requests, executes them and encodes the responses.

    Attributes:
        state: The process state.
        destinations: Chooses services and regions.
        executor: Executes parsed requests.
        gate: Checks of client accounts.
        targets: Finds what the configuration has for requests.
        responder: Encodes the responses.
        unsent: Requests that were not sent yet.
        closing: Whether each connection is closed after its next response.
        open_requests: Number of requests being served.
    """

    state: process_state.ProcessState
    destinations: destinations.DestinationSelector
    executor: request_executor.RequestExecutor
    gate: account_gate.AccountGate
    targets: target_lookup.TargetLookup
    responder: responses.Responder
    unsent: unsent_requests.UnsentRequests
    closing: bool = False
    open_requests: int = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a caller's request and write its response.

        Args:
            request: The request.
        """
        pipelined = request.protocol.pipelined
        served = await pipelined.result(request)
        try:
            # What was received behind a request is answered before the end.
            if self.closing and not (
                pipelined.begun or request.protocol.has_received_more
            ):
                served.response.force_close()
            if served.answer is not None:
                await self._deliver(request, served)
        except asyncio.CancelledError:
            self._record_cut(request)
            raise
        finally:
            self.open_requests -= 1
        return served.response

    async def execute(self, request: web.BaseRequest) -> responses.Served:
        """Execute a caller's request without writing the response.

        Args:
            request: The request.
        """
        self.open_requests += 1
        try:
            return await self._serve(request)
        except asyncio.CancelledError as error:
            self.open_requests -= 1
            self._record_cut(request)
            # The task keeps the error, whose traceback leads back to the task
            # and keeps the body.
            error.__traceback__ = None
            raise
        except Exception as error:
            # The request may have run, so that a refusal would be wrong.
            self.responder.event_log.log_change(
                events.Event.REQUEST_ERROR,
                id=request.headers.get(platform_headers.REQUEST_ID, ''),
                error=traceback.format_exc(limit=-4),
                kind=type(error).__name__,
            )
            return responses.Served(web.Response(status=502))

    def _record_cut(self, request: web.BaseRequest) -> None:
        """Log a request that gets no answer during a planned stop."""
        stop = self.state.planned_stop
        if stop is None:
            return
        age_s = self.state.clock.monotonic() - stop.started
        self.responder.event_log.log_change(
            events.Event.REQUEST_CUT,
            id=request.headers.get(platform_headers.REQUEST_ID, ''),
            stop_ms=round(age_s * 1000),
            caller_left=request.protocol.caller_left,
        )

    def may_begin_early(self, request: web.BaseRequest) -> bool:
        """Return whether a request may run before earlier ones are answered.

        Args:
            request: The request, which follows others on its connection.
        """
        # The response in progress may have announced the end already.
        if self.closing or request.body_exists:
            return False
        route = self._match(request)
        return route is not None and route.idempotent

    def discard(self, served: responses.Served) -> None:
        """Discard the response to a caller that has gone.

        Args:
            served: The response.
        """
        self.open_requests -= 1

    def _match(self, request: web.BaseRequest) -> routes.Route | None:
        target = _target(request)
        return self.state.routes.match(target.host, target.path)

    async def _serve(self, request: web.BaseRequest) -> responses.Served:
        caller = platform_headers.decode_caller(request.headers)
        arrived = arrived_request.ArrivedRequest(
            self.state.clock.monotonic(),
            caller,
            functools.partial(self._match, request),
        )
        if not caller.request_id:
            return self.responder.reject(
                400, 'no-request-id', caller.request_id
            )
        if not self.state.routes.version:
            return self.responder.refuse(caller.request_id, NO_CONFIGURATION)
        found = await self.unsent.run(
            arrived,
            self.targets.find(
                arrived.match, caller.key, self._remaining_s(caller)
            ),
        )
        if not isinstance(found, target_lookup.Target):
            return self._answer_untargeted(found, caller, request)
        return await self._serve_target(request, arrived, found)

    async def _serve_target(
        self,
        request: web.BaseRequest,
        arrived: arrived_request.ArrivedRequest,
        found: target_lookup.Target,
    ) -> responses.Served:
        """Admit a request within its account's quota and execute it."""
        caller = arrived.caller
        deadline = arrived.deadline_within(found.route)
        self.state.upstreams_needed.set()
        admitted = await self.unsent.run(
            arrived, self.gate.admit(found.identity.account, deadline)
        )
        if isinstance(admitted, outcomes.Refusal):
            return self.responder.refuse(caller.request_id, admitted)
        parsed = self._parse(
            request, caller, found.route, arrived.arrived, deadline
        )
        parsed.identity = found.identity
        parsed.token = admitted
        return await self._execute(request, caller, parsed)

    def _answer_untargeted(
        self,
        verdict: target_lookup.Denial | outcomes.Refusal,
        caller: platform_headers.CallerHeaders,
        request: web.BaseRequest,
    ) -> responses.Served:
        if isinstance(verdict, outcomes.Refusal):
            return self.responder.refuse(caller.request_id, verdict)
        return self.responder.reject(
            verdict.status,
            verdict.reason,
            caller.request_id,
            request.headers.get('Host', ''),
            request.raw_path,
        )

    async def _execute(
        self,
        request: web.BaseRequest,
        caller: platform_headers.CallerHeaders,
        parsed: caller_request.CallerRequest,
    ) -> responses.Served:
        """Read the body of an admitted request and execute it."""
        outcome = await self.unsent.run(
            parsed, self._read_and_execute(request, parsed)
        )
        if isinstance(outcome, str):
            self.gate.settle(parsed, None)
            return self._refuse_body(caller, parsed.route, outcome)
        self.gate.settle(parsed, outcome)
        self.responder.record(parsed, outcome)
        return responses.Served(
            self.responder.respond(parsed, outcome),
            outcome if isinstance(outcome, upstream_client.Answer) else None,
        )

    async def _read_and_execute(
        self,
        request: web.BaseRequest,
        parsed: caller_request.CallerRequest,
    ) -> outcomes.Outcome | str:
        """Return a request's outcome, or why its body was refused."""
        body = bodies.Body(self.state.memory)
        reason = await self._read_body(request, body, parsed.deadline)
        if reason:
            return reason
        parsed.body = body.content
        return await self.executor.execute(parsed)

    async def _read_body(
        self, request: web.BaseRequest, body: bodies.Body, deadline: float
    ) -> str:
        limits = self.state.request_limits
        return await body.read(
            request,
            bodies.BodyLimits(
                limits.body_bytes,
                deadline - self.state.clock.monotonic(),
                limits.idle_timeout_s,
            ),
        )

    def _refuse_body(
        self,
        caller: platform_headers.CallerHeaders,
        route: routes.Route,
        reason: str,
    ) -> responses.Served:
        status = BODY_STATUSES.get(reason)
        if reason == bodies.TOO_LARGE and not self.state.may_deny:
            reason, status = bodies.UNKNOWN_LIMITS, None
        if status is None:
            served = self.responder.refuse(
                caller.request_id,
                outcomes.Refusal(reason, self._retry_after_s(caller, route)),
            )
        else:
            served = self.responder.reject(status, reason, caller.request_id)
        # The rest of the body is not a request.
        served.response.force_close()
        return served

    async def _deliver(
        self, request: web.BaseRequest, served: responses.Served
    ) -> None:
        """Write a response, whose memory is in use until the end."""
        try:
            await served.response.prepare(request)
            await served.response.write_eof()
        except OSError:
            # The caller has closed the connection.
            pass
        finally:
            # aiohttp keeps the response until the next one on its connection.
            served.response.body = None

    def _remaining_s(self, caller: platform_headers.CallerHeaders) -> float:
        if caller.remaining_s is None:
            return routes.DEFAULT_TIMEOUT_S
        return caller.remaining_s

    def _retry_after_s(
        self, caller: platform_headers.CallerHeaders, route: routes.Route
    ) -> float:
        remaining_s = caller.remaining_s
        return self.state.retry_after.sample(
            route.timeout_s if remaining_s is None else remaining_s
        )

    def _parse(
        self,
        request: web.BaseRequest,
        caller: platform_headers.CallerHeaders,
        route: routes.Route,
        arrived: float,
        deadline: float,
    ) -> caller_request.CallerRequest:
        state = self.state
        target = _target(request)
        service = self.destinations.choose_service(route)
        service_times = state.service_times.route_times(
            route.key, service, route.objective_s
        )
        state.demand.record_request(service, service_times.typical_s)
        object_key = ''
        if route.affinity and caller.object_key:
            object_key = f'{route.key}{caller.object_key}'
        return caller_request.CallerRequest(
            request_id=caller.request_id,
            method=request.method,
            target=target.path_and_query,
            headers=target.forwarded(request.headers),
            body=body_content.Content(),
            route=route,
            configuration_version=state.routes.version,
            configuration_age_s=state.configuration_age_s,
            service=service,
            region=self.destinations.choose_region(route, service, object_key),
            object_key=object_key,
            arrived=arrived,
            deadline=deadline,
        )


def _target(request: web.BaseRequest) -> request_target.RequestTarget:
    return request_target.parse(
        request.raw_path, request.headers.get(request_target.HOST, '')
    )
