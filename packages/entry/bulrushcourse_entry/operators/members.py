"""Routes for operators: drain this entry, explain look-up answers."""

import typing

import attrs
from aiohttp import web

from bulrushcourse_entry.membership import members as entry_members


@attrs.define(eq=False)
class MemberRoutes:
    """Serves membership to operators.

    Attributes:
        members: Which entries are live.
        set_drained: Takes this entry out of look-up answers, or back in.
    """

    members: entry_members.Members
    set_drained: typing.Callable[[bool], None]

    def routes(self) -> typing.Sequence[web.RouteDef]:
        """Return the routes to serve."""
        return (
            web.post('/v1/drain', self.drain),
            web.post('/v1/undrain', self.undrain),
            web.get('/v1/explain', self.explain),
        )

    async def drain(self, request: web.Request) -> web.Response:
        """Take this entry out of look-up answers; it serves on.

        Args:
            request: The operator's request.
        """
        self.set_drained(True)
        return web.json_response({'drained': True})

    async def undrain(self, request: web.Request) -> web.Response:
        """Let look-up answers name this entry again.

        Args:
            request: The operator's request.
        """
        self.set_drained(False)
        return web.json_response({'drained': False})

    async def explain(self, request: web.Request) -> web.Response:
        """Tell how the look-up answer for a client comes about.

        Args:
            request: Query ``client`` gives the client's IP address.
        """
        client = request.query.get('client', request.remote or '')
        return web.json_response(self.members.explain(client))
