"""Buckets of the accounts for which a VM grants tokens.

Load: the owner of a few to several hundred accounts, whose limits may change
with each configuration.
"""

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.accounts import account as accounts
from bulrushcourse_domain.quotas import bucket as grant_buckets
from bulrushcourse_domain.quotas import ownership as ownerships
from bulrushcourse_domain.quotas import shares

# Bound on the buckets. Full ones are discarded first, since one that is
# created again later is full as well.
MAX_BUCKETS = 20_000


@attrs.define(eq=False)
class Ledger:
    """Grants tokens of the accounts that this VM owns.

    Attributes:
        clock: Source of time.
        ownership: Owners of the accounts.
        buckets: Buckets by the name of the account.
        granted_total: Tokens granted since the start.
    """

    clock: clocks.Clock
    ownership: ownerships.Ownership
    buckets: dict[str, grant_buckets.GrantBucket] = attrs.field(factory=dict)
    granted_total: int = 0

    def grant(
        self,
        account: accounts.ClientAccount,
        terms: shares.QuotaTerms,
        needed: int,
        extra: int,
    ) -> grant_buckets.Grant | None:
        """Grant tokens of an account.

        Args:
            account: The account with its limits in this VM's configuration.
            terms: What was agreed on quotas.
            needed: Tokens for requests that wait.
            extra: Tokens for requests that are expected.

        Returns:
            The grant, ``None`` if this VM cannot tell because it is not the
            owner or has not been for long enough.
        """
        bucket = self._bucket(account, terms)
        if bucket is None:
            return None
        grant = bucket.grant(needed, extra, self.clock.monotonic())
        self.granted_total += grant.count
        return grant

    def take_back(self, account: str, slot: int, count: int) -> None:
        """Take back tokens with which no request ran.

        Args:
            account: Name of the account.
            slot: Slot in which they were granted.
            count: Number of tokens.
        """
        bucket = self.buckets.get(account)
        if bucket is not None:
            bucket.take_back(slot, count, self.clock.monotonic())

    def _bucket(
        self, account: accounts.ClientAccount, terms: shares.QuotaTerms
    ) -> grant_buckets.GrantBucket | None:
        now = self.clock.monotonic()
        ownership = self.ownership
        since = ownership.granting_since(account.name)
        share = shares.divide(terms, account.quota, len(ownership.places))
        is_own = ownership.local_place in ownership.places_of(
            account.name, share.places
        )
        if since is None or since > now or not is_own:
            return None
        bucket = self.buckets.get(account.name)
        if bucket is None or bucket.since < since:
            if not self._has_room(now):
                return None
            bucket = grant_buckets.GrantBucket(share, since)
            self.buckets[account.name] = bucket
        bucket.set_share(share, now)
        return bucket

    def _has_room(self, now: float) -> bool:
        if len(self.buckets) >= MAX_BUCKETS:
            self.buckets = {
                name: bucket
                for name, bucket in self.buckets.items()
                if not bucket.is_full(now)
            }
        return len(self.buckets) < MAX_BUCKETS
