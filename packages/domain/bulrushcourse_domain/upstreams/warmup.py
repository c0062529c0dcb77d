"""Rate limits of cold upstreams, kept by all VMs without coordination."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain import rendezvous

# Number of VMs that may send to a cold upstream, which bounds the sum of their
# requests.
SENDERS_PER_UPSTREAM = 2
# VMs that disagree on which VMs are alive may double the number of senders to
# four. Each sender may use a third of three quarters of the limit, so that
# four of them stay within it.
USABLE_SHARE = 0.75
ASSUMED_SENDERS = 3


def min_interval_s(per_s: float, excess: float, margin: float) -> float:
    """Return the shortest time between requests of one sender.

    Args:
        per_s: Requests per second that a cold upstream can handle.
        excess: Tolerated factor on that rate.
        margin: Requests in one second that are tolerated in addition.

    Examples:
        >>> min_interval_s(10.0, 1.5, 5.0)
        0.2
    """
    allowed = (per_s * excess + margin) * USABLE_SHARE
    return 1.0 / max(1.0, allowed / ASSUMED_SENDERS)


@attrs.define
class WarmupLimiter:
    """Spaces the requests that this VM sends to cold upstreams.

    Attributes:
        clock: Source of time.
        vm: Name of this VM.
        excess: Tolerated factor on an upstream's rate.
        margin: Requests in one second that are tolerated in addition.
        chosen_at: Time of the last choice, by upstream.
        members: Names of the VMs that are considered alive.
        senders: VMs that may send to each upstream, cached until the members
            change.
    """

    clock: clocks.Clock
    vm: str
    excess: float = 1.0
    margin: float = 0.0
    chosen_at: dict[str, float] = attrs.field(factory=dict)
    members: frozenset[str] = frozenset()
    senders: dict[str, frozenset[str]] = attrs.field(factory=dict)

    def set_members(self, members: typing.Iterable[str]) -> None:
        """Set the VMs that share the limits.

        Args:
            members: Names of the VMs that are alive, this one included.
        """
        alive = frozenset(members)
        if alive != self.members:
            self.members = alive
            self.senders = {}

    def may_send(self, upstream: str, per_s: float) -> bool:
        """Return whether this VM may send to a cold upstream now.

        Args:
            upstream: Name of the upstream.
            per_s: Requests per second that it can handle.
        """
        if self.vm not in self._senders(upstream):
            return False
        interval_s = min_interval_s(per_s, self.excess, self.margin)
        last = self.chosen_at.get(upstream, float('-inf'))
        return self.clock.monotonic() - last >= interval_s

    def record_chosen(self, upstream: str) -> None:
        """Count a request for which a cold upstream was chosen.

        Args:
            upstream: Name of the upstream.
        """
        self.chosen_at[upstream] = self.clock.monotonic()

    def _senders(self, upstream: str) -> frozenset[str]:
        if upstream not in self.senders:
            self.senders[upstream] = frozenset(
                rendezvous.top(upstream, self.members, SENDERS_PER_UPSTREAM)
            )
        return self.senders[upstream]
