"""Measured service times of instances, running work included."""

import attrs

REFERENCE_SAMPLES = 200
"""Samples that the typical time of a class averages over."""

WINDOW = 8.0
"""Completions that an instance's index averages over.

A short window finds an instance that became slow after a few requests. The
noise that it leaves costs little, because a wrong preference between free
instances of equal speed does not change any latency.
"""

PRIOR = 2.0
"""Weight, in completions, of the assumption that an instance is typical."""

HALF_LIFE_S = 0.5
"""Age at which a measurement counts half, so that slow instances are retried.

A third of the spells that the project plans for (1.5 s).
"""

LARGEST_SAMPLE = 10.0
"""Bound of one request's part, in typical times; one stuck request must not
decide about its instance."""


@attrs.define
class ClassReference:
    """Typical service time of a class of requests in a pool.

    Attributes:
        seconds: Running mean; 0 before the first sample.
        samples: Samples that the mean holds.

    Examples:
        >>> reference = ClassReference()
        >>> reference.observe(0.02)
        >>> reference.observe(0.04)
        >>> round(reference.seconds, 3)
        0.03
    """

    seconds: float = 0.0
    samples: int = 0

    def observe(self, seconds: float) -> None:
        """Add a completed request.

        Args:
            seconds: Its service time.
        """
        if self.samples:
            seconds = min(seconds, LARGEST_SAMPLE * self.seconds)
        self.samples = min(self.samples + 1, REFERENCE_SAMPLES)
        self.seconds += (seconds - self.seconds) / self.samples


@attrs.define
class SlownessIndex:
    """Service time of one instance in typical times of the classes it ran.

    The index is the time spent on requests, running ones included, divided
    by the number of completions. Running work makes it rise before the first
    slow request has ended. Without new work it ages back to 1.

    Attributes:
        spent: Aged time of completed requests, in typical times.
        completions: Aged number of completed requests.
        aged_at: Clock seconds of the last aging.
        running: Number of running requests with a known typical time.
        rate: Sum of 1 / typical time over running requests, per second.
        started: Sum of start / typical time over running requests.

    Examples:
        >>> index = SlownessIndex()
        >>> index.start(0.0, 0.02)
        >>> index.value(0.0)
        1.0
        >>> index.value(0.12)
        4.0
        >>> index.end(0.12, 0.0, 0.02, 0.12)
        >>> round(index.value(0.12), 2)
        2.67
        >>> round(index.value(5.0), 2)
        1.0
    """

    spent: float = 0.0
    completions: float = 0.0
    aged_at: float = 0.0
    running: int = 0
    rate: float = 0.0
    started: float = 0.0

    def start(self, now: float, typical_s: float) -> None:
        """Add a request that starts now.

        Args:
            now: Clock seconds.
            typical_s: Typical time of its class; 0 if not known yet.
        """
        if typical_s > 0:
            self.running += 1
            self.rate += 1 / typical_s
            self.started += now / typical_s

    def stop(self, now: float, started_s: float, typical_s: float) -> None:
        """End a running request that did not complete.

        The time that it took stays: a request given up at a slow instance
        shows that the instance is slow.

        Args:
            now: Clock seconds.
            started_s: Clock seconds when it started.
            typical_s: The typical time that was given at its start.
        """
        self.forget(started_s, typical_s)
        if typical_s > 0:
            units = (now - started_s) / typical_s
            self.add(now, min(units, LARGEST_SAMPLE), 0.0)

    def forget(self, started_s: float, typical_s: float) -> None:
        """Remove a running request without a trace.

        Args:
            started_s: Clock seconds when it started.
            typical_s: The typical time that was given at its start.
        """
        if typical_s <= 0:
            return
        self.running -= 1
        self.rate -= 1 / typical_s
        self.started -= started_s / typical_s
        if not self.running:
            # Removes what rounding left.
            self.rate = self.started = 0.0

    def end(
        self, now: float, started_s: float, typical_s: float, seconds: float
    ) -> None:
        """Turn a running request into a completed one.

        Args:
            now: Clock seconds.
            started_s: Clock seconds when it started.
            typical_s: The typical time that was given at its start.
            seconds: Its measured service time.
        """
        self.forget(started_s, typical_s)
        if typical_s > 0:
            self.add(now, min(seconds / typical_s, LARGEST_SAMPLE))

    def add(self, now: float, units: float, completions: float = 1.0) -> None:
        """Add a measurement.

        Args:
            now: Clock seconds.
            units: Time spent, in typical times.
            completions: Completions that the time led to.
        """
        keep = self._kept(now) * (1 - completions / WINDOW)
        self.spent = self.spent * keep + units
        self.completions = self.completions * keep + completions
        self.aged_at = now

    def value(self, now: float) -> float:
        """Return the index; 1 stands for a typical instance.

        Args:
            now: Clock seconds.
        """
        keep = self._kept(now)
        running = min(
            now * self.rate - self.started, LARGEST_SAMPLE * self.running
        )
        return (PRIOR + self.spent * keep + max(running, 0.0)) / (
            PRIOR + self.completions * keep
        )

    def _kept(self, now: float) -> float:
        return 0.5 ** ((now - self.aged_at) / HALF_LIFE_S)
