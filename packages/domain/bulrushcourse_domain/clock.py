"""Clocks, which are passed to the code that needs the time.

Decisions never read the system time themselves, so that a test or another
front end can run them with its own clock.
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

    ``CLOCK_BOOTTIME`` includes the time that a VM was suspended, so a lease
    also expires while its holder is suspended.
    """

    def monotonic(self) -> float:
        """Return seconds since boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> datetime.datetime:
        """Return the current time in UTC."""
        return datetime.datetime.now(datetime.UTC)


@attrs.define
class ManualClock:
    """Clock for tests that moves only when it is advanced.

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
            seconds: Seconds to add, not negative.
        """
        self.now += seconds
