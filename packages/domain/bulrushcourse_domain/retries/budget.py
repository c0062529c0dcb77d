"""The budget of a service for retries and hedges together."""

import attrs

SHARE = 0.05
MAX_SAVED = 20.0
# Sums of shares of exactly one unit must not fall short by rounding.
ROUNDING = 1e-9


@attrs.define
class RetryBudget:
    """Allows extra runs up to a share of the primary work.

    Each entry keeps a budget for each service. At every instant the extra
    runs are at most the share of the primary runs since the entry started,
    so the sum over all entries stays within the share too.

    Attributes:
        share: Extra runs per primary run.
        max_saved: Largest number of extra runs that is saved up, which
            bounds the burst when an outage begins.
        tokens: Extra runs that may be spent now.
        primary: Primary runs so far.
        extra: Extra runs so far.
    """

    share: float = SHARE
    max_saved: float = MAX_SAVED
    tokens: float = 0.0
    primary: int = 0
    extra: int = 0

    def record_primary(self) -> None:
        """Count the first run of a request."""
        self.primary += 1
        self.tokens = min(self.max_saved, self.tokens + self.share)

    def try_spend(self) -> bool:
        """Return whether an extra run is allowed; if so, it is counted.

        Examples:
            >>> budget = RetryBudget()
            >>> for _ in range(20):
            ...     budget.record_primary()
            >>> budget.try_spend(), budget.try_spend()
            (True, False)
        """
        if self.tokens < 1 - ROUNDING:
            return False
        self.tokens = max(0.0, self.tokens - 1)
        self.extra += 1
        return True
