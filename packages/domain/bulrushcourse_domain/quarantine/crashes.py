"""Requests that end each upstream that runs them, over all VMs."""

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

    A whole answer clears a request: it does not crash upstreams.

    Attributes:
        clock: Source of time.
        lost: Time of each loss by upstream, by fingerprint.
        fresh: Losses since the last call of ``take_fresh``.
    """

    clock: clocks.Clock
    lost: dict[str, dict[str, float]] = attrs.field(factory=dict)
    fresh: list[tuple[str, str]] = attrs.field(factory=list)

    def note_loss(self, fingerprint: str, upstream: str) -> None:
        """Count an upstream that broke off without an answer.

        Args:
            fingerprint: Hash of the request's content.
            upstream: Incarnation of the upstream.
        """
        self.hear_loss(fingerprint, upstream)
        self.fresh.append((fingerprint, upstream))

    def hear_loss(self, fingerprint: str, upstream: str) -> None:
        """Count a loss that another VM has seen.

        Args:
            fingerprint: Hash of the request's content.
            upstream: Incarnation of the upstream.
        """
        losses = self.lost.setdefault(fingerprint, {})
        losses[upstream] = self.clock.monotonic()
        if len(self.lost) > MAX_REMEMBERED:
            self.lost.pop(next(iter(self.lost)))

    def clear(self, fingerprint: str) -> None:
        """Forget the losses of a request that had a whole answer.

        Args:
            fingerprint: Hash of the request's content.
        """
        self.lost.pop(fingerprint, None)

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request must not run.

        Args:
            fingerprint: Hash of the request's content.

        Examples:
            >>> ledger = CrashLedger(clocks.ManualClock())
            >>> for upstream in ('a', 'b'):
            ...     ledger.note_loss('f', upstream)
            >>> ledger.is_refused('f')
            True
        """
        losses = self.lost.get(fingerprint)
        if not losses:
            return False
        oldest = self.clock.monotonic() - REMEMBERED_S
        recent = [at for at in losses.values() if at > oldest]
        return len(recent) >= LIMIT

    def take_fresh(self) -> list[tuple[str, str]]:
        """Return the losses since the last call."""
        taken, self.fresh = self.fresh, []
        return taken
