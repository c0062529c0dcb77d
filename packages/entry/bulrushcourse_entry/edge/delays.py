"""Measured round trips from this VM to regions and failure domains."""

import attrs

from bulrushcourse_domain.upstreams import upstream as upstreams

# Until connections have been measured.
SAME_DOMAIN_S = 0.001
SAME_REGION_S = 0.003
OTHER_REGION_S = 0.05
# The shortest measured time forgets slowly, so that a queue on the way does
# not look like distance.
GROWTH = 0.02


@attrs.define
class Delays:
    """Shortest time to open a connection, by failure domain.

    Attributes:
        region: Region of this VM.
        failure_domain: Failure domain of this VM.
        measured: Time in seconds by failure domain.
    """

    region: str
    failure_domain: str
    measured: dict[str, float] = attrs.field(factory=dict)

    def note(self, upstream: upstreams.Upstream, seconds: float) -> None:
        """Take over how long a connection took to open.

        Args:
            upstream: The upstream.
            seconds: The time.
        """
        domain = upstream.failure_domain
        known = self.measured.get(domain, seconds)
        self.measured[domain] = min(
            seconds, known + GROWTH * (seconds - known)
        )

    def to_upstream(self, upstream: upstreams.Upstream) -> float:
        """Return the round trip to an upstream in seconds.

        Args:
            upstream: The upstream.
        """
        known = self.measured.get(upstream.failure_domain)
        if known is not None:
            return known
        if upstream.region != self.region:
            return OTHER_REGION_S
        if upstream.failure_domain != self.failure_domain:
            return SAME_REGION_S
        return SAME_DOMAIN_S
