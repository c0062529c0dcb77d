"""A rate limit that holds in every interval of one second."""

import collections
import math

import attrs

from bulrushcourse_domain import clock as clocks

# Caps are per second. The window is longer, so that the cap also holds at the
# receiver when the network delays chunks unevenly. At 1.03 s a sender can use
# 97% of its share, at 1.1 s 90.9%; the target is 90%.
BYTES_WINDOW_S = 1.03
REQUESTS_WINDOW_S = 1.1
BUCKETS_PER_WINDOW = 200
# Keeps a wait from ending before the window does because of rounding.
ROUNDING_MARGIN_S = 1e-6


@attrs.define
class RateWindow:
    """Sliding window in which the sum of charges never exceeds the share.

    Charges close in time are stored in one bucket that expires with the
    latest of them. This bounds the memory and never counts too little.

    Attributes:
        clock: Source of time.
        window_s: Length of the window.
        charges: Buckets of charges, oldest first, each with the clock
            seconds of its first and its latest charge and their sum.
        used: Sum of the stored charges.
    """

    clock: clocks.Clock
    window_s: float = BYTES_WINDOW_S
    charges: collections.deque[list[float]] = attrs.field(
        factory=collections.deque
    )
    used: int = 0

    def in_use(self) -> int:
        """Return the sum of the charges in the window that ends now."""
        now = self.clock.monotonic()
        while self.charges and self.charges[0][1] + self.window_s <= now:
            self.used -= int(self.charges.popleft()[2])
        return self.used

    def try_charge(self, amount: int, share: int) -> bool:
        """Charge an amount if the share has room for it.

        Args:
            amount: Units that are about to be sent.
            share: Maximum of units in a window now.

        Returns:
            Whether the amount was charged and may be sent.

        Examples:
            >>> clock = clocks.ManualClock()
            >>> window = RateWindow(clock)
            >>> window.try_charge(6, 10), window.try_charge(6, 10)
            (True, False)
            >>> clock.advance(1.03)
            >>> window.try_charge(6, 10)
            True
        """
        if self.in_use() + amount > share:
            return False
        self.used += amount
        now = self.clock.monotonic()
        last = self.charges[-1] if self.charges else None
        if last and now - last[0] < self.window_s / BUCKETS_PER_WINDOW:
            last[1], last[2] = now, last[2] + amount
        else:
            self.charges.append([now, now, amount])
        return True

    def wait_s(self, amount: int, share: int) -> float:
        """Return the seconds until an amount has room, infinite if never.

        Args:
            amount: Units to be sent.
            share: Maximum of units in a window.
        """
        excess = self.in_use() + amount - share
        if excess <= 0:
            return 0.0
        now = self.clock.monotonic()
        for _, latest, charged in self.charges:
            excess -= int(charged)
            if excess <= 0:
                return (
                    max(0.0, latest + self.window_s - now) + ROUNDING_MARGIN_S
                )
        return math.inf
