"""Retry-After delays by the number of retries that are already expected.

Answers a wave of refusals: callers retry after a third of their time at most
and mostly once, so a retry that is refused again is a request lost.
"""

import random

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.placement import admission

BUCKET_S = 0.1
# Number of random delays of which the one with fewest other retries is taken.
CANDIDATES = 4
# Shortest delay as a share of the longest one: the most urgent requests are
# retried before the others.
URGENT_SHARE = 0.33
OTHER_SHARE = 0.5
# No delay is longer than this number of buckets.
MAX_BUCKETS = 200


@attrs.define
class RetrySchedule:
    """Spreads the retries of refused callers over time.

    Attributes:
        clock: Source of time.
        rng: Source of randomness.
        expected: Number of expected retries by service and bucket of time.
        cleared_at: Bucket up to which past retries were discarded.
    """

    clock: clocks.Clock
    rng: random.Random
    expected: dict[tuple[str, int], int] = attrs.field(factory=dict)
    cleared_at: int = 0

    def delay_s(
        self,
        service: str,
        remaining_s: float,
        is_urgent: bool,
        share_without_room: float,
    ) -> float:
        """Return the delay after which a refused caller may retry.

        Args:
            service: Service of the request.
            remaining_s: Seconds until the caller's deadline.
            is_urgent: Whether no request of the service is more urgent.
            share_without_room: Share of the service's requests that found no
                room lately. The larger it is, the later room is expected.
        """
        now = self.clock.monotonic()
        self._discard_past(int(now / BUCKET_S))
        longest_s = max(
            admission.MIN_RETRY_AFTER_S,
            min(
                MAX_BUCKETS * BUCKET_S,
                remaining_s * admission.MAX_RETRY_AFTER_SHARE,
            ),
        )
        share = URGENT_SHARE if is_urgent else OTHER_SHARE
        shortest_s = longest_s * (share + (1.0 - share) * share_without_room)
        # At least a quarter of the range is used, or all would retry at once.
        shortest_s = min(shortest_s, longest_s * 0.75)
        delays_s = [
            self.rng.uniform(shortest_s, longest_s) for _ in range(CANDIDATES)
        ]
        delay_s = min(
            delays_s,
            key=lambda d: self.expected.get(self._bucket(service, now + d), 0),
        )
        bucket = self._bucket(service, now + delay_s)
        self.expected[bucket] = self.expected.get(bucket, 0) + 1
        return delay_s

    def _bucket(self, service: str, at: float) -> tuple[str, int]:
        return service, int(at / BUCKET_S)

    def _discard_past(self, bucket: int) -> None:
        if bucket > self.cleared_at:
            self.cleared_at = bucket
            self.expected = {
                key: count
                for key, count in self.expected.items()
                if key[1] >= bucket
            }
