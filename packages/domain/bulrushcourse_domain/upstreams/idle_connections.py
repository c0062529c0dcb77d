"""Reuse of idle connections to upstreams that may drop them silently."""

import attrs

from bulrushcourse_domain import clock as clocks

# An upstream that silently dropped one idle connection is likely to have
# dropped others, so no connection to it is reused for this time.
NO_REUSE_S = 10.0


@attrs.define
class IdleConnectionPolicy:
    """Decides which requests may be sent on an idle connection.

    Some upstreams drop idle connections without closing them. The next
    request on such a connection is reset, and it is unknown whether it ran. A
    request that may run only once is therefore never sent on an idle
    connection. A repeatable one costs only an attempt, so it reuses idle
    connections to an upstream until the upstream may have dropped one.

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

    def suspend_reuse(self, upstream: str) -> None:
        """Record that an upstream may have dropped an idle connection.

        Args:
            upstream: Name of the upstream.
        """
        now = self.clock.monotonic()
        self.no_reuse_until = {
            name: until
            for name, until in self.no_reuse_until.items()
            if until > now
        }
        self.no_reuse_until[upstream] = now + NO_REUSE_S
