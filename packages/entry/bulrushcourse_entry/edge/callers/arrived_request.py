"""A caller's request before its route and account are known."""

import typing

import attrs

from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry.platform import headers as platform_headers

# Time that is left for the response to reach the caller before its deadline.
DEADLINE_MARGIN_S = 0.02


@attrs.frozen(eq=False)
class ArrivedRequest:
    """A request whose target is not known for certain yet.

    Attributes:
        arrived: Time of its arrival, monotonic seconds.
        caller: Its caller's headers.
        match: Returns its route in the active configuration.
    """

    arrived: float
    caller: platform_headers.CallerHeaders
    match: typing.Callable[[], routes.Route | None]

    @property
    def deadline(self) -> float:
        """Time when it is answered at the latest, monotonic seconds.

        Without a route it is not sent, so that nothing has to be awaited.
        """
        route = self.match()
        if route is None:
            return self.arrived
        return self.deadline_within(route)

    def deadline_within(self, route: routes.Route) -> float:
        """Return the deadline if the request is sent along a route.

        Args:
            route: The route.
        """
        allowed_s = route.timeout_s
        if self.caller.remaining_s is not None:
            allowed_s = min(
                allowed_s,
                self.caller.remaining_s - DEADLINE_MARGIN_S,
            )
        return self.arrived + allowed_s
