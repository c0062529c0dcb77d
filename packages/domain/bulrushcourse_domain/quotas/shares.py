"""Division of an account's quota into shares that are granted separately.

Load: accounts whose requests arrive at many VMs in several regions. Every
place, which is a region or a failure domain, grants an equal share of the
quota, so that the loss of one place, or of the VM that grants there, leaves
the others with most of the quota, and a partition between places cannot
exceed it.
"""

import attrs

from bulrushcourse_domain.accounts import account as accounts

# Tokens are granted, and buckets refilled, in slots of this length.
SLOT_S = 0.05
# Part of the tolerance that lengthens the lifetime of tokens; the rest
# deepens the buckets, which lets more requests pass at once.
LIFETIME_PART = 0.6
# Longer lifetimes save few messages, since few requests of an account that is
# small enough for them arrive at one VM within that time.
MAX_LIFETIME_S = 1.5
# Tokens with a shorter lifetime expire before they reach a VM that is busy or
# in another region.
MIN_LIFETIME_S = 0.25
# Owners that may begin within one window: each waits for a gap of 3 s.
STARTS = 2
# Part of the tolerance left that owners may grant when they begin. Otherwise
# an account with a request every few seconds would wait as long for a token.
START_PART = 0.5
# A quota that would give a place less than this is divided among fewer places:
# tokens are whole.
MIN_PLACE_TOTAL = 5.0


@attrs.frozen
class QuotaTerms:
    """What was agreed on quotas.

    Attributes:
        window_s: Window in which requests are counted, in seconds.
        excess: Tolerated part beyond a quota.
        margin: Tolerated requests beyond it in each window.
    """

    window_s: float = 5.0
    excess: float = 0.0
    margin: float = 0.0

    def tolerated(self, quota: accounts.Quota) -> float:
        """Return how many requests may run in any window.

        Args:
            quota: Quota of the account.

        Examples:
            >>> QuotaTerms(5.0, 0.1, 20.0).tolerated(accounts.Quota(10.0))
            75.0
        """
        owed = quota.rate_per_s * self.window_s + quota.burst
        return owed * (1.0 + self.excess) + self.margin


@attrs.frozen
class Share:
    """Share of a quota that one place grants.

    Attributes:
        rate_per_s: Tokens per second in the long run.
        depth: Most tokens that may be granted at once.
        lifetime_s: Time within which a VM may use a token, in seconds.
        places: Number of places with such a share.
        start: Tokens that an owner may grant when it begins.
    """

    rate_per_s: float
    depth: float
    lifetime_s: float
    places: int
    start: float = 0.0


def divide(terms: QuotaTerms, quota: accounts.Quota, places: int) -> Share:
    """Return the share of each place.

    Tokens that are used within a window were granted within a span that is
    longer by their lifetime and by the slot in which they were counted. The
    shares grant no more than the tolerated requests in such a span:
    ``STARTS * start + depth + rate * (window + lifetime + slot)`` over all
    places.

    Args:
        terms: What was agreed on quotas.
        quota: Quota of the account.
        places: Number of places that may grant shares.

    Examples:
        >>> share = divide(
        ...     QuotaTerms(5.0, 0.1, 20.0), accounts.Quota(300.0, 60.0), 3
        ... )
        >>> share.rate_per_s, share.places
        (100.0, 3)
        >>> round(share.lifetime_s, 2), round(share.depth, 1)
        (0.32, 30.7)
    """
    total = terms.tolerated(quota)
    places = max(1, min(places, int(total / MIN_PLACE_TOTAL)))
    rate = quota.rate_per_s
    slack = total - quota.burst - rate * (terms.window_s + SLOT_S)
    lifetime_s = min(
        MAX_LIFETIME_S, max(MIN_LIFETIME_S, LIFETIME_PART * slack / rate)
    )
    span_s = terms.window_s + SLOT_S + lifetime_s
    # Without enough tolerance, the rate is lowered rather than the burst.
    least_depth = min(total, max(quota.burst, float(places)))
    rate = min(rate, (total - least_depth) / span_s)
    depth = total - rate * span_s
    start = max(0.0, depth - least_depth) * START_PART / STARTS
    return Share(
        rate / places,
        (depth - STARTS * start) / places,
        lifetime_s,
        places,
        start / places,
    )
