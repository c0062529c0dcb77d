"""A request that waits for room at an upstream."""

import asyncio

import attrs

from bulrushcourse_domain.placement import reservation
from bulrushcourse_domain.waiting import waiting_room
from bulrushcourse_entry.edge.callers import caller_request
from bulrushcourse_entry.edge.callers import outcomes


@attrs.define(eq=False)
class Waiter:
    """A waiting request with the future that ends its wait.

    Attributes:
        request: The request.
        entry: Its entry in the waiting room.
        result: Set to the reserved attempt or the refusal.
        timer: Ends the wait.
    """

    request: caller_request.CallerRequest
    entry: waiting_room.Entry
    result: asyncio.Future[reservation.Reservation | outcomes.Outcome]
    timer: asyncio.TimerHandle | None = None

    def forgo(self) -> None:
        """Return room that was reserved for a request whose caller left."""
        if not self.result.done() or self.result.cancelled():
            return
        if self.result.exception() is None:
            reserved = self.result.result()
            if isinstance(reserved, reservation.Reservation):
                reserved.cancel()
