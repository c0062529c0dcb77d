"""Graceful shutdown: serve until all work is done, or until it is forced."""

import asyncio
import signal

import attrs

from bulrushcourse_entry import events
from bulrushcourse_entry.callers import listener as callers_listener
from bulrushcourse_entry.claims import assembly as claims_assembly
from bulrushcourse_entry.slots import assembly as slots_assembly

# An answer given just before the shutdown started may reach its caller late,
# and the caller's cache lifetime starts only then.
ANSWER_TRAVEL_LIMIT_S = 1.0


@attrs.define(eq=False)
class StopSignals:
    """SIGTERM and SIGINT of the process.

    Attributes:
        wanted: Set by the first signal.
        forced: Set by the second signal.
    """

    wanted: asyncio.Event = attrs.field(factory=asyncio.Event)
    forced: asyncio.Event = attrs.field(factory=asyncio.Event)

    def install(self) -> None:
        """Handle the signals in the running event loop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)

    def _on_signal(self) -> None:
        if self.wanted.is_set():
            self.forced.set()
        self.wanted.set()


@attrs.define(eq=False)
class GracefulDrain:
    """Waits until an entry that left look-up answers has no work.

    Attributes:
        callers: Listener with the requests in flight.
        slots: Pools to hand over.
        claims: Outcomes that are still to be recorded.
        answer_max_age_s: Cache lifetime of look-up answers.
        limit_s: Longest time to wait.
    """

    callers: callers_listener.CallersListener
    slots: slots_assembly.SlotParts
    claims: claims_assembly.ClaimsParts
    answer_max_age_s: float
    limit_s: float

    async def run(self, forced: asyncio.Event) -> None:
        """Return when no work is left, at the limit or when forced.

        Args:
            forced: Set to end the wait at once.
        """
        self.callers.leaving = True
        events.emit(events.Event.STOPPING, in_flight=self.callers.in_flight)
        waits = (
            asyncio.create_task(forced.wait()),
            asyncio.create_task(self._wait_until_idle()),
        )
        await asyncio.wait(
            waits,
            timeout=self.limit_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for wait in waits:
            wait.cancel()
        if self.callers.in_flight:
            events.emit(
                events.Event.STOP_FORCED, in_flight=self.callers.in_flight
            )

    async def _wait_until_idle(self) -> None:
        wait_s = self.answer_max_age_s + ANSWER_TRAVEL_LIMIT_S
        async with asyncio.TaskGroup() as group:
            group.create_task(self.slots.leave())
            group.create_task(asyncio.sleep(wait_s))
        await self.callers.idle.wait()
        # Runs whose callers have left, and outcomes not yet recorded.
        await self.claims.drain()
