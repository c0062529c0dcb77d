"""The route groups of the operators' listener."""

import typing

from bulrushcourse_entry.configuration import exchange
from bulrushcourse_entry.configuration import publisher
from bulrushcourse_entry.limits import assembly as limits_assembly
from bulrushcourse_entry.operators import configuration
from bulrushcourse_entry.operators import listener
from bulrushcourse_entry.operators import members
from bulrushcourse_entry.operators import routing


def build_groups(
    exchanged: exchange.ConfigurationExchange,
    set_drained: typing.Callable[[bool], None],
    limits: limits_assembly.LimitsParts,
) -> tuple[listener.RouteGroup, ...]:
    """Return the routes for configurations, members and routing.

    Args:
        exchanged: Puts configurations in force and passes them on.
        set_drained: Takes this entry out of look-up answers, or back in.
        limits: Plans, shares and choices of regions of this entry.
    """
    published = publisher.Publisher(
        exchanged.clock, exchanged.store, exchanged.members, exchanged
    )
    return (
        configuration.ConfigurationRoutes(published, exchanged.members),
        members.MemberRoutes(exchanged.members, set_drained),
        routing.RoutingRoutes(limits),
    )
