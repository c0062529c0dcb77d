"""Which losses of upstreams count, and what they quarantine."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.quarantine import evidence as evidences
from bulrushcourse_domain.quarantine import fingerprints
from bulrushcourse_domain.quarantine import latest_times
from bulrushcourse_domain.quarantine import loss_table
from bulrushcourse_domain.quarantine import probes
from bulrushcourse_domain.quarantine import shared_contents

Evidence = evidences.Evidence
LatestTimes = latest_times.LatestTimes

# A complete response also clears the losses that seem to be later by at most
# this: the times of what two VMs saw differ by the interval of their reports.
CLEARANCE_MARGIN_S = 1.0
# A crashed upstream takes some seconds to be back; one that answers sooner
# after a loss did not crash.
MIN_DOWNTIME_S = 1.0


@attrs.define
class CountedLosses:
    """Losses that nothing has disproved, and the quarantines by them.

    A request is quarantined by its own losses, and by those of its content if
    it lost upstreams for several callers without an answer to any.

    Attributes:
        clock: Source of time.
        loss_limit: Losses that quarantine a request.
        table: The losses.
        cleared_at: Time of the latest complete response by fingerprint.
        content_cleared_at: The same by content, over all callers.
        survived_at: Latest time at which an incarnation is known to have been
            alive after a loss.
    """

    clock: clocks.Clock
    loss_limit: int = probes.LOSS_LIMIT
    table: loss_table.LossTable = attrs.field(factory=loss_table.LossTable)
    cleared_at: LatestTimes = attrs.field(factory=LatestTimes)
    content_cleared_at: LatestTimes = attrs.field(factory=LatestTimes)
    survived_at: LatestTimes = attrs.field(factory=LatestTimes)

    def add(self, loss: Evidence) -> bool:
        """Add a loss and return whether it counts.

        Args:
            loss: The loss.
        """
        if (
            loss.at <= self._oldest()
            or self.is_cleared(loss)
            or loss.at < self.survived_at.get(loss.upstream)
        ):
            return False
        self.table.add(loss)
        return True

    def is_cleared(self, loss: Evidence) -> bool:
        """Return whether a complete response disproves a loss.

        Args:
            loss: The loss.
        """
        cleared_at = self.cleared_at.get(loss.fingerprint)
        return loss.at <= cleared_at + CLEARANCE_MARGIN_S

    def clear(self, fingerprint: str, at: float) -> list[Evidence]:
        """Remove and return the losses that a complete response disproves.

        An answer to one caller clears the content, but no loss of another
        caller.

        Args:
            fingerprint: Fingerprint of the request, or a content.
            at: Time of the response.
        """
        content = fingerprints.content_of(fingerprint) or fingerprint
        self.content_cleared_at.record(content, at)
        self.cleared_at.record(fingerprint, at)
        return self._remove(
            loss
            for loss in self.table.of_request(fingerprint)
            if loss.at <= at + CLEARANCE_MARGIN_S
        )

    def record_survival(self, upstream: str, at: float) -> list[Evidence]:
        """Remove and return the losses of an upstream that was alive later.

        Args:
            upstream: Its incarnation.
            at: When it was alive.
        """
        self.survived_at.record(upstream, at)
        return self._remove(
            loss for loss in self.table.of_upstream(upstream) if loss.at < at
        )

    def record_presence(self, upstream: str, at: float) -> list[Evidence]:
        """Remove and return the losses that were too late for a restart.

        Args:
            upstream: Incarnation of an upstream that answered.
            at: When it was asked.
        """
        return self._remove(
            loss
            for loss in self.table.of_upstream(upstream)
            if 0 < at - loss.at <= MIN_DOWNTIME_S
        )

    def _remove(self, losses: typing.Iterable[Evidence]) -> list[Evidence]:
        removed = list(losses)
        for loss in removed:
            self.table.remove(loss)
        return removed

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is quarantined.

        Args:
            fingerprint: What identifies the request.
        """
        return any(
            self.quarantine(name) is not None
            for name in fingerprints.names(fingerprint)
        )

    def quarantine(self, name: str) -> probes.Quarantine | None:
        """Return the quarantine of a name, ``None`` if there is none.

        Args:
            name: Fingerprint of a request, or a content.
        """
        if name in self.table.by_content:
            return shared_contents.quarantine_of(self.of_content(name))
        losses = self.table.by_fingerprint.get(name)
        if losses is None or len(losses) < self.loss_limit:
            return None
        times = [loss.at for loss in losses.values()]
        if max(times) <= self._oldest():
            self.table.discard(name)
            return None
        return probes.quarantine_of(times, self.loss_limit)

    def of_content(self, content: str) -> list[Evidence]:
        """Return the losses that count against a content for all callers.

        Args:
            content: Hash of the content.
        """
        since = max(
            self._oldest(),
            self.content_cleared_at.get(content) + CLEARANCE_MARGIN_S,
        )
        losses = self.table.of_content(content)
        return [loss for loss in losses if loss.at > since]

    def quarantined_names(self) -> set[str]:
        """Return the fingerprints and contents that are quarantined."""
        suspects = [
            fingerprint
            for fingerprint, losses in self.table.by_fingerprint.items()
            if len(losses) >= self.loss_limit
        ]
        suspects.extend(
            content
            for content, names in self.table.by_content.items()
            if len(names) >= shared_contents.CALLER_LIMIT
        )
        return {n for n in suspects if self.quarantine(n) is not None}

    def _oldest(self) -> float:
        return self.clock.monotonic() - evidences.MAX_AGE_S
