"""Answers to callers: requests, look-ups and readiness."""

import traceback

import attrs
from aiohttp import web

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import bodies
from bulrushcourse_entry.edge import call as calls
from bulrushcourse_entry.edge import endings
from bulrushcourse_entry.edge import event_log as event_logs
from bulrushcourse_entry.edge import exchange as exchanges
from bulrushcourse_entry.edge import knowledge as knowledges
from bulrushcourse_entry.edge import meters
from bulrushcourse_entry.edge import sending
from bulrushcourse_entry.edge import steering
from bulrushcourse_entry.platform import headers as platform_headers
from bulrushcourse_entry.platform import lookups

# Callers ask again this often; well below the longest time that counts, so
# that a VM that leaves is soon forgotten.
LOOKUP_MAX_AGE_S = 2.0
REFUSED = 503
# Reasons of refusals that come before there is a call to log.
UNCALLED = frozenset({'stopping', 'no-configuration', bodies.NO_MEMORY})


@attrs.define(eq=False)
class Handlers:
    """Turns callers' requests into calls and endings into answers.

    Attributes:
        known: What this process believes.
        steering: Chooses their services and regions.
        exchange: Serves the calls.
        event_log: Log.
        meters: Counters and histograms.
        closing: Whether connections end with the next answer.
        refusing: Whether new requests are refused.
        open: Requests that are being served.
        memory: Memory that their bodies may take.
    """

    known: knowledges.Knowledge
    steering: steering.Steering
    exchange: exchanges.Exchange
    event_log: event_logs.EventLog
    meters: meters.Meters
    closing: bool = False
    refusing: bool = False
    open: int = 0
    memory: bodies.BodyMemory = attrs.field(factory=bodies.BodyMemory)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request of a caller.

        Args:
            request: The request.
        """
        self.open += 1
        try:
            response = await self._serve(request)
        except Exception as error:
            # The request may have run, so that the answer promises nothing.
            self.event_log.log_change(
                events.Event.REQUEST_ERROR,
                id=request.headers.get(platform_headers.REQUEST_ID, ''),
                error=traceback.format_exc(limit=-4),
                kind=type(error).__name__,
            )
            response = web.Response(status=502)
        finally:
            self.open -= 1
        if self.closing:
            response.force_close()
        return response

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived = self.known.clock.monotonic()
        caller = platform_headers.decode_caller(request.headers)
        if not caller.request_id:
            return self._reject(400, 'no-request-id', caller)
        if self.refusing or not self.known.routes.version:
            reason = 'stopping' if self.refusing else 'no-configuration'
            return self._refused(
                caller.request_id, endings.Refusal(reason, 0.1)
            )
        host = request.headers.get('Host', '').partition(':')[0].lower()
        target = request.raw_path
        route = self.known.routes.match(host, target.partition('?')[0])
        if route is None:
            return self._reject(404, 'no-route', caller)
        body = bodies.Body(self.memory)
        try:
            limit = self.known.routes.active.limits.body_bytes
            reason = await body.read(request, limit)
            if reason == bodies.TOO_LARGE:
                return self._reject(413, reason, caller)
            if reason:
                return self._refused(
                    caller.request_id,
                    endings.Refusal(reason, self._return_s(caller, route)),
                )
            call = self._call(request, caller, route, arrived, body.content)
            ending = await self.exchange.serve(call)
        finally:
            body.release()
        self._record(call, ending)
        return self._respond(call.request_id, ending)

    def _return_s(
        self, caller: platform_headers.CallerHeaders, route: routes.Route
    ) -> float:
        remaining = caller.remaining_s
        return self.known.retry_times.sample(
            route.timeout_s if remaining is None else remaining
        )

    def _call(
        self,
        request: web.BaseRequest,
        caller: platform_headers.CallerHeaders,
        route: routes.Route,
        arrived: float,
        body: bytes,
    ) -> calls.Call:
        known = self.known
        service = self.steering.choose_service(route)
        times = known.times.route_times(route.key, service, route.objective_s)
        known.demand.record_request(service, times.typical_s)
        allowed = route.timeout_s
        if caller.remaining_s is not None:
            allowed = min(
                allowed, caller.remaining_s - exchanges.DEADLINE_MARGIN_S
            )
        object_key = ''
        if route.affinity and caller.object_key:
            object_key = f'{route.key}{caller.object_key}'
        return calls.Call(
            request_id=caller.request_id,
            method=request.method,
            target=request.raw_path,
            headers=request.headers,
            body=body,
            route=route,
            configuration_version=known.routes.version,
            service=service,
            region=self.steering.choose_region(route, service, object_key),
            object_key=object_key,
            arrived=arrived,
            deadline=arrived + allowed,
        )

    def _respond(
        self, request_id: str, ending: endings.Ending
    ) -> web.Response:
        if isinstance(ending, endings.Refusal):
            return self._refused(request_id, ending)
        if isinstance(ending, endings.Lost):
            return web.Response(status=504 if ending.timed_out else 502)
        response = web.Response(
            status=ending.status,
            headers=platform_headers.encode_returned(ending.headers),
            body=ending.body,
        )
        return response

    def _refused(
        self, request_id: str, refusal: endings.Refusal
    ) -> web.Response:
        self.meters.refused(refusal.reason)
        if refusal.reason in UNCALLED:
            self.event_log.log_decision(
                False,
                id=request_id,
                outcome='refused',
                reason=refusal.reason,
                configuration=self.known.routes.version,
            )
        return web.Response(
            status=REFUSED,
            headers=platform_headers.encode_retry_after(refusal.retry_after_s),
        )

    def _reject(
        self,
        status: int,
        reason: str,
        caller: platform_headers.CallerHeaders,
    ) -> web.Response:
        self.event_log.log_decision(
            False,
            id=caller.request_id,
            outcome='rejected',
            reason=reason,
            status=status,
            configuration=self.known.routes.version,
        )
        return web.Response(status=status)

    def _record(self, call: calls.Call, ending: endings.Ending) -> None:
        known = self.known
        took = known.clock.monotonic() - call.arrived
        served = isinstance(ending, sending.Answer)
        self.meters.ended(call.service, ending, took)
        self.event_log.log_decision(
            served and ending.status < 500,
            id=call.request_id,
            outcome=type(ending).__name__.lower(),
            reason=getattr(ending, 'reason', ''),
            status=getattr(ending, 'status', None),
            took_ms=round(took * 1000),
            allowed_ms=round((call.deadline - call.arrived) * 1000),
            route=call.route.key,
            service=call.service,
            region=call.region,
            object=call.object_key,
            steps=call.steps,
            configuration=call.configuration_version,
            upstreams_version=known.upstreams.version,
            upstreams_age_ms=round(
                (known.clock.monotonic() - known.upstreams.read_at) * 1000
            )
            if known.upstreams.version
            else None,
        )

    async def look_up(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer which VMs a caller shall use.

        Args:
            request: The question.
        """
        question = lookups.decode(request.path, request.query)
        if question is None:
            return web.Response(status=404)
        addresses = self.known.answers.addresses(
            question.region, self.known.routes.home_regions(question.host)
        )
        if not addresses:
            return web.Response(status=REFUSED)
        max_age_s = min(
            LOOKUP_MAX_AGE_S, self.known.settings.bounds.answer_max_age_s
        )
        return web.Response(
            body=lookups.encode(addresses, max_age_s),
            content_type='application/json',
        )

    async def ready(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer whether this VM serves callers.

        Args:
            request: The question.
        """
        ready = self.known.fleet.phase is fleet.Phase.READY
        return web.Response(status=200 if ready else REFUSED)
