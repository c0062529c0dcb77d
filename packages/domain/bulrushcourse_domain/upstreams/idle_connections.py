"""Reuse of idle connections to upstreams that may drop them silently."""

import attrs

from bulrushcourse_domain import clock as clocks

# An upstream that silently dropped one idle connection is likely to have
# dropped others, so no connection to it is reused for this time.
NO_REUSE_S = 10.0
# A reset that arrives within two round trips plus this time precedes any work
# on the request.
RESET_MARGIN_S = 0.03


@attrs.define
class IdleConnectionPolicy:
    """Decides which requests may be sent on an idle connection.

    Some upstreams drop idle connections without closing them. The next
    request on such a connection is reset, and it is unknown whether it ran. A
    request that may run only once is therefore never sent on an idle
    connection. A repeatable one costs only a retry, so it reuses idle
    connections to an upstream until the upstream has dropped one.

    Attributes:
        clock: Source of time.
        no_reuse_until: Time until which idle connections to an upstream are
            not reused, by name.
    """

    clock: clocks.Clock
    no_reuse_until: dict[str, float] = attrs.field(factory=dict)

    def may_reuse(self, upstream: str, repeatable: bool) -> bool:
        """Return whether a request may be sent on an idle connection.

        Args:
            upstream: Name of the upstream.
            repeatable: Whether the request may run more than once.
        """
        until = self.no_reuse_until.get(upstream, float('-inf'))
        return repeatable and self.clock.monotonic() >= until

    def record_reset(
        self, upstream: str, took_s: float, round_trip_s: float
    ) -> bool:
        """Record that a reused connection was reset before any response.

        Args:
            upstream: Name of the upstream.
            took_s: Time from sending the request to the reset.
            round_trip_s: Round-trip time to the upstream.

        Returns:
            Whether the upstream had most likely dropped the connection before
            the request was sent.
        """
        if took_s > 2 * round_trip_s + RESET_MARGIN_S:
            return False
        now = self.clock.monotonic()
        self.no_reuse_until = {
            name: until
            for name, until in self.no_reuse_until.items()
            if until > now
        }
        self.no_reuse_until[upstream] = now + NO_REUSE_S
        return True
