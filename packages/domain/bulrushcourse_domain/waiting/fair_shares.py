"""Fair shares of client accounts when room is short.

Answers an account that sends many times its usual, and callers that repeat
refused requests at once: they use up their own account's turns, not those of
the others.
"""

import math

import attrs

from bulrushcourse_domain import clock as clocks

HALF_LIFE_S = 4.0
# About 1 MB; beyond it, the accounts that used least are discarded.
MAX_ACCOUNTS = 4096
# An account is above its share only if its use exceeds it by this many
# standard deviations of a random stream.
DEVIATIONS = 2.0
# The sum over all accounts changes slowly.
MAX_MEAN_AGE_S = 0.25
_EXPIRED_SHARE = 0.02


@attrs.define
class Usage:
    """Recent work of one account at this VM.

    Attributes:
        work_s: Work of its requests, in seconds of one slot.
        requests: Number of its requests.
        weight: Weight of the account.
        updated_at: Time of the last update.
        finish: Virtual time at which its last waiting request ends.
    """

    work_s: float = 0.0
    requests: float = 0.0
    weight: float = 1.0
    updated_at: float = 0.0
    finish: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the use by the time since the last update.

        Args:
            now: The time.
        """
        factor = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)
        self.work_s *= factor
        self.requests *= factor
        self.updated_at = now


@attrs.define
class FairShares:
    """Use of the accounts, and the order in which their requests are served.

    Waiting requests are served by self-clocked fair queueing: each has a tag,
    which is the virtual time at which its account would be done with it.

    Attributes:
        clock: Source of time.
        usage: Recent use by account.
        virtual_time: Tag of the waiting request that was served last.
        totals: Work, requests and weight of all active accounts.
        totals_at: Time of their computation.
    """

    clock: clocks.Clock
    usage: dict[str, Usage] = attrs.field(factory=dict)
    virtual_time: float = 0.0
    totals: tuple[float, float, float] = (0.0, 0.0, 0.0)
    totals_at: float = -math.inf

    def record_arrival(
        self, account: str, weight: float, work_s: float
    ) -> None:
        """Count a request that arrived, whether it is served or not.

        Args:
            account: Name of the account, empty for none.
            weight: Weight of the account.
            work_s: Expected work of the request.
        """
        usage = self._usage_of(account)
        usage.decay(self.clock.monotonic())
        usage.weight = weight
        usage.work_s += work_s
        usage.requests += 1.0

    def _usage_of(self, account: str) -> Usage:
        if account not in self.usage:
            if len(self.usage) >= MAX_ACCOUNTS:
                self._discard_least()
            self.usage[account] = Usage(updated_at=self.clock.monotonic())
        return self.usage[account]

    def _discard_least(self) -> None:
        now = self.clock.monotonic()
        for usage in self.usage.values():
            usage.decay(now)
        ordered = sorted(self.usage, key=lambda name: self.usage[name].work_s)
        for name in ordered[: MAX_ACCOUNTS // 2]:
            del self.usage[name]

    def overuse(self, account: str) -> float:
        """Return an account's use as a multiple of its fair share.

        Random variation does not count as use above the share.

        Args:
            account: Name of the account, empty for none.

        Returns:
            At least 1.
        """
        usage = self.usage.get(account)
        if usage is None or not account:
            return 1.0
        now = self.clock.monotonic()
        if now - self.totals_at > MAX_MEAN_AGE_S:
            self._compute_totals(now)
        work_s, requests, weight = self.totals
        # The account itself is left out, so that one with most of the work
        # does not raise its own share.
        others_weight = weight - usage.weight
        if requests < 1.0 or others_weight <= 0:
            return 1.0
        usage.decay(now)
        share_s = (
            max(0.0, work_s - usage.work_s) / others_weight * usage.weight
        )
        mean_s = work_s / requests
        deviation_s = math.sqrt(max(share_s, mean_s) * mean_s)
        certain_s = usage.work_s - DEVIATIONS * deviation_s
        return max(1.0, certain_s / max(share_s, mean_s))

    def _compute_totals(self, now: float) -> None:
        active = []
        for name in list(self.usage):
            usage = self.usage[name]
            usage.decay(now)
            if usage.requests > _EXPIRED_SHARE:
                active.append(usage)
            elif usage.finish <= self.virtual_time:
                del self.usage[name]
        self.totals = (
            sum(usage.work_s for usage in active),
            sum(usage.requests for usage in active),
            sum(usage.weight for usage in active),
        )
        self.totals_at = now

    def next_tag(self, account: str, weight: float, work_s: float) -> float:
        """Return the tag of an account's next waiting request.

        Args:
            account: Name of the account, empty for none.
            weight: Weight of the account.
            work_s: Expected work of the request.
        """
        usage = self._usage_of(account)
        start = max(self.virtual_time, usage.finish)
        usage.finish = start + work_s / weight
        return usage.finish

    def advance(self, tag: float) -> None:
        """Set the virtual time to the tag of a request that is served.

        Args:
            tag: Tag of the request.
        """
        self.virtual_time = max(self.virtual_time, tag)
