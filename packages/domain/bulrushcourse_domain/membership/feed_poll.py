"""Calls to the store that wait for changes and may have gone silent."""

import attrs

# A designated reader waits for this multiple of the time in which VMs have to
# recover. Each call of it counts against the rate that the store allows.
READER_WAIT_RATIO = 2.0
# Time for which VMs wait whose updates come from the readers as well.
DEFAULT_WAIT_S = 20.0
# A suspected call is repeated no sooner than this share of the time in which
# VMs have to recover, which bounds the rate of the calls.
MIN_AGE_SHARE = 0.3
# Time within which the store answers all VMs after a change. Another VM may
# have its answer while that of this VM is on its way.
ANSWER_MARGIN_S = 0.15


@attrs.frozen
class FeedPoll:
    """A call that waits for changes.

    An open connection may go silent without a reset, so that such a call gets
    no answer before its own time-out. A newer state at another VM, and a
    time-out of another call or stream, suggest that.

    Attributes:
        started: Time when the call was sent, in seconds.
        reconnect_s: Time in which a VM has to recover from silent connections.
        is_reader: Whether other VMs rely on this one.

    Examples:
        >>> poll = FeedPoll(started=10.0, reconnect_s=3.0, is_reader=False)
        >>> round(poll.abandon_at(suspected=14.0), 2)
        14.15
        >>> round(poll.abandon_at(suspected=10.2), 2)
        10.9
    """

    started: float
    reconnect_s: float
    is_reader: bool

    @property
    def wait_s(self) -> float:
        """How long the store may hold the call back, in seconds."""
        if not self.is_reader:
            return DEFAULT_WAIT_S
        return min(DEFAULT_WAIT_S, self.reconnect_s * READER_WAIT_RATIO)

    def abandon_at(self, suspected: float) -> float:
        """Return when to repeat the call on a new connection.

        Args:
            suspected: Time when something suggested that it is silent.
        """
        return max(
            suspected + ANSWER_MARGIN_S,
            self.started + self.reconnect_s * MIN_AGE_SHARE,
        )
