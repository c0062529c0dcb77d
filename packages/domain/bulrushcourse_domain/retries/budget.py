"""Budget of a service for retries and hedges together."""

import attrs

EXTRA_RUN_SHARE = 0.05
MAX_TOKENS = 20.0
# Shares that add up to one token count as one in spite of rounding errors.
ROUNDING_TOLERANCE = 1e-9


@attrs.define
class RetryBudget:
    """Token bucket that allows extra runs in proportion to primary runs.

    Each entry keeps a budget for each service. At any time the extra runs are
    at most the given share of the primary runs since the entry started, so
    their sum over all entries stays within the share too.

    Attributes:
        share: Extra runs per primary run.
        max_tokens: Largest number of tokens, which bounds the burst when an
            outage begins.
        tokens: Extra runs that are allowed now.
        primary_runs: Number of primary runs so far.
        extra_runs: Number of extra runs so far.
    """

    share: float = EXTRA_RUN_SHARE
    max_tokens: float = MAX_TOKENS
    tokens: float = 0.0
    primary_runs: int = 0
    extra_runs: int = 0

    def record_primary(self) -> None:
        """Count the first run of a request."""
        self.primary_runs += 1
        self.tokens = min(self.max_tokens, self.tokens + self.share)

    def try_spend(self) -> bool:
        """Spend a token for an extra run; return whether there was one.

        Examples:
            >>> budget = RetryBudget()
            >>> for _ in range(20):
            ...     budget.record_primary()
            >>> budget.try_spend(), budget.try_spend()
            (True, False)
        """
        if self.tokens < 1 - ROUNDING_TOLERANCE:
            return False
        self.tokens = max(0.0, self.tokens - 1)
        self.extra_runs += 1
        return True
