"""Dump of the quotas: tokens held, tokens granted and the owners."""

import heapq
import typing

from bulrushcourse_domain.quotas import holdings
from bulrushcourse_domain.quotas import token_stock
from bulrushcourse_entry.edge import process_state

# Accounts in the dump, those with the most requests here.
MAX_ACCOUNTS = 20


def dump(state: process_state.ProcessState) -> dict[str, typing.Any]:
    """Return the state of the quotas as values that JSON can represent.

    Args:
        state: The process state.
    """
    ledger = state.token_ledger
    now = state.clock.monotonic()
    since = ledger.ownership.eligible_since
    busiest = heapq.nlargest(
        MAX_ACCOUNTS,
        state.holdings.by_account.items(),
        key=lambda item: item[1].stock.arrivals,
    )
    return {
        'may_grant_for_s': None if since is None else round(now - since, 3),
        'granted': ledger.granted_total,
        'accounts_granted': len(ledger.buckets),
        'accounts_held': len(state.holdings.by_account),
        'held': {
            name: _holding(state, name, holding) for name, holding in busiest
        },
        'granting': {
            name: {
                'tokens': round(bucket.level, 1),
                'depth': round(bucket.share.depth, 1),
                'rate_per_s': round(bucket.share.rate_per_s, 2),
                'lifetime_s': round(bucket.share.lifetime_s, 3),
                'since_s': round(now - bucket.since, 3),
            }
            for name, bucket in heapq.nlargest(
                MAX_ACCOUNTS,
                ledger.buckets.items(),
                key=lambda item: item[1].share.rate_per_s,
            )
        },
    }


def _holding(
    state: process_state.ProcessState, name: str, holding: holdings.Holding
) -> dict[str, typing.Any]:
    ownership = state.token_ledger.ownership
    now = state.clock.monotonic()
    return {
        'tokens': token_stock.valid_count(holding.stock.tokens, now),
        'admitted': holding.admitted,
        'refused': holding.refused,
        'dry_for_s': _left(holding.places.dry_until, now),
        'unknown_for_s': _left(holding.places.unknown_until, now),
        'owners': {
            place: ownership.owner(place, name) for place in ownership.places
        },
    }


def _left(
    until_by_place: typing.Mapping[str, float], now: float
) -> dict[str, float]:
    return {
        place: round(until - now, 3)
        for place, until in until_by_place.items()
        if until > now
    }
