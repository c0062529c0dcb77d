"""Failures of a region's instances as one entry sees them.

The owner of a pool blames an entry that fails at most instances, since the
cause may be that entry's network. For that entry's own requests the cause does
not matter: other regions serve them better.
"""

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.slots import requests

# With half of the instances lost, chance alone gives this many failures in a
# row once in 64 requests.
FAILURES_IN_A_ROW = 6
TRIAL_INTERVAL_S = 0.5
FAILURES = frozenset(
    (
        requests.ReleaseOutcome.LOST,
        requests.ReleaseOutcome.UNREACHABLE,
    )
)


@attrs.define
class RegionFailures:
    """Counts failures in a row and spaces the trials that follow.

    Attributes:
        clock: Source of time.
        failures: Failures since the last request that was answered.
        trial_at: Clock seconds from which the next request is a trial.

    Examples:
        >>> seen = RegionFailures(clocks.ManualClock())
        >>> for _ in range(FAILURES_IN_A_ROW):
        ...     seen.record_outcome(requests.ReleaseOutcome.LOST)
        >>> seen.admits()
        False
        >>> seen.record_outcome(requests.ReleaseOutcome.DONE)
        >>> seen.admits()
        True
    """

    clock: clocks.Clock
    failures: int = 0
    trial_at: float = 0.0

    def record_outcome(self, outcome: requests.ReleaseOutcome) -> None:
        """Count how a request ended.

        Args:
            outcome: How its work ended.
        """
        if outcome is requests.ReleaseOutcome.DONE:
            self.failures = 0
        elif outcome in FAILURES:
            self.failures += 1
            self.trial_at = self.clock.monotonic() + TRIAL_INTERVAL_S

    def admits(self) -> bool:
        """Return whether a request may go to the region, as a trial or not."""
        if self.failures < FAILURES_IN_A_ROW:
            return True
        now = self.clock.monotonic()
        if now < self.trial_at:
            return False
        self.trial_at = now + TRIAL_INTERVAL_S
        return True
