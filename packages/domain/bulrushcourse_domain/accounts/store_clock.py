"""Relation of the store's clock to the local one, from the calls to the store.

Answers the load of key permissions in a fleet whose VMs read the store
through others: the age of what another VM has read follows from the store's
own time, so that the time on the way need not be known.
"""

import math

import attrs

# Largest relative difference of the rates of two clocks: twice the fastest
# correction that operating systems apply (500 ppm).
MAX_DRIFT = 0.001
# Times of the store have whole milliseconds.
RESOLUTION_S = 0.001


@attrs.frozen
class StoreReading:
    """Time that the store stated in the answer to a call.

    Attributes:
        started: Local time before the call was sent, monotonic seconds.
        received: Local time when the answer had arrived.
        store_s: The store's time when it answered, in seconds.
    """

    started: float
    received: float
    store_s: float


@attrs.define
class StoreClock:
    """Bounds of the difference between the local and the store's clock.

    The store stated its time between the start of a call and the receipt of
    the answer, so that each call bounds the difference from both sides. The
    bounds widen with the time since their calls, by the drift of both clocks.

    Attributes:
        lower: Greatest known lower bound of local minus store time, ``None``
            before the first call.
        lower_at: Local time of the call behind it.
        upper: Smallest known upper bound.
        upper_at: Local time of the call behind it.

    Examples:
        >>> clock = StoreClock()
        >>> clock.record(StoreReading(100.0, 100.5, store_s=30.0))
        True
        >>> round(clock.earliest_local(30.0, now=100.5), 3)
        99.999
        >>> clock.record(StoreReading(200.0, 200.1, store_s=7.0))
        False
    """

    lower: float | None = None
    lower_at: float = -math.inf
    upper: float = math.inf
    upper_at: float = -math.inf

    def record(self, reading: StoreReading) -> bool:
        """Narrow the bounds by a call.

        Args:
            reading: Time stated in its answer.

        Returns:
            Whether the store's clock has run on steadily. If it has jumped,
            as that of a replaced store does, the bounds are those of this
            call alone, and earlier times of the store mean nothing.
        """
        lower = reading.started - reading.store_s - RESOLUTION_S
        upper = reading.received - reading.store_s
        at = reading.received
        is_steady = self.lower is None or (
            lower <= self._upper(at) and upper >= self._lower(at)
        )
        if not is_steady:
            self.lower, self.upper = None, math.inf
        if self.lower is None or lower >= self._lower(at):
            self.lower, self.lower_at = lower, at
        if upper <= self._upper(at):
            self.upper, self.upper_at = upper, at
        return is_steady

    def earliest_local(self, store_s: float, now: float) -> float | None:
        """Return a local time that is not after a time of the store.

        Args:
            store_s: Time of the store in seconds.
            now: Local time now.

        Returns:
            Monotonic seconds; ``None`` before the first call, and for a time
            of the store that is yet to come, which belongs to another clock.
        """
        if self.lower is None:
            return None
        local = store_s + self._lower(now)
        return local if local <= now else None

    def _lower(self, now: float) -> float:
        return self.lower - (now - self.lower_at) * MAX_DRIFT

    def _upper(self, now: float) -> float:
        if self.upper == math.inf:
            return math.inf
        return self.upper + (now - self.upper_at) * MAX_DRIFT
