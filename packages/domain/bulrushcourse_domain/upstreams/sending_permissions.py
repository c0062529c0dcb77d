"""Whether this VM may send to an upstream now, and if not, until when."""

import collections
import enum
import math

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.upstreams import upstream as upstreams

# Longest pause that an upstream may ask for. A longer one is a mistake more
# likely than a wish, and would outlast the upstream's process.
MAX_PAUSE_S = 300.0
# Oldest incarnations that said that they were leaving are discarded beyond
# this number. A process that leaves ends within minutes.
MAX_LEAVING = 2000


class Reason(enum.Enum):
    """Why an upstream may not be sent requests."""

    LEAVING = 'leaving'
    PAUSED = 'retry-after'


@attrs.frozen
class Prohibition:
    """A ban on requests to one incarnation of an upstream.

    Attributes:
        reason: Its reason.
        until: Time of its end on the clock of the VM, infinite if it holds
            until the upstream restarts.
    """

    reason: Reason
    until: float


@attrs.define
class SendingPermissions:
    """Bans that upstreams state in their responses.

    An upstream that is leaving stays banned until it starts again, whatever
    its row says later: the row may be an old one that was read late. One that
    turned a request away may ask for a pause, which binds only this VM.

    Attributes:
        clock: Source of time, which includes suspended time, so that a VM
            that was suspended does not act on an outdated permission.
        leaving: Incarnations that are leaving, oldest first.
        paused_until: End of the pause by incarnation.
    """

    clock: clocks.Clock
    leaving: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )
    paused_until: dict[str, float] = attrs.field(factory=dict)

    def record_leaving(self, incarnation: str) -> bool:
        """Ban an incarnation until it has been replaced.

        Args:
            incarnation: Identifier of the upstream's process.

        Returns:
            Whether it was not known to leave.
        """
        if incarnation in self.leaving:
            return False
        self.leaving[incarnation] = None
        if len(self.leaving) > MAX_LEAVING:
            self.leaving.popitem(last=False)
        return True

    def record_pause(self, incarnation: str, seconds: float) -> float:
        """Ban an incarnation for as long as it asks for.

        A pause is never shortened by a later response that asks for less.

        Args:
            incarnation: Identifier of the upstream's process.
            seconds: Pause that it asks for; ignored unless it is finite and
                positive, and at most ``MAX_PAUSE_S``.

        Returns:
            Seconds until the end of the pause.
        """
        now = self.clock.monotonic()
        self._discard_expired(now)
        if math.isfinite(seconds) and seconds > 0:
            until = now + min(seconds, MAX_PAUSE_S)
            previous = self.paused_until.get(incarnation, until)
            self.paused_until[incarnation] = max(previous, until)
        return max(0.0, self.paused_until.get(incarnation, now) - now)

    def prohibition(self, upstream: upstreams.Upstream) -> Prohibition | None:
        """Return why an upstream may get no requests now, else ``None``.

        Args:
            upstream: The upstream.

        Examples:
            >>> permissions = SendingPermissions(clocks.ManualClock())
            >>> upstream = upstreams.Upstream('u', 's', '', 'd', 'r', born=3)
            >>> permissions.record_leaving('u@3')
            True
            >>> permissions.prohibition(upstream).reason
            <Reason.LEAVING: 'leaving'>
        """
        if not self.leaving and not self.paused_until:
            return None
        incarnation = upstream.incarnation
        if incarnation in self.leaving:
            return Prohibition(Reason.LEAVING, math.inf)
        until = self.paused_until.get(incarnation)
        if until is None or until <= self.clock.monotonic():
            return None
        return Prohibition(Reason.PAUSED, until)

    def may_send(self, upstream: upstreams.Upstream) -> bool:
        """Return whether an upstream may get a request now.

        Args:
            upstream: The upstream.
        """
        return self.prohibition(upstream) is None

    def _discard_expired(self, now: float) -> None:
        self.paused_until = {
            incarnation: until
            for incarnation, until in self.paused_until.items()
            if until > now
        }
