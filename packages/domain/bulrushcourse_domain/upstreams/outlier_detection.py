"""The aggregate that sets failing upstreams aside for a while."""

import enum

import attrs

from bulrushcourse_domain import clock as clocks

FIRST_PAUSE_S = 0.4
LONGEST_PAUSE_S = 4.0
# Failures in a row after which an upstream is set aside. A single lost
# answer is common while answers are lost at random.
FAILURES_BEFORE_PAUSE = 2
FAILURE_WEIGHT = 0.25
# The estimated share of failures halves in this time without news.
FAILURE_HALF_LIFE_S = 3.0
FULL_PAUSE_S = 0.08


class Outcome(enum.Enum):
    """How a request to an upstream ended, as far as its health goes."""

    GOOD = 'good'
    ERROR = 'error'
    SHED = 'shed'
    UNREACHABLE = 'unreachable'
    LOST = 'lost'


# Whether an outcome counts towards setting the upstream aside.
_COUNTS = {
    Outcome.GOOD: False,
    Outcome.ERROR: False,
    Outcome.SHED: False,
    Outcome.UNREACHABLE: True,
    Outcome.LOST: True,
}


@attrs.define
class Record:
    """What is known of one upstream's failures.

    Attributes:
        in_a_row: Counted failures since the last answer.
        share: Estimated share of requests that fail.
        at: Time of the last outcome.
        paused_until: Until when it gets no request.
        trial: Whether one request was let through to try it again.
    """

    in_a_row: int = 0
    share: float = 0.0
    at: float = 0.0
    paused_until: float = float('-inf')
    trial: bool = False


@attrs.define
class OutlierDetector:
    """Failures of upstreams as this VM has seen them.

    Attributes:
        clock: Source of time.
        records: Records by upstream; one without failures has none.
    """

    clock: clocks.Clock
    records: dict[str, Record] = attrs.field(factory=dict)

    def record_outcome(self, upstream: str, outcome: Outcome) -> bool:
        """Count how a request ended.

        Args:
            upstream: Name of the upstream.
            outcome: How it ended.

        Returns:
            Whether the upstream has just been set aside.
        """
        if outcome is Outcome.GOOD and upstream not in self.records:
            return False
        now = self.clock.monotonic()
        record = self.records.setdefault(upstream, Record())
        failed = outcome is not Outcome.GOOD
        share = self._share(record, now)
        record.share = share + FAILURE_WEIGHT * (failed - share)
        record.at = now
        record.trial = False
        if outcome is Outcome.SHED:
            record.paused_until = max(record.paused_until, now + FULL_PAUSE_S)
        if not _COUNTS[outcome]:
            record.in_a_row = 0
            return False
        record.in_a_row += 1
        first = FAILURES_BEFORE_PAUSE - (outcome is Outcome.UNREACHABLE)
        if record.in_a_row < first:
            return False
        doubled = FIRST_PAUSE_S * 2 ** min(8, record.in_a_row - first)
        record.paused_until = now + min(LONGEST_PAUSE_S, doubled)
        return True

    def is_ejected(self, upstream: str) -> bool:
        """Return whether an upstream is set aside.

        After the pause one request at a time is let through until one is
        answered.

        Args:
            upstream: Name of the upstream.
        """
        record = self.records.get(upstream)
        if record is None:
            return False
        if record.trial and record.in_a_row:
            return True
        return self.clock.monotonic() < record.paused_until

    def begin_request(self, upstream: str) -> None:
        """Note that a request is sent, which may be a trial.

        Args:
            upstream: Name of the upstream.
        """
        record = self.records.get(upstream)
        if record is not None and record.in_a_row >= FAILURES_BEFORE_PAUSE:
            record.trial = True

    def abandon_request(self, upstream: str) -> None:
        """Note that a request ended without telling anything.

        Args:
            upstream: Name of the upstream.
        """
        record = self.records.get(upstream)
        if record is not None:
            record.trial = False

    def failure_share(self, upstream: str) -> float:
        """Return the estimated share of requests that fail.

        Args:
            upstream: Name of the upstream.
        """
        record = self.records.get(upstream)
        if record is None:
            return 0.0
        return self._share(record, self.clock.monotonic())

    def discard(self, upstream: str) -> None:
        """Drop the record of an upstream that restarted or is gone.

        Args:
            upstream: Name of the upstream.
        """
        self.records.pop(upstream, None)

    def _share(self, record: Record, now: float) -> float:
        return record.share * 0.5 ** ((now - record.at) / FAILURE_HALF_LIFE_S)
