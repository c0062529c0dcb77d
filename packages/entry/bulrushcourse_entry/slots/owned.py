"""The pools of this region, as their owner keeps them."""

import attrs

from bulrushcourse_domain.slots import ownership
from bulrushcourse_domain.slots import pool as slot_pool
from bulrushcourse_domain.slots import requests


@attrs.frozen
class Asked:
    """A request that was not decided yet, or that holds a slot.

    Attributes:
        peer: Name of the entry that asked.
        wish: The request; its holder is the incarnation that asked.
    """

    peer: str
    wish: requests.SlotRequest


@attrs.define(eq=False)
class OwnedPool:
    """A pool with this entry's ownership of it.

    Attributes:
        name: Name of the pool.
        pool: Slots and waiting requests.
        own: This entry's part in the ownership.
        repeatable: Whether the service's requests may run more than once.
        term: Present term, 0 while another entry owns the pool.
        reported: Incarnations that said in this term what they hold, by
            name of entry.
        asked: Requests by identifier.
        parked: Requests that wait because of their fingerprint.
    """

    name: str
    pool: slot_pool.SlotPool
    own: ownership.PoolOwnership
    repeatable: bool
    term: int = 0
    reported: dict[str, str] = attrs.field(factory=dict)
    asked: dict[str, Asked] = attrs.field(factory=dict)
    parked: dict[str, Asked] = attrs.field(factory=dict)

    def undecided(self, peer: str | None = None) -> list[Asked]:
        """Return requests without a decision.

        Args:
            peer: Entry that asked; ``None`` for all.
        """
        granted = self.pool.granted
        return [
            asked
            for request_id, asked in self.asked.items()
            if request_id not in granted and peer in (None, asked.peer)
        ]
