"""Routes for operators: progress of plans and choices of regions."""

import typing

import attrs
from aiohttp import web

from bulrushcourse_entry.limits import assembly as limits_assembly


@attrs.define(eq=False)
class RoutingRoutes:
    """Serves the state of plans and region choices to operators.

    Attributes:
        limits: Plans, shares and region choices of this entry.
    """

    limits: limits_assembly.LimitsParts

    def routes(self) -> typing.Sequence[web.RouteDef]:
        """Return the routes to serve."""
        return (
            web.get('/v1/plans', self.show_plans),
            web.get('/v1/routes', self.show_routes),
        )

    async def show_plans(self, request: web.Request) -> web.Response:
        """Return the state of each plan at this entry.

        Args:
            request: The operator's request.
        """
        return web.json_response(self.limits.plans.dump())

    async def show_routes(self, request: web.Request) -> web.Response:
        """Return the last region choice for each service, with its reasons.

        Args:
            request: The operator's request.
        """
        return web.json_response(self.limits.regions.dump())
