"""Attempts without an answer that may, or may not, have crashed an upstream.

The load that it answers: responses that upstreams truncate though they live,
or that a cut of the network or a lack of memory here ends, beside requests
that crash their upstreams after the first bytes of the response.
"""

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.quarantine import evidence as evidences
from bulrushcourse_domain.quarantine import loss_table

Evidence = evidences.Evidence

# The end of a process that is seen later has another cause: an upstream that
# crashed refuses connections at once, and is back after some seconds.
CONFIRMABLE_FOR_S = 10.0
# A process that ends takes all its connections with it.
SAME_MOMENT_S = 0.1


@attrs.define
class UnconfirmedLosses:
    """Losses that count once the end of the upstream's process is seen.

    Attributes:
        clock: Source of time.
        table: The losses.
    """

    clock: clocks.Clock
    table: loss_table.LossTable = attrs.field(factory=loss_table.LossTable)

    def add(self, loss: Evidence) -> None:
        """Add a loss.

        Args:
            loss: The loss.
        """
        self._expire()
        self.table.add(loss)

    def _expire(self) -> None:
        oldest = self.clock.monotonic() - CONFIRMABLE_FOR_S
        by_fingerprint = self.table.by_fingerprint
        while by_fingerprint:
            # The request with the earliest latest loss is the first one.
            fingerprint, losses = next(iter(by_fingerprint.items()))
            if max(loss.at for loss in losses.values()) > oldest:
                break
            self.table.discard(fingerprint)

    def take_ended(self, upstream: str) -> list[Evidence]:
        """Remove and return the losses by which a process may have ended.

        Args:
            upstream: Incarnation of the upstream that has ended.
        """
        oldest = self.clock.monotonic() - CONFIRMABLE_FOR_S
        taken = self.table.of_upstream(upstream)
        for loss in taken:
            self.table.remove(loss)
        return [loss for loss in taken if loss.at > oldest]

    def take_simultaneous(self, upstream: str, at: float) -> list[Evidence]:
        """Remove and return the losses of an upstream at one moment.

        Args:
            upstream: Incarnation of the upstream.
            at: When another of its connections broke.
        """
        taken = [
            loss
            for loss in self.table.of_upstream(upstream)
            if abs(loss.at - at) <= SAME_MOMENT_S
        ]
        for loss in taken:
            self.table.remove(loss)
        return taken

    def former(self, name: str, incarnation: str) -> list[str]:
        """Return the earlier incarnations of an upstream with losses.

        Args:
            name: Name of the upstream.
            incarnation: Its present incarnation.
        """
        return [
            other
            for other in self.table.by_upstream
            if other != incarnation and other.rpartition('@')[0] == name
        ]

    def refute(self, upstream: str, since: float, before: float) -> None:
        """Discard the losses of an upstream that has answered since.

        Args:
            upstream: Its incarnation.
            since: Earliest time of a loss that the answer refutes.
            before: When the upstream was asked.
        """
        for loss in self.table.of_upstream(upstream):
            if since <= loss.at < before:
                self.table.remove(loss)
