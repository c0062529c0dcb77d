"""Routes for operators: progress of plans and choice of regions."""

import typing

import attrs
from aiohttp import web

from bulrushcourse_entry.limits import assembly as limits_assembly


@attrs.define(eq=False)
class RoutingRoutes:
    """Serves plans and the last choices of regions to operators.

    Attributes:
        limits: Plans, shares and choices of regions of this entry.
    """

    limits: limits_assembly.LimitsParts

    def routes(self) -> typing.Sequence[web.RouteDef]:
        """Return the routes to serve."""
        return (
            web.get('/v1/plans', self.show_plans),
            web.get('/v1/routes', self.show_routes),
        )

    async def show_plans(self, request: web.Request) -> web.Response:
        """Return how each plan stands at this entry.

        Args:
            request: The operator's request.
        """
        return web.json_response(self.limits.plans.dump())

    async def show_routes(self, request: web.Request) -> web.Response:
        """Return the last choice of a region by service, with the reasons.

        Args:
            request: The operator's request.
        """
        return web.json_response(self.limits.regions.dump())
