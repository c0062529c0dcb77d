"""A limit with this entry's shares and usage."""

import math
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.limits import ledger as ledgers
from bulrushcourse_domain.limits import rate_window
from bulrushcourse_domain.limits import share_ledger

# Units requested per unit used, so that use may grow between renewals.
DEMAND_GROWTH_RATIO = 1.25
# Share of the cap that is requested while there is any use. A share sized for
# a few small requests would not hold one chunk of 16 KiB, so that a link with
# room would look full until the next round.
MIN_DEMAND_SHARE = 1 / 64


@attrs.define(eq=False)
class LocalLimit:
    """A limit of the active configuration, as this entry enforces it.

    Attributes:
        limit: The limit as it was published.
        shares: This entry's shares.
        window: Charges of this entry.
        exhausted: Whether the shares were exhausted since the last round.
        peak: Largest number of units in a window since the last round.
        last_peak: The peak of the round before.
    """

    limit: objects.Limit
    shares: share_ledger.ShareLedger
    window: rate_window.RateWindow
    exhausted: bool = False
    peak: int = 0
    last_peak: int = 0

    @property
    def key(self) -> str:
        """Key of the ledger's row."""
        return f'limits/{self.limit.name}'

    def try_charge(self, amount: int) -> bool:
        """Charge an amount before it is sent; return false if it has no room.

        Args:
            amount: Units to charge.
        """
        charged = self.window.try_charge(amount, self.shares.usable)
        self.record_use(not charged)
        return charged

    def record_use(self, exhausted: bool) -> None:
        """Record the present use as demand for the next round.

        Args:
            exhausted: Whether there was no room for an amount.
        """
        self.peak = max(self.peak, self.window.in_use())
        self.exhausted = self.exhausted or exhausted

    def collect_demand(self) -> int:
        """Return the demand of this round and reset it for the next."""
        cap = self.shares.terms.cap
        used = max(self.peak, self.last_peak)
        demand = max(
            int(used * DEMAND_GROWTH_RATIO), math.ceil(cap * MIN_DEMAND_SHARE)
        )
        demand = cap if self.exhausted else min(cap, demand if used else 0)
        self.last_peak, self.peak = self.peak, 0
        self.exhausted = False
        return demand

    def dump(self) -> dict[str, typing.Any]:
        """Return shares and usage for a state dump."""
        shares = self.shares
        return {
            'cap': shares.terms.cap,
            'version': shares.terms.version,
            'usable': shares.usable,
            'floor': shares.floor,
            'in_use': self.window.in_use(),
            'lease_ends_in_s': round(
                shares.expires_at - shares.clock.monotonic(), 3
            )
            if shares.elastic
            else None,
        }


def build_limit(
    clock: clocks.Clock,
    limit: objects.Limit,
    terms: ledgers.Terms,
    holder: str,
    vm: tuple[str, str],
) -> LocalLimit:
    """Return a limit without charges.

    Args:
        clock: Source of time.
        limit: The limit as it was published.
        terms: Its terms.
        holder: Identifier of this incarnation.
        vm: Identifier of this VM and name of its configured entry.
    """
    windows = {
        objects.LimitKind.LINK: rate_window.BYTES_WINDOW_S,
        objects.LimitKind.SHIFT: rate_window.REQUESTS_WINDOW_S,
    }
    return LocalLimit(
        limit,
        share_ledger.build_ledger(clock, holder, *vm, terms),
        rate_window.RateWindow(clock, windows[limit.kind]),
    )
