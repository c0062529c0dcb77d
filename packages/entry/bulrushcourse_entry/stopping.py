"""Stop signals and the graceful drain before a shutdown."""

import asyncio
import signal

import attrs

from bulrushcourse_entry import events
from bulrushcourse_entry import held_signals
from bulrushcourse_entry import listening
from bulrushcourse_entry.callers import listener as callers_listener
from bulrushcourse_entry.claims import assembly as claims_assembly
from bulrushcourse_entry.slots import assembly as slots_assembly

# A look-up answer sent just before the shutdown may arrive this much later,
# and the caller's cache lifetime starts only on arrival.
MAX_ANSWER_DELAY_S = 1.0


@attrs.define(eq=False)
class StopSignals:
    """SIGTERM and SIGINT of the process.

    Attributes:
        requested: Set by the first signal.
        forced: Set by the second signal.
    """

    requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    forced: asyncio.Event = attrs.field(factory=asyncio.Event)

    def install(self) -> None:
        """Register the signal handlers in the running event loop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        held_signals.deliver()

    def _on_signal(self) -> None:
        if self.requested.is_set():
            self.forced.set()
        self.requested.set()


@attrs.define(eq=False)
class GracefulDrain:
    """Waits until an entry removed from look-up answers has no work left.

    Attributes:
        callers: Listener with the requests in flight.
        server: Owner of the callers' connections.
        slots: Pools to hand over.
        claims: Runs in progress and outcomes to record.
        answer_max_age_s: Cache lifetime of look-up answers.
        limit_s: Maximum time to wait.
    """

    callers: callers_listener.CallersListener
    server: listening.HttpServer
    slots: slots_assembly.SlotParts
    claims: claims_assembly.ClaimsParts
    answer_max_age_s: float
    limit_s: float

    async def run(self, forced: asyncio.Event) -> None:
        """Wait until no work is left, the limit passes or a stop is forced.

        Args:
            forced: Set to end the wait immediately.
        """
        self.server.leaving = True
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
        wait_s = self.answer_max_age_s + MAX_ANSWER_DELAY_S
        async with asyncio.TaskGroup() as group:
            group.create_task(self.slots.leave())
            group.create_task(asyncio.sleep(wait_s))
        # Runs may outlast requests, so no request may arrive during the wait
        # for them.
        await self.server.drain()
        # Waits for runs whose callers have disconnected and for outcomes that
        # are not recorded yet.
        await self.claims.drain()
