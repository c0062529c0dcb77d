"""The planned stop of a VM: which requests it still begins, and until when."""

import attrs

# Callers get the VM from look-ups for some seconds after it began to stop. A
# request that arrives within this time may last as long as the VM does; the
# users' rules allow no longer time.
MAX_ACCEPT_S = 3.0
# Shares of the time limit. The first one bounds the time above. Requests are
# finished until the second one; the rest is left to close listeners and
# streams, which takes up to 0.2 s each.
ACCEPT_SHARE = 0.5
FINISH_SHARE = 0.84


@attrs.frozen
class PlannedStop:
    """A planned stop that has begun.

    Attributes:
        started: Time when it began, in seconds on the clock of the VM.
        limit_s: Time after which the platform ends the process.
    """

    started: float
    limit_s: float

    @property
    def accept_until(self) -> float:
        """Time until which all requests are begun and connections accepted."""
        accept_s = min(MAX_ACCEPT_S, self.limit_s * ACCEPT_SHARE)
        return self.started + accept_s

    @property
    def finish_until(self) -> float:
        """Time until which requests are finished; then they are cut off."""
        return self.started + self.limit_s * FINISH_SHARE

    def may_begin(self, now: float, deadline: float) -> bool:
        """Return whether a request may be sent to an upstream.

        Later on, only a request whose deadline passes before the end can have
        no open outcome at the end. Every other one is refused, since it has
        not run and another VM can serve it.

        Args:
            now: Current time.
            deadline: Time when the request is answered at the latest.

        Examples:
            >>> stop = PlannedStop(started=0.0, limit_s=10.0)
            >>> stop.may_begin(now=2.9, deadline=12.0)
            True
            >>> stop.may_begin(now=4.0, deadline=12.0)
            False
            >>> stop.may_begin(now=4.0, deadline=8.0)
            True
        """
        return now < self.accept_until or deadline < self.finish_until
