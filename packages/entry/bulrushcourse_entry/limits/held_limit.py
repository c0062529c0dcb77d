"""One limit with this entry's shares and what was charged to them."""

import math
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.limits import ledger as ledgers
from bulrushcourse_domain.limits import rate_window
from bulrushcourse_domain.limits import share_ledger

# Asks for more than is used, so that demand may grow between renewals.
GROWTH = 1.25
# Part of the cap that is asked for while there is any use. A share cut down to
# a few small requests would not hold one piece of 16 KiB, so that a link with
# room looked full until the next round.
LEAST_PART = 1 / 64


@attrs.define(eq=False)
class HeldLimit:
    """A limit of the configuration in force.

    Attributes:
        limit: The limit as it was published.
        shares: This entry's shares.
        window: Charges of this entry.
        turned_away: Whether the shares lacked room since the last round.
        peak: Most units in a window since the last round.
        last_peak: The same of the round before.
    """

    limit: objects.Limit
    shares: share_ledger.ShareLedger
    window: rate_window.RateWindow
    turned_away: bool = False
    peak: int = 0
    last_peak: int = 0

    @property
    def key(self) -> str:
        """Key of the row with the ledger."""
        return f'limits/{self.limit.name}'

    def charge(self, amount: int) -> bool:
        """Charge an amount that is about to flow if there is room.

        Args:
            amount: Units that are to flow.
        """
        charged = self.window.charge(amount, self.shares.usable)
        self.note_use(not charged)
        return charged

    def note_use(self, turned_away: bool) -> None:
        """Remember how much was used, as demand of the next round.

        Args:
            turned_away: Whether an amount found no room.
        """
        self.peak = max(self.peak, self.window.in_use())
        self.turned_away = self.turned_away or turned_away

    def take_demand(self) -> int:
        """Return the demand of the round and begin the next."""
        cap = self.shares.terms.cap
        used = max(self.peak, self.last_peak)
        demand = max(int(used * GROWTH), math.ceil(cap * LEAST_PART))
        demand = cap if self.turned_away else min(cap, demand if used else 0)
        self.last_peak, self.peak = self.peak, 0
        self.turned_away = False
        return demand

    def dump(self) -> dict[str, typing.Any]:
        """Return shares and use for a state dump."""
        shares = self.shares
        return {
            'cap': shares.terms.cap,
            'version': shares.terms.version,
            'usable': shares.usable,
            'floor': shares.floor,
            'in_use': self.window.in_use(),
            'lease_ends_in_s': round(
                shares.expires - shares.clock.monotonic(), 3
            )
            if shares.elastic
            else None,
        }


def open_limit(
    clock: clocks.Clock,
    limit: objects.Limit,
    terms: ledgers.Terms,
    holder: str,
    vm: tuple[str, str],
) -> HeldLimit:
    """Return a limit that nothing was charged to.

    Args:
        clock: Source of time.
        limit: The limit as it was published.
        terms: Its terms.
        holder: Identifier of this incarnation.
        vm: Identifier of this VM and name of its seat.
    """
    windows = {
        objects.LimitKind.LINK: rate_window.BYTES_WINDOW_S,
        objects.LimitKind.SHIFT: rate_window.REQUESTS_WINDOW_S,
    }
    return HeldLimit(
        limit,
        share_ledger.open_ledger(clock, holder, *vm, terms),
        rate_window.RateWindow(clock, windows[limit.kind]),
    )
