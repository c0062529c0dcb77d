"""A slot pool with this entry's ownership and the requests for it."""

import attrs

from bulrushcourse_domain.slots import ownership as ownerships
from bulrushcourse_domain.slots import pool as slot_pool
from bulrushcourse_domain.slots import requests


@attrs.frozen
class TrackedRequest:
    """A slot request that is undecided or holds a slot.

    Attributes:
        peer: Name of the entry that sent the request.
        request: The request; its holder is the sender's incarnation.
    """

    peer: str
    request: requests.SlotRequest


@attrs.define(eq=False)
class OwnedPool:
    """A slot pool of this entry's region.

    Attributes:
        name: Name of the pool.
        pool: Slots and waiting requests.
        ownership: Ownership of the pool as seen by this entry.
        repeatable: Whether the service's requests may run more than once.
        term: Current term, 0 while this entry does not own the pool.
        reported: Incarnations that have reported their held slots in this
            term, by entry name.
        tracked: Undecided requests and requests that hold a slot, by
            identifier.
        parked: Requests that the quarantine delays because of their
            fingerprint, by identifier.
    """

    name: str
    pool: slot_pool.SlotPool
    ownership: ownerships.PoolOwnership
    repeatable: bool
    term: int = 0
    reported: dict[str, str] = attrs.field(factory=dict)
    tracked: dict[str, TrackedRequest] = attrs.field(factory=dict)
    parked: dict[str, TrackedRequest] = attrs.field(factory=dict)

    def undecided(self, peer: str | None = None) -> list[TrackedRequest]:
        """Return the undecided requests.

        Args:
            peer: Only requests of this entry; ``None`` for all entries.
        """
        granted = self.pool.granted
        return [
            tracked
            for request_id, tracked in self.tracked.items()
            if request_id not in granted and peer in (None, tracked.peer)
        ]
