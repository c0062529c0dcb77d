"""Token bucket from which one owner grants a share of an account's quota.

Load: VMs that ask for tokens as requests arrive, and return those of requests
that did not run. In any span of ``d`` seconds the tokens granted, without
those returned, are at most ``depth + rate * (d + SLOT_S)``.
"""

import collections
import math

import attrs

from bulrushcourse_domain.quotas import shares

# Tokens that were granted longer ago cannot be returned.
RETURNABLE_S = 5.0
_RETURNABLE_SLOTS = round(RETURNABLE_S / shares.SLOT_S)


@attrs.frozen
class Grant:
    """Tokens granted to a VM.

    Attributes:
        count: Number of tokens; 0 if there are none.
        slot: Slot in which they were granted, named when they are returned.
        lifetime_s: Time within which they may be used, counted from when
            the VM sent its request for them.
        wait_s: Time until there are tokens, if none were granted.
    """

    count: int
    slot: int = 0
    lifetime_s: float = 0.0
    wait_s: float = 0.0


def slot_at(now: float) -> int:
    """Return the slot of a time.

    Args:
        now: Monotonic seconds.
    """
    return math.floor(now / shares.SLOT_S)


@attrs.define
class GrantBucket:
    """Tokens of one account at one owner.

    A bucket starts nearly empty, since another owner may have granted all
    tokens until then. Returned tokens count as if they had never been
    granted: the level is computed again from ``folded_level``.

    Attributes:
        share: Rate, depth and lifetime.
        since: Time from which it fills, monotonic seconds.
        slot: Slot of ``level``.
        level: Tokens left.
        folded_slot: Slot of ``folded_level``.
        folded_level: Tokens left before the grants in ``granted``.
        granted: Slots with grants and the tokens granted in each.
    """

    share: shares.Share
    since: float
    slot: int = attrs.field(init=False)
    level: float = 0.0
    folded_slot: int = attrs.field(init=False)
    folded_level: float = 0.0
    granted: collections.deque[list[int]] = attrs.field(
        factory=collections.deque
    )

    def __attrs_post_init__(self) -> None:
        """Start to fill in the slot after ``since``."""
        self.slot = self.folded_slot = slot_at(self.since) + 1
        self.level = self.folded_level = self.share.start

    def set_share(self, share: shares.Share, now: float) -> None:
        """Change rate and depth; tokens above a lower depth are discarded.

        Args:
            share: The share that now applies.
            now: Monotonic seconds.
        """
        if share == self.share:
            return
        self._refill(now)
        self.share = share
        self.level = min(self.level, share.depth)
        self.granted.clear()
        self.folded_slot, self.folded_level = self.slot, self.level

    def grant(self, needed: int, extra: int, now: float) -> Grant:
        """Grant tokens, as many as there are.

        Args:
            needed: Tokens for requests that wait.
            extra: Tokens for requests that are expected; none are granted
                while the bucket is less than half full.
            now: Monotonic seconds.

        Examples:
            >>> bucket = GrantBucket(shares.Share(10.0, 5.0, 1.0, 1), 0.0)
            >>> [bucket.grant(2, 0, 0.25).count for _ in range(2)]
            [2, 0]
        """
        self._refill(now)
        wanted = needed
        if self.level - needed > self.share.depth / 2:
            wanted += extra
        count = min(wanted, math.floor(self.level))
        if count <= 0:
            return Grant(0, wait_s=self._wait_s(now))
        self.level -= count
        if self.granted and self.granted[-1][0] == self.slot:
            self.granted[-1][1] += count
        else:
            self.granted.append([self.slot, count])
        return Grant(count, self.slot, self.share.lifetime_s)

    def take_back(self, slot: int, count: int, now: float) -> None:
        """Take back tokens with which no request ran.

        Those of slots that are too old are ignored.

        Args:
            slot: Slot in which they were granted.
            count: Number of tokens.
            now: Monotonic seconds.
        """
        self._refill(now)
        for entry in self.granted:
            if entry[0] == slot:
                entry[1] -= min(count, entry[1])
                self._replay()
                return

    def is_full(self, now: float) -> bool:
        """Return whether no token granted recently is missing.

        Args:
            now: Monotonic seconds.
        """
        self._refill(now)
        return self.level >= self.share.depth

    def _refill(self, now: float) -> None:
        slot = slot_at(now)
        if slot <= self.slot:
            return
        self.level = self._filled(self.level, slot - self.slot)
        self.slot = slot
        while self.granted and self.granted[0][0] < slot - _RETURNABLE_SLOTS:
            self._fold(*self.granted.popleft())

    def _filled(self, level: float, slots: int) -> float:
        added = self.share.rate_per_s * shares.SLOT_S * slots
        return min(self.share.depth, level + added)

    def _fold(self, slot: int, count: int) -> None:
        filled = self._filled(self.folded_level, slot - self.folded_slot)
        self.folded_level = max(0.0, filled - count)
        self.folded_slot = slot

    def _replay(self) -> None:
        level, at = self.folded_level, self.folded_slot
        for slot, count in self.granted:
            level = self._filled(level, slot - at) - count
            at = slot
        self.level = max(0.0, self._filled(level, self.slot - at))

    def _wait_s(self, now: float) -> float:
        missing = max(0.0, 1.0 - self.level)
        if self.share.rate_per_s <= 0:
            return math.inf
        return max(0.0, self.since - now) + missing / self.share.rate_per_s
