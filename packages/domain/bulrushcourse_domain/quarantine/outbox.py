"""Evidence that the other VMs still have to learn.

The load that it answers: connections that are reset at random, where each of
hundreds of losses a second is disproved a moment later.
"""

import collections

import attrs

from bulrushcourse_domain.quarantine import evidence as evidences

Evidence = evidences.Evidence
Kind = evidences.Kind

# A retry, which most losses are followed by, has answered within this time.
HOLD_S = 0.3


@attrs.define
class Outbox:
    """Holds back the losses that may be disproved at once.

    Attributes:
        held: Losses by the time when they are sent, oldest first.
        ready: Evidence to send now.
    """

    held: collections.OrderedDict[Evidence, float] = attrs.field(
        factory=collections.OrderedDict
    )
    ready: list[Evidence] = attrs.field(factory=list)

    def hold(self, loss: Evidence) -> None:
        """Hold back a loss.

        Args:
            loss: The loss.
        """
        self.held[loss] = loss.at + HOLD_S

    def release(self, fingerprint: str) -> None:
        """Send all losses of a request now, as it is under suspicion.

        Args:
            fingerprint: Hash of its content.
        """
        released = [e for e in self.held if e.fingerprint == fingerprint]
        for loss in released:
            del self.held[loss]
        self.ready.extend(released)

    def release_all(self) -> None:
        """Send all losses now, as no retry is going to disprove them."""
        self.ready.extend(self.held)
        self.held.clear()

    def withdraw(self, loss: Evidence) -> bool:
        """Discard a loss that was disproved.

        Args:
            loss: The loss.

        Returns:
            Whether other VMs know it and must learn what disproved it.
        """
        return self.held.pop(loss, None) is None

    def add(self, evidence: Evidence) -> None:
        """Send evidence now.

        Args:
            evidence: The evidence.
        """
        self.ready.append(evidence)

    def take(self, now: float) -> list[Evidence]:
        """Return and remove the evidence to send.

        Args:
            now: Monotonic time in seconds.
        """
        while self.held:
            loss, due = next(iter(self.held.items()))
            if due > now:
                break
            del self.held[loss]
            self.ready.append(loss)
        taken, self.ready = self.ready, []
        return taken
