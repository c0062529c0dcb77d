"""When to send a second copy of a request that takes long."""

import collections

import attrs

MIN_SAMPLES = 20
WINDOW = 200
QUANTILE = 0.95
MIN_DELAY_S = 0.005
# The delay is worked out once for this many samples; sorting the window for
# each request would cost more than the rest of the decision.
REFRESH_SAMPLES = 20


@attrs.define
class HedgePolicy:
    """Delays hedges until most requests of a class would have ended.

    Only idempotent work is hedged. With the budget at 5% of the primary
    work, a delay at the 95th percentile spends it on the slowest requests.

    Attributes:
        quantile: Part of the requests that end before a hedge.
        times: Last service times by class, in seconds.
        delays: Delay by class as last worked out, in seconds.
        fresh: Samples since the delay was worked out, by class.
    """

    quantile: float = QUANTILE
    times: dict[str, collections.deque[float]] = attrs.field(factory=dict)
    delays: dict[str, float] = attrs.field(factory=dict)
    fresh: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def observe(self, request_class: str, seconds: float) -> None:
        """Count the service time of a request that was answered.

        Args:
            request_class: Name of the request's class.
            seconds: Its service time.
        """
        empty = collections.deque(maxlen=WINDOW)
        self.times.setdefault(request_class, empty).append(seconds)
        self.fresh[request_class] += 1

    def delay_s(self, request_class: str, idempotent: bool) -> float | None:
        """Return when to hedge, in seconds; ``None`` for never.

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
        times = self.times.get(request_class, ())
        if not idempotent or len(times) < MIN_SAMPLES:
            return None
        stale = self.fresh[request_class] >= REFRESH_SAMPLES
        if stale or request_class not in self.delays:
            known = sorted(times)
            index = min(len(known) - 1, int(len(known) * self.quantile))
            self.delays[request_class] = max(MIN_DELAY_S, known[index])
            self.fresh[request_class] = 0
        return self.delays[request_class]
