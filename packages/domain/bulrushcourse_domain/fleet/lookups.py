"""Answers to look-ups of callers: which VMs to connect to."""

import attrs

from bulrushcourse_domain.fleet import fleet

# Look-ups arrive hundreds of times per second, and the serving VMs change
# rarely. Callers keep an answer far longer than this.
CACHE_TTL_S = 0.1


@attrs.define
class LookupCache:
    """Addresses for callers, cached for a short time.

    Attributes:
        vms: The fleet.
        cleared_at: Time when the cache was last cleared.
        cached: Addresses by region of the caller and home regions of the host.
    """

    vms: fleet.Fleet
    cleared_at: float = float('-inf')
    cached: dict[tuple[str, frozenset[str]], tuple[str, ...]] = attrs.field(
        factory=dict
    )

    def addresses(
        self, region: str, home_regions: frozenset[str]
    ) -> tuple[str, ...]:
        """Return the addresses that a caller should connect to.

        Args:
            region: Region of the caller.
            home_regions: Home regions of the host, empty if it has none.
        """
        now = self.vms.clock.monotonic()
        if now - self.cleared_at > CACHE_TTL_S:
            self.cached.clear()
            self.cleared_at = now
        key = region, home_regions
        if key not in self.cached:
            self.cached[key] = fleet.select_addresses(
                self.vms.serving(), region, home_regions
            )
        return self.cached[key]
