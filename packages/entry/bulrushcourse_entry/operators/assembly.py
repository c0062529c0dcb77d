"""Construction of the route groups of the operators' listener."""

import typing

from bulrushcourse_entry.configuration import exchange
from bulrushcourse_entry.configuration import publisher
from bulrushcourse_entry.limits import assembly as limits_assembly
from bulrushcourse_entry.operators import configuration
from bulrushcourse_entry.operators import listener
from bulrushcourse_entry.operators import members
from bulrushcourse_entry.operators import routing


def build_route_groups(
    configurations: exchange.ConfigurationExchange,
    set_drained: typing.Callable[[bool], None],
    limits: limits_assembly.LimitsParts,
) -> tuple[listener.RouteGroup, ...]:
    """Return the routes for configurations, members and routing.

    Args:
        configurations: Stages configurations and sends them to peers.
        set_drained: Removes this entry from look-up answers, or restores it.
        limits: Plans, shares and region choices of this entry.
    """
    configuration_publisher = publisher.Publisher(
        configurations.clock,
        configurations.store,
        configurations.members,
        configurations,
    )
    return (
        configuration.ConfigurationRoutes(
            configuration_publisher, configurations.members
        ),
        members.MemberRoutes(configurations.members, set_drained),
        routing.RoutingRoutes(limits),
    )
