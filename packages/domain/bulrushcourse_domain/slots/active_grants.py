"""Grants that are in use."""

import collections
import heapq

import attrs

from bulrushcourse_domain.slots import requests

EXPIRY_GRACE_S = 1.0
"""Time after a request's deadline at which its grant expires.

Entries and upstreams both stop a request at its deadline, so the slot is
free by then. Expiry covers an entry that crashed or a lost release message.
"""


@attrs.define
class ActiveGrants:
    """Grants in use, counted by class and ordered by expiry.

    Attributes:
        by_request_id: Grants by request identifier.
        count_by_class: Number of grants by class.
        expiries: Heap of expiry times with request identifiers; those of
            released grants stay until they are due.

    Examples:
        >>> active = ActiveGrants()
        >>> grant = requests.Grant('r', 'e', 'a', 'short', 5.0)
        >>> active.add(requests.ActiveGrant(grant, 0.0))
        >>> active.expired_requests(5.0), active.expired_requests(6.0)
        ([], ['r'])
    """

    by_request_id: dict[str, requests.ActiveGrant] = attrs.field(factory=dict)
    count_by_class: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    expiries: list[tuple[float, str]] = attrs.field(factory=list)

    def add(self, active: requests.ActiveGrant) -> None:
        """Add a grant.

        Args:
            active: The grant and the time at which it was granted.
        """
        grant = active.grant
        self.by_request_id[grant.request_id] = active
        self.count_by_class[grant.request_class] += 1
        heapq.heappush(self.expiries, (_expiry(active), grant.request_id))

    def remove(self, request_id: str) -> requests.ActiveGrant | None:
        """Remove and return a grant, ``None`` if it is not in use.

        Args:
            request_id: Identifier of the request that holds the grant.
        """
        active = self.by_request_id.pop(request_id, None)
        if active is not None:
            self.count_by_class[active.grant.request_class] -= 1
        return active

    def expired_requests(self, now: float) -> list[str]:
        """Return the identifiers of the requests whose grants have expired.

        Each is returned once; the caller removes its grant.

        Args:
            now: Clock seconds.
        """
        expired = []
        while self.expiries and self.expiries[0][0] <= now:
            request_id = heapq.heappop(self.expiries)[1]
            active = self.by_request_id.get(request_id)
            if active is not None and _expiry(active) <= now:
                expired.append(request_id)
        return expired

    def next_expiry(self) -> float | None:
        """Return the earliest expiry in clock seconds, ``None`` if empty."""
        return self.expiries[0][0] if self.expiries else None


def _expiry(active: requests.ActiveGrant) -> float:
    return active.grant.deadline + EXPIRY_GRACE_S
