"""The route groups of the operators' listener."""

import typing

from bulrushcourse_entry.configuration import exchange
from bulrushcourse_entry.configuration import publisher
from bulrushcourse_entry.operators import configuration
from bulrushcourse_entry.operators import listener
from bulrushcourse_entry.operators import members


def build_groups(
    exchanged: exchange.ConfigurationExchange,
    set_drained: typing.Callable[[bool], None],
) -> tuple[listener.RouteGroup, ...]:
    """Return the routes for configurations and members.

    Args:
        exchanged: Puts configurations in force and passes them on.
        set_drained: Takes this entry out of look-up answers, or back in.
    """
    published = publisher.Publisher(
        exchanged.clock, exchanged.store, exchanged.members, exchanged
    )
    return (
        configuration.ConfigurationRoutes(published, exchanged.members),
        members.MemberRoutes(exchanged.members, set_drained),
    )
