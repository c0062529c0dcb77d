"""Grants that are in use."""

import collections
import heapq

import attrs

from bulrushcourse_domain.slots import requests

EXPIRY_GRACE_S = 1.0
"""Time after a request's deadline at which its slot is free in any case.

Entries and upstreams both end work at its deadline. The slot comes back this
way when its entry died or the release was lost.
"""


@attrs.define
class Holdings:
    """Grants in use, with their number by class and their expiry.

    Attributes:
        runs: Runs by request identifier.
        by_class: Number of grants by class.
        expiries: Heap of expiry times; ended grants stay until they are due.

    Examples:
        >>> held = Holdings()
        >>> grant = requests.Grant('r', 'e', 'a', 'short', 5.0)
        >>> held.add(requests.ActiveGrant(grant, 0.0))
        >>> held.expired(5.0), held.expired(6.0)
        ([], ['r'])
    """

    runs: dict[str, requests.ActiveGrant] = attrs.field(factory=dict)
    by_class: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    expiries: list[tuple[float, str]] = attrs.field(factory=list)

    def add(self, run: requests.ActiveGrant) -> None:
        """Add a grant.

        Args:
            run: The grant and when it was given.
        """
        grant = run.grant
        self.runs[grant.request_id] = run
        self.by_class[grant.request_class] += 1
        heapq.heappush(self.expiries, (_expiry(run), grant.request_id))

    def remove(self, request_id: str) -> requests.ActiveGrant | None:
        """Take a grant out and return it, if it is there.

        Args:
            request_id: The request that held it.
        """
        run = self.runs.pop(request_id, None)
        if run is not None:
            self.by_class[run.grant.request_class] -= 1
        return run

    def expired(self, now: float) -> list[str]:
        """Return the requests whose grants have expired.

        Args:
            now: Clock seconds.
        """
        found = []
        while self.expiries and self.expiries[0][0] <= now:
            request_id = heapq.heappop(self.expiries)[1]
            run = self.runs.get(request_id)
            if run is not None and _expiry(run) <= now:
                found.append(request_id)
        return found

    def next_expiry(self) -> float | None:
        """Return the earliest expiry in clock seconds, if there is one."""
        return self.expiries[0][0] if self.expiries else None


def _expiry(run: requests.ActiveGrant) -> float:
    return run.grant.deadline + EXPIRY_GRACE_S
