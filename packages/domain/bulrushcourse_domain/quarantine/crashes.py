"""Requests that end each upstream that runs them, over all VMs."""

import collections

import attrs

from bulrushcourse_domain import clock as clocks

# Losses of different upstreams after which a request is refused. Upstreams
# also crash for other reasons, so one loss proves nothing.
LIMIT = 2
REMEMBERED_S = 60.0
MAX_REMEMBERED = 5000


@attrs.define
class CrashLedger:
    """Upstreams that were lost while they ran a request, by its content.

    A request that ends every upstream never gets a whole answer. One that
    had an answer is therefore never refused: it was at work when upstreams
    ended for other reasons.

    Attributes:
        clock: Source of time.
        lost: Time of each loss by upstream, by fingerprint.
        proven: Requests that had a whole answer, the latest last.
    """

    clock: clocks.Clock
    lost: dict[str, dict[str, float]] = attrs.field(factory=dict)
    proven: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )

    def record_loss(self, fingerprint: str, upstream: str) -> None:
        """Count an upstream that broke off, at this VM or another one.

        Args:
            fingerprint: Hash of the request's content.
            upstream: Incarnation of the upstream.
        """
        losses = self.lost.setdefault(fingerprint, {})
        losses[upstream] = self.clock.monotonic()
        if len(self.lost) > MAX_REMEMBERED:
            self.lost.pop(next(iter(self.lost)))

    def clear(self, fingerprint: str) -> None:
        """Note that a request had a whole answer.

        Args:
            fingerprint: Hash of the request's content.
        """
        self.lost.pop(fingerprint, None)
        self.proven[fingerprint] = None
        self.proven.move_to_end(fingerprint)
        if len(self.proven) > MAX_REMEMBERED:
            self.proven.popitem(last=False)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not run.

        Args:
            fingerprint: Hash of the request's content.

        Examples:
            >>> ledger = CrashLedger(clocks.ManualClock())
            >>> for upstream in ('a', 'b'):
            ...     ledger.record_loss('f', upstream)
            >>> ledger.is_quarantined('f')
            True
        """
        losses = self.lost.get(fingerprint)
        if not losses or fingerprint in self.proven:
            return False
        oldest = self.clock.monotonic() - REMEMBERED_S
        recent = [at for at in losses.values() if at > oldest]
        return len(recent) >= LIMIT
