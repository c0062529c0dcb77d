"""This VM's part of the budget for second sends that all VMs share."""

import attrs

# Part of the shared allowance that is used, so that VMs that join or start
# again do not push the sum over it.
USED_SHARE = 0.75
# VMs that join during the day are not counted yet when they start.
ASSUMED_JOINERS = 4


@attrs.define
class SharedRetryBudget:
    """Allows second sends to one service.

    Each VM may spend a share of the requests that it saw itself, and an
    equal part of the fixed allowance per window, so the sum over all VMs
    stays within the budget without any messages.

    Attributes:
        ratio: Second sends per request.
        extra: Second sends per window besides, over all VMs.
        window_s: Length of the window.
        tokens: Second sends that may be spent now.
        at: Time of the last refill.
    """

    ratio: float
    extra: float
    window_s: float
    tokens: float = 1.0
    at: float = 0.0

    def record_request(self) -> None:
        """Count the first send of a request.

        What is saved is bounded, so that a quiet time does not pay for a
        burst of second sends in one window.
        """
        self.tokens = min(self.limit(), self.tokens + self.ratio * USED_SHARE)

    def limit(self) -> float:
        """Return the largest number of second sends that is saved up."""
        return max(3.0, self.extra * USED_SHARE / 4)

    def try_spend(self, now: float, members: int) -> bool:
        """Return whether a second send is allowed; if so, it is counted.

        Args:
            now: Time in seconds.
            members: Number of VMs that share the budget.

        Examples:
            >>> budget = SharedRetryBudget(0.2, 0.0, 10.0, tokens=1.0)
            >>> budget.try_spend(0.0, 3), budget.try_spend(0.0, 3)
            (True, False)
        """
        rate = self.extra / self.window_s / (members + ASSUMED_JOINERS)
        elapsed = min(self.window_s, max(0.0, now - self.at))
        self.at = now
        refill = elapsed * rate * USED_SHARE
        self.tokens = min(self.limit(), self.tokens + refill)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
