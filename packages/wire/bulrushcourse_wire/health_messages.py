"""Messages about the health of upstream instances."""

from bulrushcourse_wire import messages


@messages.message('upstream_sign')
class UpstreamLeaving:
    """An instance leaves, or serves again.

    Attributes:
        instance: Name of the instance.
        leaving: Whether it is leaving.
    """

    instance: str
    leaving: bool
