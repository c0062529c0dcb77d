"""Routes for operators: drains and explanations of look-up answers."""

import typing

import attrs
from aiohttp import web

from bulrushcourse_entry.membership import members as entry_members


@attrs.define(eq=False)
class MemberRoutes:
    """Serves drains and look-up explanations to operators.

    Attributes:
        members: The membership of the entries.
        set_drained: Removes this entry from look-up answers, or restores it.
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
        """Remove this entry from look-up answers; it continues to serve.

        Args:
            request: The operator's request.
        """
        self.set_drained(True)
        return web.json_response({'drained': True})

    async def undrain(self, request: web.Request) -> web.Response:
        """Restore this entry to look-up answers.

        Args:
            request: The operator's request.
        """
        self.set_drained(False)
        return web.json_response({'drained': False})

    async def explain(self, request: web.Request) -> web.Response:
        """Explain the look-up answer for a client.

        Args:
            request: Query ``client`` gives the client's IP address.
        """
        client = request.query.get('client', request.remote or '')
        return web.json_response(self.members.explain(client))
