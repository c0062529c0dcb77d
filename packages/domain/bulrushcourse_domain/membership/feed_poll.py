"""Calls to the store that wait for changes and may have gone silent."""

import math
import random

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
# Pause of a reader after a failed call; the other VMs begin with the same one.
MIN_RETRY_PAUSE_S = 0.5
# Longest pause of the other VMs, as a share of the time in which VMs have to
# recover. They learn changes from the readers as well, and in an outage each
# call of theirs adds to the load of the store.
MAX_RETRY_PAUSE_SHARE = 0.5


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
        longest_wait_s: Time after which this VM needs an answer, also if
            nothing has changed.

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
    longest_wait_s: float = math.inf

    @property
    def wait_s(self) -> float:
        """How long the store may hold the call back, in seconds."""
        longest_s = min(DEFAULT_WAIT_S, self.longest_wait_s)
        if not self.is_reader:
            return longest_s
        return min(longest_s, self.reconnect_s * READER_WAIT_RATIO)

    def abandon_at(self, suspected: float) -> float:
        """Return when to repeat the call on a new connection.

        Args:
            suspected: Time when something suggested that it is silent.
        """
        return max(
            suspected + ANSWER_MARGIN_S,
            self.started + self.reconnect_s * MIN_AGE_SHARE,
        )


def retry_pause_s(
    failures: int, reconnect_s: float, is_reader: bool, rng: random.Random
) -> float:
    """Return the pause after failed calls, in seconds.

    Args:
        failures: Number of failed calls since the last successful one.
        reconnect_s: Time in which a VM has to recover from an outage.
        is_reader: Whether other VMs rely on this one.
        rng: Source of randomness, so that the VMs do not call together.

    Examples:
        >>> retry_pause_s(9, 4.0, True, random.Random(1))
        0.5
        >>> 1.0 <= retry_pause_s(9, 4.0, False, random.Random(1)) <= 2.0
        True
    """
    if is_reader:
        return MIN_RETRY_PAUSE_S
    longest_s = max(MIN_RETRY_PAUSE_S, reconnect_s * MAX_RETRY_PAUSE_SHARE)
    # The exponent is bounded because the number of failures is not.
    doubled_s = MIN_RETRY_PAUSE_S * 2 ** min(failures, 10)
    return rng.uniform(0.5, 1.0) * min(longest_s, doubled_s)
