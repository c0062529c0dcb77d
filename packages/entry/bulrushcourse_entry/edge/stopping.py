"""The graceful shutdown of an edge process.

The connections of callers decide when it ends: one is closed only while
nothing that was read from it is unanswered, and nothing more is read from it
then. A look at counters of requests would miss those whose bytes have arrived
but have not been handled yet.
"""

import asyncio
import typing

import attrs
from aiohttp import web

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.fleet import planned_stop as planned_stops
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.callers import bounded_connection
from bulrushcourse_entry.edge.callers import connection_guard
from bulrushcourse_entry.edge.callers import handlers as request_handlers
from bulrushcourse_entry.edge.callers import listeners
from bulrushcourse_entry.edge.fleet import peers
from bulrushcourse_entry.edge.reporting import event_log as event_logs

# Time between two looks for connections that have become idle.
DRAIN_INTERVAL_S = 0.02
# Time for the refusals that are written at the end of the time limit.
REFUSAL_TIMEOUT_S = 0.1


@attrs.define(eq=False)
class GracefulStop:
    """Ends the service of a process and answers what it has read.

    Attributes:
        state: The process state.
        event_log: Log.
        handlers: Handlers of callers' requests.
        guard: Limits over all connections of clients.
        drained: The listeners whose connections are closed one by one.
        streams: Streams of reports to the other VMs.
    """

    state: process_state.ProcessState
    event_log: event_logs.EventLog
    handlers: request_handlers.Handlers
    guard: connection_guard.ConnectionGuard
    drained: typing.Sequence[web.ServerRunner]
    streams: peers.PeerStreams

    async def run(self) -> None:
        """Serve for a while, then finish what was read until the time limit.

        Callers whose look-ups still name this VM are served first. Afterwards
        a caller whose connection is refused tries another VM at once.
        """
        state, now = self.state, self.state.clock.monotonic
        state.fleet.phase = fleet.Phase.LEAVING
        self.handlers.closing = True
        stop = planned_stops.PlannedStop(
            now(), state.settings.bounds.stop_limit_s
        )
        state.planned_stop = stop
        self._begin(stop)
        await asyncio.sleep(stop.accept_until - now())
        await self._end_accepting()
        try:
            async with asyncio.timeout(stop.finish_until - now()):
                await self._drain()
        except TimeoutError:
            await self._force()
        await self.streams.send_last_reports()

    def _begin(self, stop: planned_stops.PlannedStop) -> None:
        # Requests that wait and can't finish in time are refused now.
        self.state.room_changes.on_next(None)
        self.event_log.log_change(
            events.Event.STOPPING,
            open=self.handlers.open_requests,
            accept_ms=round((stop.accept_until - stop.started) * 1000),
            finish_ms=round((stop.finish_until - stop.started) * 1000),
        )

    async def _end_accepting(self) -> None:
        for listener in self.drained:
            await listeners.stop_accepting(listener)
        self.handlers.unsent.refuse_late()
        self.event_log.log_change(
            events.Event.ACCEPT_ENDED,
            open=self.handlers.open_requests,
            running=len(self.handlers.executor.running),
            connections=self.guard.table.counts(),
        )

    async def _drain(self) -> None:
        """Close each connection while it is idle, until none is left.

        Requests that must not run twice are waited for without their callers.
        """
        is_open = True
        while is_open or self.handlers.executor.running:
            await asyncio.sleep(DRAIN_INTERVAL_S)
            connections = self._open_connections()
            is_open = bool(connections)
            for connection in connections:
                connection.close_if_idle()

    async def _force(self) -> None:
        """Refuse the requests that were not sent, then cut the rest.

        The connections are closed together, since the platform ends the
        process soon.
        """
        self.event_log.log_change(
            events.Event.STOP_FORCED,
            open=self.handlers.open_requests,
            running=len(self.handlers.executor.running),
            connections=self.guard.table.counts(),
        )
        self.handlers.unsent.refuse_all()
        for connection in self._open_connections():
            connection.refuse_unread()
        await asyncio.sleep(REFUSAL_TIMEOUT_S)
        for connection in self._open_connections():
            connection.abort()

    def _open_connections(
        self,
    ) -> list[bounded_connection.BoundedConnection]:
        return [
            connection
            for listener in self.drained
            for connection in listeners.open_connections(listener)
        ]
