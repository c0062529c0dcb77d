"""Events of a model in the order of their times, with a manual clock."""

import heapq
import itertools
import random
import typing

import attrs

from bulrushcourse_domain import clock as clocks


class EventModel:
    """Runs events that are added while others run.

    Attributes:
        rng: Source of randomness.
        clock: The time of the present event.
        queue: Events to come, with their times and order.
        numbers: Source of unique numbers.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.queue: list[typing.Any] = []
        self.numbers = itertools.count()

    def at(
        self, at: float, action: typing.Callable[..., None], *arguments: object
    ) -> None:
        """Add an event.

        Args:
            at: Its time in seconds.
            action: Called at that time.
            *arguments: Arguments of the call.
        """
        heapq.heappush(self.queue, (at, next(self.numbers), action, arguments))

    def run_until(self, end: float) -> None:
        """Run the events before a time.

        Args:
            end: The time in seconds.
        """
        while self.queue and self.queue[0][0] < end:
            at, _, action, arguments = heapq.heappop(self.queue)
            self.clock.now = at
            action(*arguments)


@attrs.define
class Result:
    """What a run of a quarantine counts.

    Attributes:
        crashed_at: Time of each crash by the crash-inducing request.
        sound: Sound requests.
        refused: Sound requests that were refused as quarantined.
    """

    crashed_at: list[float] = attrs.field(factory=list)
    sound: int = 0
    refused: int = 0


def late_events(
    crashed_at: typing.Iterable[float],
    counted_at: typing.Iterable[float],
    contact_s: float,
) -> int:
    """Return how many events come after the contact time.

    Args:
        crashed_at: Time of each crash in seconds.
        counted_at: Time of each event that may be late.
        contact_s: Time after the third crash in which all VMs know it.

    Examples:
        >>> late_events([1.0, 2.0, 3.0], [4.0, 7.0], 3.0)
        1
    """
    crashes = sorted(crashed_at)
    if len(crashes) < 3:
        return 0
    return sum(at > crashes[2] + contact_s for at in counted_at)
