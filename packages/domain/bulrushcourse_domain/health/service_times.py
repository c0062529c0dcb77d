"""Measured service times of instances, running requests included."""

import attrs

MAX_TYPICAL_SAMPLES = 200
"""Number of samples over which a class's typical time is averaged."""

WINDOW_COMPLETIONS = 8.0
"""Number of completions over which an instance's index is averaged.

A short window detects an instance that became slow after a few requests. The
remaining noise costs little, because a wrong preference between free
instances of equal speed does not change the latency.
"""

PRIOR_COMPLETIONS = 2.0
"""Weight, in completions, of the assumption that an instance is typical."""

HALF_LIFE_S = 0.5
"""Age at which a measurement counts half, so that slow instances are retried.

A third of the slow periods for which the system is designed (1.5 s).
"""

MAX_SAMPLE_RATIO = 10.0
"""Maximum time of one request in the index, in typical times.

One stuck request must not decide about its instance.
"""


@attrs.define
class TypicalTime:
    """Typical service time of a request class in a pool.

    Attributes:
        seconds: Running mean; 0 before the first sample.
        sample_count: Number of samples in the mean.

    Examples:
        >>> typical = TypicalTime()
        >>> typical.add(0.02)
        >>> typical.add(0.04)
        >>> round(typical.seconds, 3)
        0.03
    """

    seconds: float = 0.0
    sample_count: int = 0

    def add(self, seconds: float) -> None:
        """Add the service time of a completed request.

        Args:
            seconds: The service time.
        """
        if self.sample_count:
            seconds = min(seconds, MAX_SAMPLE_RATIO * self.seconds)
        self.sample_count = min(self.sample_count + 1, MAX_TYPICAL_SAMPLES)
        self.seconds += (seconds - self.seconds) / self.sample_count


@attrs.define
class SlownessIndex:
    """Service time of one instance, in typical times of the request classes.

    The index is the time spent on requests, running ones included, divided
    by the number of completions. Running requests raise it before the first
    slow request has ended. Without new requests it decays back to 1.

    Attributes:
        spent_units: Decayed time of ended requests, in typical times.
        completions: Decayed number of completed requests.
        decayed_at: Clock seconds up to which both have been decayed.
        running_count: Number of running requests with a known typical time.
        running_rate: Sum of 1 / typical time over running requests, per
            second.
        running_start_units: Sum of start time / typical time over running
            requests.

    Examples:
        >>> index = SlownessIndex()
        >>> index.start(0.0, 0.02)
        >>> index.value(0.0)
        1.0
        >>> index.value(0.12)
        4.0
        >>> index.complete(0.12, 0.0, 0.02, 0.12)
        >>> round(index.value(0.12), 2)
        2.67
        >>> round(index.value(5.0), 2)
        1.0
    """

    spent_units: float = 0.0
    completions: float = 0.0
    decayed_at: float = 0.0
    running_count: int = 0
    running_rate: float = 0.0
    running_start_units: float = 0.0

    def start(self, now: float, typical_s: float) -> None:
        """Add a request that starts now.

        Args:
            now: Clock seconds.
            typical_s: Typical time of its class; 0 if unknown.
        """
        if typical_s > 0:
            self.running_count += 1
            self.running_rate += 1 / typical_s
            self.running_start_units += now / typical_s

    def stop(self, now: float, started_s: float, typical_s: float) -> None:
        """Remove a running request that did not complete.

        Its time is counted: a request that was cancelled at a slow instance
        shows that the instance is slow.

        Args:
            now: Clock seconds.
            started_s: Clock seconds at which it started.
            typical_s: The typical time that was passed at its start.
        """
        self.discard(started_s, typical_s)
        if typical_s > 0:
            units = (now - started_s) / typical_s
            self.add(now, min(units, MAX_SAMPLE_RATIO), 0.0)

    def discard(self, started_s: float, typical_s: float) -> None:
        """Remove a running request without counting its time.

        Args:
            started_s: Clock seconds at which it started.
            typical_s: The typical time that was passed at its start.
        """
        if typical_s <= 0:
            return
        self.running_count -= 1
        self.running_rate -= 1 / typical_s
        self.running_start_units -= started_s / typical_s
        if not self.running_count:
            # Clears rounding errors.
            self.running_rate = self.running_start_units = 0.0

    def complete(
        self, now: float, started_s: float, typical_s: float, seconds: float
    ) -> None:
        """Record the completion of a running request.

        Args:
            now: Clock seconds.
            started_s: Clock seconds at which it started.
            typical_s: The typical time that was passed at its start.
            seconds: Its measured service time.
        """
        self.discard(started_s, typical_s)
        if typical_s > 0:
            self.add(now, min(seconds / typical_s, MAX_SAMPLE_RATIO))

    def add(self, now: float, units: float, completions: float = 1.0) -> None:
        """Add a measurement.

        Args:
            now: Clock seconds.
            units: Time spent, in typical times.
            completions: Number of completions in that time.
        """
        decay = self._decay(now) * (1 - completions / WINDOW_COMPLETIONS)
        self.spent_units = self.spent_units * decay + units
        self.completions = self.completions * decay + completions
        self.decayed_at = now

    def value(self, now: float) -> float:
        """Return the index; it is 1 for a typical instance.

        Args:
            now: Clock seconds.
        """
        decay = self._decay(now)
        running = min(
            now * self.running_rate - self.running_start_units,
            MAX_SAMPLE_RATIO * self.running_count,
        )
        return (
            PRIOR_COMPLETIONS + self.spent_units * decay + max(running, 0.0)
        ) / (PRIOR_COMPLETIONS + self.completions * decay)

    def _decay(self, now: float) -> float:
        return 0.5 ** ((now - self.decayed_at) / HALF_LIFE_S)
