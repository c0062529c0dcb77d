"""Delays after which a hedged request is sent."""

import collections

import attrs

MIN_SAMPLES = 20
WINDOW_SAMPLES = 200
QUANTILE = 0.95
MIN_DELAY_S = 0.005
# The delay is computed once per this many samples; sorting the window for each
# request would cost more than the rest of the decision.
REFRESH_SAMPLES = 20


@attrs.define
class HedgePolicy:
    """Delays hedges until most requests of a class would have ended.

    Only idempotent requests are hedged. With a budget of 5% of the primary
    runs, a delay at the 95th percentile spends it on the slowest requests.

    Attributes:
        quantile: Share of the requests that end before a hedge is sent.
        samples: Last service times by class, in seconds.
        delays_s: Last computed delay by class, in seconds.
        new_samples: Number of samples since the delay was computed, by class.
    """

    quantile: float = QUANTILE
    samples: dict[str, collections.deque[float]] = attrs.field(factory=dict)
    delays_s: dict[str, float] = attrs.field(factory=dict)
    new_samples: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def observe(self, request_class: str, seconds: float) -> None:
        """Add the service time of a completed request.

        Args:
            request_class: Name of the request's class.
            seconds: Its service time.
        """
        empty = collections.deque(maxlen=WINDOW_SAMPLES)
        self.samples.setdefault(request_class, empty).append(seconds)
        self.new_samples[request_class] += 1

    def delay_s(self, request_class: str, idempotent: bool) -> float | None:
        """Return the delay before a hedge in seconds, ``None`` for no hedge.

        Args:
            request_class: Name of the request's class.
            idempotent: Whether the request may run more than once.

        Examples:
            >>> policy = HedgePolicy()
            >>> for number in range(100):
            ...     policy.observe('short', number / 1000)
            >>> policy.delay_s('short', True)
            0.095
            >>> policy.delay_s('short', False) is None
            True
        """
        samples = self.samples.get(request_class, ())
        if not idempotent or len(samples) < MIN_SAMPLES:
            return None
        stale = self.new_samples[request_class] >= REFRESH_SAMPLES
        if stale or request_class not in self.delays_s:
            ordered = sorted(samples)
            index = min(len(ordered) - 1, int(len(ordered) * self.quantile))
            self.delays_s[request_class] = max(MIN_DELAY_S, ordered[index])
            self.new_samples[request_class] = 0
        return self.delays_s[request_class]
