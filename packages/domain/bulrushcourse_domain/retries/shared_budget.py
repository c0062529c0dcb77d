"""This VM's share of the retry budget that all VMs share."""

import math

import attrs

# Share of the budget that is used, so that VMs that join or restart do not
# make the sum exceed it.
USABLE_SHARE = 0.75
# Share of the budget of one window that a VM may save for a later one. With
# the usable share it stays within the budget of the window in which all VMs
# spend what they saved.
SAVED_SHARE = 0.2
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
        recent_requests: Requests of about one window, an exponentially
            decaying count as of ``counted_at``.
        counted_at: Time of the last counted request.
    """

    ratio: float
    extra: float
    window_s: float
    tokens: float = 1.0
    refilled_at: float = 0.0
    recent_requests: float = 0.0
    counted_at: float = 0.0

    def record_request(self, now: float, members: int) -> None:
        """Add the tokens earned by the first attempt of a request.

        Args:
            now: Time in seconds.
            members: Number of VMs that share the budget.
        """
        self.recent_requests = self._recent_requests(now) + 1.0
        self.counted_at = now
        self._add(self.ratio * USABLE_SHARE, now, members)

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
        self._add(elapsed * rate * USABLE_SHARE, now, members)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def max_tokens(self, now: float, members: int) -> float:
        """Return the largest number of tokens.

        It is bounded by a share of what the VM earns in one window, since all
        VMs may spend what they saved in the same window.

        Args:
            now: Time in seconds.
            members: Number of VMs that share the budget.
        """
        earned = self.ratio * self._recent_requests(now) + (
            self.extra / (members + ASSUMED_JOINERS)
        )
        return max(1.0, SAVED_SHARE * earned)

    def _add(self, tokens: float, now: float, members: int) -> None:
        self.tokens = min(self.max_tokens(now, members), self.tokens + tokens)

    def _recent_requests(self, now: float) -> float:
        age = max(0.0, now - self.counted_at)
        return self.recent_requests * math.exp(-age / self.window_s)
