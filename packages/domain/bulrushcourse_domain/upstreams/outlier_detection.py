"""Outlier detection: failing upstreams are ejected for a limited time."""

import enum

import attrs

from bulrushcourse_domain import clock as clocks

INITIAL_EJECTION_S = 0.4
MAX_EJECTION_S = 4.0
# Consecutive failures after which an upstream is ejected. A single lost
# response is common while responses are lost at random.
FAILURES_BEFORE_EJECTION = 2
FAILURE_WEIGHT = 0.25
# The estimated share of failures halves in this time without outcomes.
FAILURE_HALF_LIFE_S = 3.0
# Duration of the ejection of an upstream that shed a request because it had no
# free slot.
SHED_EJECTION_S = 0.08


class Outcome(enum.Enum):
    """Outcome of a request, as far as it concerns the upstream's health."""

    GOOD = 'good'
    ERROR = 'error'
    SHED = 'shed'
    UNREACHABLE = 'unreachable'
    LOST = 'lost'


# Whether an outcome counts as one of the consecutive failures.
_COUNTS_TOWARDS_EJECTION = {
    Outcome.GOOD: False,
    Outcome.ERROR: False,
    Outcome.SHED: False,
    Outcome.UNREACHABLE: True,
    Outcome.LOST: True,
}


@attrs.define
class FailureRecord:
    """Failures of one upstream.

    Attributes:
        consecutive_failures: Consecutive failures since the last response.
        failure_share: Estimated share of requests that fail, as of
            ``updated_at``.
        updated_at: Time of the last outcome.
        ejected_until: Time until which it gets no requests.
        probing: Whether a probe is under way.
    """

    consecutive_failures: int = 0
    failure_share: float = 0.0
    updated_at: float = 0.0
    ejected_until: float = float('-inf')
    probing: bool = False


@attrs.define
class OutlierDetector:
    """Ejects upstreams that fail requests of this VM repeatedly.

    Attributes:
        clock: Source of time.
        records: Records by upstream; one without failures has none.
    """

    clock: clocks.Clock
    records: dict[str, FailureRecord] = attrs.field(factory=dict)

    def record_outcome(self, upstream: str, outcome: Outcome) -> bool:
        """Record the outcome of a request.

        Args:
            upstream: Name of the upstream.
            outcome: Outcome of the request.

        Returns:
            Whether the outcome ejected the upstream.
        """
        if outcome is Outcome.GOOD and upstream not in self.records:
            return False
        now = self.clock.monotonic()
        record = self.records.setdefault(upstream, FailureRecord())
        failed = outcome is not Outcome.GOOD
        share = self._decayed_share(record, now)
        record.failure_share = share + FAILURE_WEIGHT * (failed - share)
        record.updated_at = now
        record.probing = False
        if outcome is Outcome.SHED:
            record.ejected_until = max(
                record.ejected_until, now + SHED_EJECTION_S
            )
        if not _COUNTS_TOWARDS_EJECTION[outcome]:
            record.consecutive_failures = 0
            return False
        record.consecutive_failures += 1
        threshold = FAILURES_BEFORE_EJECTION - (outcome is Outcome.UNREACHABLE)
        if record.consecutive_failures < threshold:
            return False
        ejection_s = INITIAL_EJECTION_S * 2 ** min(
            8, record.consecutive_failures - threshold
        )
        record.ejected_until = now + min(MAX_EJECTION_S, ejection_s)
        return True

    def is_ejected(self, upstream: str) -> bool:
        """Return whether an upstream is ejected.

        When the ejection ends, one probe at a time is let through until one
        gets a response.

        Args:
            upstream: Name of the upstream.
        """
        record = self.records.get(upstream)
        if record is None:
            return False
        if record.probing and record.consecutive_failures:
            return True
        return self.clock.monotonic() < record.ejected_until

    def begin_request(self, upstream: str) -> None:
        """Record that a request is sent, which may be a probe.

        Args:
            upstream: Name of the upstream.
        """
        record = self.records.get(upstream)
        if (
            record is not None
            and record.consecutive_failures >= FAILURES_BEFORE_EJECTION
        ):
            record.probing = True

    def abandon_request(self, upstream: str) -> None:
        """Record that a request ended without a conclusive outcome.

        Args:
            upstream: Name of the upstream.
        """
        record = self.records.get(upstream)
        if record is not None:
            record.probing = False

    def failure_share(self, upstream: str) -> float:
        """Return the estimated share of requests that fail.

        Args:
            upstream: Name of the upstream.
        """
        record = self.records.get(upstream)
        if record is None:
            return 0.0
        return self._decayed_share(record, self.clock.monotonic())

    def discard(self, upstream: str) -> None:
        """Discard the record of an upstream that restarted or was removed.

        Args:
            upstream: Name of the upstream.
        """
        self.records.pop(upstream, None)

    def _decayed_share(self, record: FailureRecord, now: float) -> float:
        return record.failure_share * 0.5 ** (
            (now - record.updated_at) / FAILURE_HALF_LIFE_S
        )
