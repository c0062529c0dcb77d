"""This VM's share of the retry budget that all VMs share."""

import attrs

# Share of the budget that is used, so that VMs that join or restart do not
# make the sum exceed it.
USABLE_SHARE = 0.75
# Number of VMs that may be joining: a VM that starts is not counted yet.
ASSUMED_JOINERS = 4


@attrs.define
class SharedRetryBudget:
    """Token bucket of this VM for retries of requests to one service.

    Each VM may spend a share of the requests that it received itself, and an
    equal part of a fixed number of retries per window. The sum over all VMs
    thus stays within the budget without any messages.

    Attributes:
        ratio: Retries per request.
        extra: Additional retries per window, over all VMs.
        window_s: Length of the window.
        tokens: Retries that are allowed now.
        refilled_at: Time of the last refill.
    """

    ratio: float
    extra: float
    window_s: float
    tokens: float = 1.0
    refilled_at: float = 0.0

    def record_request(self) -> None:
        """Add the tokens earned by the first attempt of a request.

        The number of tokens is bounded, so that a quiet period does not allow
        a burst of retries in one window.
        """
        self.tokens = min(
            self.max_tokens(), self.tokens + self.ratio * USABLE_SHARE
        )

    def max_tokens(self) -> float:
        """Return the largest number of tokens."""
        return max(3.0, self.extra * USABLE_SHARE / 4)

    def try_spend(self, now: float, members: int) -> bool:
        """Spend a token for a retry; return whether there was one.

        Args:
            now: Time in seconds.
            members: Number of VMs that share the budget.

        Examples:
            >>> budget = SharedRetryBudget(0.2, 0.0, 10.0, tokens=1.0)
            >>> budget.try_spend(0.0, 3), budget.try_spend(0.0, 3)
            (True, False)
        """
        rate = self.extra / self.window_s / (members + ASSUMED_JOINERS)
        elapsed = min(self.window_s, max(0.0, now - self.refilled_at))
        self.refilled_at = now
        refill = elapsed * rate * USABLE_SHARE
        self.tokens = min(self.max_tokens(), self.tokens + refill)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
