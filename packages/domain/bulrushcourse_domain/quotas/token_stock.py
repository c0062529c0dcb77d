"""Tokens of one account that a VM holds and has not used.

Load: requests of an account that reaches this VM from a few a minute to
hundreds a second. The stock keeps what was granted beyond the waiting
requests, and what was given back, until it expires.
"""

import collections
import math
import typing

import attrs

# Time over which the rate of the requests is averaged, in seconds.
AVERAGING_S = 2.0
# Part of the requests expected within the lifetime of tokens for which tokens
# are asked in advance; the others would often expire unused.
PREFETCHED_PART = 0.8
MAX_PREFETCHED = 50
# Bound on the returns that wait for the next message to an owner.
MAX_RETURNS = 10_000


@attrs.frozen
class Token:
    """Permission to run one request.

    Attributes:
        owner: VM that granted it.
        slot: Slot of the grant, in which it is returned.
        expires_at: Time after which it may not be used, monotonic seconds.
    """

    owner: str
    slot: int
    expires_at: float


@attrs.define
class Returns:
    """Tokens with which no request ran, until they are sent back.

    Attributes:
        by_owner: Number of tokens by account and slot, by owner.
    """

    by_owner: dict[str, collections.Counter[tuple[str, int]]] = attrs.field(
        factory=dict
    )

    def add(self, account: str, token: Token) -> None:
        """Add a token.

        Args:
            account: Name of its account.
            token: The token.
        """
        counts = self.by_owner.setdefault(token.owner, collections.Counter())
        key = account, token.slot
        if key in counts or len(counts) < MAX_RETURNS:
            counts[key] += 1

    def take(self, owner: str) -> list[tuple[str, int, int]]:
        """Return accounts, slots and numbers, and forget them.

        Args:
            owner: VM that granted the tokens.
        """
        counts = self.by_owner.pop(owner, {})
        return [(*key, count) for key, count in counts.items()]


@attrs.define
class TokenStock:
    """Tokens of one account at one VM.

    Attributes:
        account: Name of the account.
        returns: Tokens to send back, shared by all accounts.
        tokens: Unused tokens, in the order of their arrival.
        arrivals: Decaying count of the requests.
        counted_at: Time of the last request, monotonic seconds.
        lifetime_s: Lifetime of the tokens granted last.
    """

    account: str
    returns: Returns
    tokens: collections.deque[Token] = attrs.field(factory=collections.deque)
    arrivals: float = 0.0
    counted_at: float = float('-inf')
    lifetime_s: float = 0.0

    def record_request(self, now: float) -> None:
        """Count a request that arrived.

        Args:
            now: Monotonic seconds.
        """
        self.arrivals = self._decayed(now) + 1.0
        self.counted_at = now

    def take(self, now: float) -> Token | None:
        """Return a token that is still valid, or ``None``.

        Args:
            now: Monotonic seconds.
        """
        while self.tokens:
            token = self.tokens.popleft()
            if token.expires_at > now:
                return token
            self.returns.add(self.account, token)
        return None

    def return_expired(self, now: float) -> None:
        """Return the tokens that were not used in time.

        Args:
            now: Monotonic seconds.
        """
        token = self.take(now)
        if token is not None:
            self.tokens.appendleft(token)

    def add(self, token: Token, count: int = 1) -> None:
        """Add tokens that were granted.

        Args:
            token: One of them.
            count: Their number.
        """
        self.tokens.extend([token] * count)

    def give_back(self, token: Token, now: float) -> None:
        """Put back the token of a request that certainly has not run.

        Args:
            token: The token.
            now: Monotonic seconds.
        """
        if token.expires_at > now:
            self.tokens.appendleft(token)
        else:
            self.returns.add(self.account, token)

    def prefetch_count(self, now: float) -> int:
        """Return how many tokens to ask for in advance.

        Args:
            now: Monotonic seconds.
        """
        rate_per_s = self._decayed(now) / AVERAGING_S
        expected = rate_per_s * self.lifetime_s * PREFETCHED_PART
        return min(MAX_PREFETCHED, math.floor(expected))

    def is_idle(self, now: float, idle_s: float) -> bool:
        """Return whether no request has arrived for a time.

        Args:
            now: Monotonic seconds.
            idle_s: The time in seconds.
        """
        return now - self.counted_at > idle_s

    def _decayed(self, now: float) -> float:
        elapsed_s = max(0.0, now - self.counted_at)
        return self.arrivals * math.exp(-elapsed_s / AVERAGING_S)


def valid_count(tokens: typing.Iterable[Token], now: float) -> int:
    """Return how many tokens are still valid.

    Args:
        tokens: The tokens.
        now: Monotonic seconds.
    """
    return sum(token.expires_at > now for token in tokens)
