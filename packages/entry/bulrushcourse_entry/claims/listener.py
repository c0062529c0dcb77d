"""HTTP handlers for keys, outcomes and at-most-once requests."""

import typing

import attrs
from aiohttp import web

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.claims import claim as claims
from bulrushcourse_domain.claims import issued_keys
from bulrushcourse_domain.claims import outcomes
from bulrushcourse_domain.configuration import active_configuration
from bulrushcourse_entry.callers import problems
from bulrushcourse_entry.callers import request_parsing
from bulrushcourse_entry.claims import dispatch
from bulrushcourse_entry.claims import gateway as claim_gateway

MAX_KEYS_PER_CALL = 100
OUTCOME_TIMEOUT_S = 2.0
RETRY_AFTER_S = 1

# HTTP status and Retry-After delay by the reason of an unknown outcome.
UNKNOWN_STATUSES = {
    'invalid': (400, 0),
    'other-request': (422, 0),
    'other-service': (422, 0),
    'body-too-large': (413, 0),
    'forgotten': (410, 0),
    'overloaded': (503, RETRY_AFTER_S),
    'under-way': (504, RETRY_AFTER_S),
    'store': (503, RETRY_AFTER_S),
    'issuer-unreachable': (503, RETRY_AFTER_S),
}
DEFAULT_UNKNOWN_STATUS = (502, RETRY_AFTER_S)


@attrs.define(eq=False)
class ClaimsListener:
    """Serves the part of the callers' API that concerns idempotency keys.

    Attributes:
        clock: Source of time.
        configuration: Holder of the active configuration.
        gateway: Runs requests at most once.
        accepting: Returns whether new keys may be issued.
    """

    clock: clocks.Clock
    configuration: active_configuration.ActiveConfiguration
    gateway: claim_gateway.Gateway
    accepting: typing.Callable[[], bool]

    def add_routes(self, application: web.Application) -> None:
        """Add the routes of keys and outcomes.

        Args:
            application: The callers' application; its catch-all route must be
                added later.
        """
        prefix = '/v1/services/{service}'
        router = application.router
        router.add_post(f'{prefix}/keys', self.issue)
        router.add_get(f'{prefix}/outcomes/{{key}}', self.show_outcome)

    async def issue(self, request: web.Request) -> web.Response:
        """Issue keys that are bound to this process.

        Args:
            request: Query ``count`` gives the number of keys.
        """
        service = request.match_info['service']
        text = request.query.get('count', '1')
        if not self._has_service(service):
            return _problem(404, 'no-service', 'no such service')
        if not text.isdecimal() or not 1 <= int(text) <= MAX_KEYS_PER_CALL:
            detail = f'count must be between 1 and {MAX_KEYS_PER_CALL}'
            return _problem(400, 'count', detail)
        if not self.accepting():
            return _problem(503, 'leaving', 'entry is shutting down', 1)
        new_keys = self.gateway.issued.keys.issue(service, int(text))
        if not new_keys:
            detail = 'the maximum number of issued keys is reached'
            return _problem(503, 'too-many-keys', detail, RETRY_AFTER_S)
        body = {'keys': new_keys, 'lifetime_s': issued_keys.KEY_LIFETIME_S}
        return web.json_response(body, status=201)

    async def show_outcome(self, request: web.Request) -> web.Response:
        """Return the known outcome of a key, without running its request.

        Args:
            request: Path with service and key.
        """
        service = request.match_info['service']
        if not self._has_service(service):
            return _problem(404, 'no-service', 'no such service')
        keyed_request = dispatch.KeyedRequest(
            service,
            request.match_info['key'],
            '',
            self.clock.monotonic() + OUTCOME_TIMEOUT_S,
        )
        reply = await self.gateway.find_outcome(keyed_request)
        if reply.outcome is outcomes.Outcome.DONE:
            return render_reply(reply)
        body = {'outcome': reply.outcome.value, 'reason': reply.reason}
        headers = {problems.OUTCOME_HEADER: reply.outcome.value}
        return web.json_response(body, headers=headers)

    async def serve(self, call: request_parsing.Call) -> web.Response:
        """Run a request with a key and return the response to its caller.

        Args:
            call: The request.
        """
        try:
            call = await buffer_body(call)
        except request_parsing.BodyTooLarge:
            return _problem(413, 'body-too-large', 'request body is too large')
        digest = claims.request_digest(call.method, call.path, [call.body])
        keyed_request = dispatch.KeyedRequest(
            call.service.name, call.key, digest, call.deadline, call
        )
        return render_reply(await self.gateway.serve(keyed_request))

    def _has_service(self, service: str) -> bool:
        current = self.configuration.current
        return current is not None and service in current.services


def is_repeatable(call: request_parsing.Call) -> bool:
    """Return whether a request may run more than once and needs no claim.

    Args:
        call: The request.
    """
    return call.service.idempotent or not call.key


def refusal_problem(
    problem: problems.Problem, request: web.Request
) -> problems.Problem:
    """Return a refusal with outcome ``unknown`` if the request has a key.

    A request that is refused before its key was checked did not run, but an
    earlier request with the same key may have.

    Args:
        problem: Why the request is refused.
        request: The HTTP request.
    """
    key = request.headers.get(request_parsing.KEY_HEADER, '')
    if not key or len(key) > request_parsing.MAX_KEY_LENGTH:
        # Without a key there is no earlier request to consider, and entries
        # reject keys that are too long.
        return problem
    return attrs.evolve(problem, outcome=problems.Outcome.UNKNOWN)


async def buffer_body(call: request_parsing.Call) -> request_parsing.Call:
    """Return a call with its whole body in memory.

    The run must not depend on the caller's connection.

    Args:
        call: The request.

    Raises:
        BodyTooLarge: If the body exceeds the service's limit.
    """
    if call.body_stream is None:
        return call
    body = bytearray(call.body)
    async for chunk in call.body_stream:
        body += chunk
    headers = {
        name: value
        for name, value in call.headers.items()
        if name.lower() != 'content-length'
    }
    return attrs.evolve(
        call, body=bytes(body), body_stream=None, headers=headers
    )


def render_reply(reply: outcomes.Reply) -> web.Response:
    """Return the HTTP response that reports an outcome.

    Args:
        reply: The reply to the caller.
    """
    outcome = problems.Outcome(reply.outcome.value)
    if reply.answer is not None:
        response = web.Response(
            status=reply.answer.status, body=reply.answer.body
        )
        # Drops aiohttp's default, which the instance did not send.
        response.headers.popall('Content-Type', None)
        for name, value in reply.answer.headers:
            response.headers.add(name, value)
        response.headers[problems.OUTCOME_HEADER] = outcome.value
        return response
    if outcome is problems.Outcome.NOT_RUN:
        status, retry_after_s = 503, RETRY_AFTER_S
    else:
        status, retry_after_s = UNKNOWN_STATUSES.get(
            reply.reason, DEFAULT_UNKNOWN_STATUS
        )
    return problems.Problem(
        status,
        reply.reason,
        f'outcome {outcome.value}: {reply.reason}',
        outcome,
        retry_after_s,
    ).response()


def _problem(
    status: int, code: str, detail: str, retry_after_s: int = 0
) -> web.Response:
    return problems.Problem(
        status, code, detail, problems.Outcome.UNKNOWN, retry_after_s
    ).response()
