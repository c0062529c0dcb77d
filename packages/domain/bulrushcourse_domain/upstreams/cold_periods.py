"""Times during which upstreams are warming up."""

import attrs

from bulrushcourse_domain import clock as clocks


@attrs.define
class ColdPeriods:
    """End of the warm-up of each cold upstream.

    Attributes:
        clock: Source of time.
        until: End of the warm-up in seconds, by name.

    Examples:
        >>> cold = ColdPeriods(clocks.ManualClock(5.0))
        >>> cold.extend('u', 7.0)
        >>> cold.is_cold('u'), cold.is_cold('v')
        (True, False)
    """

    clock: clocks.Clock
    until: dict[str, float] = attrs.field(factory=dict)

    def begin(self, name: str, until: float) -> None:
        """Record a warm-up as the upstream's row states it.

        Args:
            name: Name of the upstream.
            until: Its end in seconds.
        """
        self.until[name] = until

    def extend(self, name: str, until: float) -> None:
        """Treat an upstream as cold at least until a time.

        Args:
            name: Name of the upstream.
            until: The time in seconds.
        """
        self.until[name] = max(until, self.until.get(name, until))

    def discard(self, name: str) -> None:
        """Discard what is known of an upstream.

        Args:
            name: Name of the upstream.
        """
        self.until.pop(name, None)

    def is_cold(self, name: str) -> bool:
        """Return whether an upstream is warming up.

        Args:
            name: Name of the upstream.
        """
        until = self.until.get(name)
        if until is None:
            return False
        if until <= self.clock.monotonic():
            del self.until[name]
            return False
        return True
