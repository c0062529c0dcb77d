"""HTTP listener for operators."""

import hmac
import typing

import attrs
from aiohttp import web

from bulrushcourse_entry import events
from bulrushcourse_entry import request_framing

READY_PATH = '/v1/ready'
# The maximum frame size of peer streams, since a publication is sent in one
# frame.
MAX_BODY_BYTES = 8 << 20


class Dumpable(typing.Protocol):
    """A component that contributes to the state dump."""

    def dump(self) -> dict[str, typing.Any]:
        """Return the state as a JSON object without secrets."""
        ...


class RouteGroup(typing.Protocol):
    """A group of related routes."""

    def routes(self) -> typing.Sequence[web.RouteDef]:
        """Return the routes to serve."""
        ...


@attrs.define(eq=False)
class OperatorsListener:
    """Serves readiness, state dumps and further route groups to operators.

    Attributes:
        token: Bearer token that operators must send.
        ready: Returns whether the entry serves callers.
        components: Components of the state dump by name.
        groups: Groups of further routes.
    """

    token: bytes = attrs.field(repr=False)
    ready: typing.Callable[[], bool]
    components: dict[str, Dumpable] = attrs.field(factory=dict)
    groups: tuple[RouteGroup, ...] = ()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(
            middlewares=[request_framing.refuse_unframed, self.authorize],
            client_max_size=MAX_BODY_BYTES,
        )
        application.router.add_get(READY_PATH, self.show_ready)
        application.router.add_get('/v1/state', self.show_state)
        for group in self.groups:
            application.router.add_routes(group.routes())
        return application

    @web.middleware
    async def authorize(
        self, request: web.Request, handler: typing.Callable
    ) -> web.StreamResponse:
        """Reject requests without the token, except those of readiness.

        Args:
            request: The operator's request.
            handler: Serves the request if it is authorized.
        """
        if request.path != READY_PATH and not self.is_operator(request):
            events.emit(
                events.Event.OPERATOR_REFUSED,
                path=request.path,
                remote=request.remote,
            )
            return web.json_response(
                {
                    'title': 'unauthorized',
                    'detail': 'a valid bearer token is required',
                },
                status=401,
                headers={'WWW-Authenticate': 'Bearer'},
            )
        return await handler(request)

    def is_operator(self, request: web.Request) -> bool:
        """Return whether a request carries the operators' token.

        Args:
            request: The request to check.
        """
        sent = request.headers.get('Authorization', '').encode()
        return hmac.compare_digest(sent, b'Bearer ' + self.token)

    async def show_ready(self, request: web.Request) -> web.Response:
        """Answer 200 if the entry serves callers, else 503.

        Args:
            request: The request.
        """
        ready = self.ready()
        return web.json_response(
            {'ready': ready}, status=200 if ready else 503
        )

    async def show_state(self, request: web.Request) -> web.Response:
        """Return the state of each component.

        Args:
            request: The operator's request.
        """
        return web.json_response(
            {
                name: component.dump()
                for name, component in self.components.items()
            }
        )
