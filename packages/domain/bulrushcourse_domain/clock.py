"""Clocks that are passed into every decision.

Decisions never read the time themselves, so that a test or another front end
can drive them with a clock of its own.
"""

import datetime
import time
import typing

import attrs


class Clock(typing.Protocol):
    """Source of time for decisions."""

    def monotonic(self) -> float:
        """Return seconds from a fixed origin, suspended time included."""
        ...

    def wall(self) -> datetime.datetime:
        """Return the current time in UTC."""
        ...


@attrs.frozen
class SystemClock:
    """Clock of this machine.

    ``CLOCK_BOOTTIME`` also counts the time a VM was suspended, so that a
    lease cannot outlive a suspension of its holder.
    """

    def monotonic(self) -> float:
        """Return seconds since boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> datetime.datetime:
        """Return the current time in UTC."""
        return datetime.datetime.now(datetime.UTC)


@attrs.define
class ManualClock:
    """Clock that moves only when it is told to.

    Attributes:
        now: Seconds since the clock's origin.

    Examples:
        >>> clock = ManualClock()
        >>> clock.advance(1.5)
        >>> clock.monotonic()
        1.5
    """

    now: float = 0.0

    def monotonic(self) -> float:
        """Return the seconds that the clock was advanced by."""
        return self.now

    def wall(self) -> datetime.datetime:
        """Return the epoch plus the seconds that the clock was advanced by."""
        return datetime.datetime.fromtimestamp(self.now, datetime.UTC)

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        Args:
            seconds: Amount to add, not negative.
        """
        self.now += seconds
