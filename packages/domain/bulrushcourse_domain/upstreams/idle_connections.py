"""The aggregate that decides whether connections may be used again."""

import attrs

from bulrushcourse_domain import clock as clocks

# Upstreams that forgot one idle connection forget others too for some time.
FORGETFUL_S = 10.0
# A reset that comes back within the round trip and this time was not work.
QUICK_S = 0.03


@attrs.define
class IdleConnectionPolicy:
    """Upstreams that forget idle connections without notice.

    What is sent next on such a connection is reset, and nobody knows whether
    it has run. A request that may run only once therefore never goes on a
    used connection; a repeatable one costs a second sending, so that used
    connections serve until an upstream was seen to forget one.

    Attributes:
        clock: Source of time.
        forgetful_until: Until when an upstream counts as one, by name.
    """

    clock: clocks.Clock
    forgetful_until: dict[str, float] = attrs.field(factory=dict)

    def may_reuse(self, upstream: str, repeatable: bool) -> bool:
        """Return whether a used connection may be used again.

        Args:
            upstream: Name of the upstream.
            repeatable: Whether the request may run twice.
        """
        forgetful = self.forgetful_until.get(upstream, float('-inf'))
        return repeatable and self.clock.monotonic() >= forgetful

    def record_reset(
        self, upstream: str, took_s: float, round_trip_s: float
    ) -> bool:
        """Take over that a used connection was reset before any answer.

        Args:
            upstream: Name of the upstream.
            took_s: Time from sending to the reset.
            round_trip_s: Round trip to the upstream.

        Returns:
            Whether the connection had been forgotten, as far as can be told.
        """
        if took_s > 2 * round_trip_s + QUICK_S:
            return False
        now = self.clock.monotonic()
        self.forgetful_until = {
            name: until
            for name, until in self.forgetful_until.items()
            if until > now
        }
        self.forgetful_until[upstream] = now + FORGETFUL_S
        return True
