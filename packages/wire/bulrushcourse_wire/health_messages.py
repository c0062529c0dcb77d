"""Messages about the health of upstream instances."""

from bulrushcourse_wire import messages


@messages.message('upstream_sign')
class UpstreamLeaving:
    """An instance is leaving or serving again.

    Attributes:
        instance: Name of the instance.
        leaving: Whether the instance is leaving.
    """

    instance: str
    leaving: bool
