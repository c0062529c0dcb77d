"""Estimated round-trip times from this VM to the upstreams."""

import attrs

from bulrushcourse_domain.upstreams import upstream as upstreams

# Defaults for failure domains without a measurement.
DEFAULT_SAME_DOMAIN_S = 0.001
DEFAULT_SAME_REGION_S = 0.003
DEFAULT_OTHER_REGION_S = 0.05
# A measurement above the minimum raises it by this share of the difference.
# The share is small so that a queue on the path does not look like distance.
GROWTH_RATIO = 0.02


@attrs.define
class RoundTripTimes:
    """Slowly growing minimum of the connect times, by failure domain.

    Attributes:
        region: Region of this VM.
        failure_domain: Failure domain of this VM.
        measured: Minimum in seconds by failure domain.
    """

    region: str
    failure_domain: str
    measured: dict[str, float] = attrs.field(factory=dict)

    def record_connect(
        self, upstream: upstreams.Upstream, seconds: float
    ) -> None:
        """Record how long it took to open a connection.

        Args:
            upstream: The upstream.
            seconds: Time from the start of the handshake to its end.
        """
        domain = upstream.failure_domain
        minimum = self.measured.get(domain, seconds)
        self.measured[domain] = min(
            seconds, minimum + GROWTH_RATIO * (seconds - minimum)
        )

    def to_upstream(self, upstream: upstreams.Upstream) -> float:
        """Return the estimated round-trip time to an upstream in seconds.

        Args:
            upstream: The upstream.
        """
        measured = self.measured.get(upstream.failure_domain)
        if measured is not None:
            return measured
        if upstream.region != self.region:
            return DEFAULT_OTHER_REGION_S
        if upstream.failure_domain != self.failure_domain:
            return DEFAULT_SAME_REGION_S
        return DEFAULT_SAME_DOMAIN_S
