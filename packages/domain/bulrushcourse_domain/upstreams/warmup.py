"""Limits on requests to cold upstreams, without a coordinator."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain import rendezvous

# Only these VMs may use a cold upstream, so that the sum is bounded.
SENDERS = 2
# VMs that disagree on who is alive may double the number of senders; three
# quarters of the limit split over three senders stays within it even then.
USED_SHARE = 0.75
ASSUMED_SENDERS = 3


def sender_gap_s(per_s: float, excess: float, margin: float) -> float:
    """Return the shortest time between requests of one sender.

    Args:
        per_s: Requests a second that a cold upstream stands.
        excess: Factor on it that is tolerated.
        margin: Requests in one second that are tolerated besides.

    Examples:
        >>> sender_gap_s(10.0, 1.5, 5.0)
        0.2
    """
    allowed = (per_s * excess + margin) * USED_SHARE
    return 1.0 / max(1.0, allowed / ASSUMED_SENDERS)


@attrs.define
class WarmupLimiter:
    """Spaces the requests that this VM sends to cold upstreams.

    Attributes:
        clock: Source of time.
        vm: Name of this VM.
        excess: Factor on an upstream's rate that is tolerated.
        margin: Requests in one second that are tolerated besides.
        sent_at: Time of the last request, by upstream.
        members: Names of the VMs that are taken for alive.
        ranked: The senders of each upstream, for the present members.
    """

    clock: clocks.Clock
    vm: str
    excess: float = 1.0
    margin: float = 0.0
    sent_at: dict[str, float] = attrs.field(factory=dict)
    members: frozenset[str] = frozenset()
    ranked: dict[str, frozenset[str]] = attrs.field(factory=dict)

    def set_members(self, members: typing.Iterable[str]) -> None:
        """Set the VMs that share the limits.

        Args:
            members: Names of the VMs that are alive, this one included.
        """
        found = frozenset(members)
        if found != self.members:
            self.members = found
            self.ranked = {}

    def may_send(self, upstream: str, per_s: float) -> bool:
        """Return whether this VM may use a cold upstream now.

        Args:
            upstream: Name of the upstream.
            per_s: Requests a second that it stands.
        """
        if self.vm not in self._senders(upstream):
            return False
        gap = sender_gap_s(per_s, self.excess, self.margin)
        last = self.sent_at.get(upstream, float('-inf'))
        return self.clock.monotonic() - last >= gap

    def record_sent(self, upstream: str) -> None:
        """Count a request to a cold upstream.

        Args:
            upstream: Name of the upstream.
        """
        self.sent_at[upstream] = self.clock.monotonic()

    def _senders(self, upstream: str) -> frozenset[str]:
        if upstream not in self.ranked:
            self.ranked[upstream] = frozenset(
                rendezvous.first(upstream, self.members, SENDERS)
            )
        return self.ranked[upstream]
