"""Rate at which a VM's waiting requests find room.

Answers a lasting overload: a request that the expected rate can't serve in
time is refused on arrival rather than after a wait in vain.
"""

import math
import typing

import attrs

from bulrushcourse_domain import clock as clocks

# Shorter than a wave of demand, longer than the time between two reports.
HALF_LIFE_S = 1.0
# Below this weight of past sends, the rate is not known.
MIN_SENT = 2.0


@attrs.define
class DrainRates:
    """Decaying counts of the waiting requests that were sent, by pool.

    Attributes:
        clock: Source of time.
        sent: Count and time of its last update, by service and region.
    """

    clock: clocks.Clock
    sent: dict[tuple[str, str], tuple[float, float]] = attrs.field(
        factory=dict
    )

    def record(self, pool: tuple[str, str]) -> None:
        """Count a waiting request that was sent.

        Args:
            pool: Service and region.
        """
        now = self.clock.monotonic()
        self.sent[pool] = self._count(pool, now) + 1.0, now

    def rate_per_s(self, pool: tuple[str, str]) -> float | None:
        """Return the rate, ``None`` if too few were sent lately.

        Args:
            pool: Service and region.
        """
        count = self._count(pool, self.clock.monotonic())
        if count < MIN_SENT:
            return None
        return count * math.log(2) / HALF_LIFE_S

    def retain(self, services: typing.Container[str]) -> None:
        """Discard the rates of all other services.

        Args:
            services: Names of the services.
        """
        self.sent = {k: v for k, v in self.sent.items() if k[0] in services}

    def _count(self, pool: tuple[str, str], now: float) -> float:
        count, at = self.sent.get(pool, (0.0, now))
        return count * 0.5 ** (max(0.0, now - at) / HALF_LIFE_S)
