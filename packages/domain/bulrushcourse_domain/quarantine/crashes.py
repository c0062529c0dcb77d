"""Losses of upstreams by request content, over all VMs."""

import collections

import attrs

from bulrushcourse_domain import clock as clocks

# Losses of different upstreams that quarantine a request. Upstreams also crash
# for other reasons, so one loss proves nothing.
LOSS_LIMIT = 2
LOSS_MAX_AGE_S = 60.0
MAX_FINGERPRINTS = 5000


@attrs.define
class CrashLedger:
    """Losses of upstreams while they ran a request, by its content.

    A request that crashes every upstream never gets a complete response. One
    that did is therefore never quarantined: it only happened to be running
    when upstreams crashed for other reasons.

    Attributes:
        clock: Source of time.
        losses: Time of each loss, by fingerprint and incarnation of the
            upstream.
        proven: Fingerprints that got a complete response, the latest last.
    """

    clock: clocks.Clock
    losses: dict[str, dict[str, float]] = attrs.field(factory=dict)
    proven: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )

    def record_loss(self, fingerprint: str, upstream: str) -> None:
        """Record the loss of an upstream, observed by any VM.

        Args:
            fingerprint: Hash of the request's content.
            upstream: Incarnation of the upstream.
        """
        losses = self.losses.setdefault(fingerprint, {})
        losses[upstream] = self.clock.monotonic()
        if len(self.losses) > MAX_FINGERPRINTS:
            self.losses.pop(next(iter(self.losses)))

    def clear(self, fingerprint: str) -> None:
        """Record that a request got a complete response.

        Args:
            fingerprint: Hash of the request's content.
        """
        self.losses.pop(fingerprint, None)
        self.proven[fingerprint] = None
        self.proven.move_to_end(fingerprint)
        if len(self.proven) > MAX_FINGERPRINTS:
            self.proven.popitem(last=False)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is quarantined and must not run.

        Args:
            fingerprint: Hash of the request's content.

        Examples:
            >>> ledger = CrashLedger(clocks.ManualClock())
            >>> for upstream in ('a', 'b'):
            ...     ledger.record_loss('f', upstream)
            >>> ledger.is_quarantined('f')
            True
        """
        losses = self.losses.get(fingerprint)
        if not losses or fingerprint in self.proven:
            return False
        oldest = self.clock.monotonic() - LOSS_MAX_AGE_S
        recent = [at for at in losses.values() if at > oldest]
        return len(recent) >= LOSS_LIMIT
