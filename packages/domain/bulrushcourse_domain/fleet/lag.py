"""Whether this VM is too slow to serve callers well, by its own delays."""

import attrs

# Weight of a new delay; with four measurements a second the mean follows a
# change within about a second.
SAMPLE_WEIGHT = 0.25
# A VM whose tasks run this much later than planned adds a noticeable part of
# a typical objective to each request.
SLOW_LAG_S = 0.15
# Lower bound for it to count as recovered, so that it does not alternate.
RECOVERED_LAG_S = 0.05


@attrs.define
class LagMonitor:
    """Mean delay of this VM's periodic tasks.

    From outside a slow VM cannot be told from a distant one, but its own tasks
    run late, whether its processor is throttled, shared or overloaded.

    Attributes:
        lag_s: Mean delay in seconds.
        is_slow: Whether the VM counts as slow.

    Examples:
        >>> monitor = LagMonitor()
        >>> [monitor.record(0.4) for _ in range(3)]
        [False, True, False]
    """

    lag_s: float = 0.0
    is_slow: bool = False

    def record(self, lag_s: float) -> bool:
        """Record the delay of a task.

        Args:
            lag_s: Time between its planned and its actual start in seconds.

        Returns:
            Whether the VM became slow or recovered.
        """
        self.lag_s += SAMPLE_WEIGHT * (max(0.0, lag_s) - self.lag_s)
        limit = RECOVERED_LAG_S if self.is_slow else SLOW_LAG_S
        was_slow, self.is_slow = self.is_slow, self.lag_s > limit
        return self.is_slow != was_slow
