"""Consecutive failures of a region's instances, as one entry sees them.

If an entry fails at most instances of a pool, the pool's owner attributes the
failures to that entry, since its network may be the cause. For the entry's own
requests the cause does not matter: other regions serve them better.
"""

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.slots import requests

# If half of the instances have failed, this many consecutive failures occur by
# chance once in 64 requests.
CONSECUTIVE_FAILURE_THRESHOLD = 6
PROBE_INTERVAL_S = 0.5
FAILURES = frozenset(
    (
        requests.ReleaseOutcome.LOST,
        requests.ReleaseOutcome.UNREACHABLE,
    )
)


@attrs.define
class RegionFailures:
    """Counts consecutive failures and limits the rate of probes after them.

    Attributes:
        clock: Source of time.
        failures: Failures since the last request that was answered.
        next_probe_at: Clock seconds from which a request may be a probe.

    Examples:
        >>> region = RegionFailures(clocks.ManualClock())
        >>> for _ in range(CONSECUTIVE_FAILURE_THRESHOLD):
        ...     region.record_outcome(requests.ReleaseOutcome.LOST)
        >>> region.admits()
        False
        >>> region.record_outcome(requests.ReleaseOutcome.DONE)
        >>> region.admits()
        True
    """

    clock: clocks.Clock
    failures: int = 0
    next_probe_at: float = 0.0

    def record_outcome(self, outcome: requests.ReleaseOutcome) -> None:
        """Record the outcome of a request.

        Args:
            outcome: Its outcome; ignored unless it is ``DONE`` or one of
                ``FAILURES``.
        """
        if outcome is requests.ReleaseOutcome.DONE:
            self.failures = 0
        elif outcome in FAILURES:
            self.failures += 1
            self.next_probe_at = self.clock.monotonic() + PROBE_INTERVAL_S

    def admits(self) -> bool:
        """Return whether the region may get a request, perhaps as a probe."""
        if self.failures < CONSECUTIVE_FAILURE_THRESHOLD:
            return True
        now = self.clock.monotonic()
        if now < self.next_probe_at:
            return False
        self.next_probe_at = now + PROBE_INTERVAL_S
        return True
