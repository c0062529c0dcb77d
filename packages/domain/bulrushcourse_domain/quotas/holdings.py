"""What a VM holds of the accounts whose requests reach it.

Load: up to 10,000 accounts, of which those with requests in the last seconds
are kept.
"""

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.quotas import place_states
from bulrushcourse_domain.quotas import token_stock

# An account without requests for this long is forgotten; its tokens have
# expired.
IDLE_S = 10.0
# Time between two reports that an account is over its quota.
REPORT_INTERVAL_S = 5.0


@attrs.define
class Holding:
    """Tokens of one account and where to ask for more.

    Attributes:
        stock: Unused tokens.
        places: Places that had none or could not tell.
        admitted: Requests admitted.
        refused: Requests refused.
        reported_at: Time when it was last reported that the account is over
            its quota, monotonic seconds.
    """

    stock: token_stock.TokenStock
    places: place_states.PlaceStates = attrs.field(
        factory=place_states.PlaceStates
    )
    admitted: int = 0
    refused: int = 0
    reported_at: float = float('-inf')

    def should_report(self, now: float) -> bool:
        """Return whether to report now that the account is over its quota.

        Args:
            now: Monotonic seconds.
        """
        if now - self.reported_at < REPORT_INTERVAL_S:
            return False
        self.reported_at = now
        return True


@attrs.define(eq=False)
class Holdings:
    """Holdings of the accounts at this VM.

    Attributes:
        clock: Source of time.
        by_account: Holdings by the name of the account.
        returns: Tokens to send back to their owners.
    """

    clock: clocks.Clock
    by_account: dict[str, Holding] = attrs.field(factory=dict)
    returns: token_stock.Returns = attrs.field(factory=token_stock.Returns)

    def of(self, account: str) -> Holding:
        """Return the holding of an account.

        Args:
            account: Name of the account.
        """
        holding = self.by_account.get(account)
        if holding is None:
            holding = Holding(token_stock.TokenStock(account, self.returns))
            self.by_account[account] = holding
        return holding

    def expire(self) -> None:
        """Return expired tokens and forget accounts without requests."""
        now = self.clock.monotonic()
        for holding in self.by_account.values():
            if holding.stock.tokens:
                holding.stock.return_expired(now)
        self.by_account = {
            name: holding
            for name, holding in self.by_account.items()
            if not holding.stock.is_idle(now, IDLE_S)
        }
