"""The edge process: assembly, start, reload and graceful stop."""

import asyncio
import contextlib
import functools
import random
import signal
import time
import typing

import aiohttp
import attrs
from aiohttp import web
from returns import result

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.fleet import fleet
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import event_log as event_logs
from bulrushcourse_entry.edge import exchange as exchanges
from bulrushcourse_entry.edge import handlers as request_handlers
from bulrushcourse_entry.edge import knowledge as knowledges
from bulrushcourse_entry.edge import listeners
from bulrushcourse_entry.edge import meters as edge_meters
from bulrushcourse_entry.edge import peers
from bulrushcourse_entry.edge import reading
from bulrushcourse_entry.edge import registering
from bulrushcourse_entry.edge import reports
from bulrushcourse_entry.edge import sending
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.edge import state
from bulrushcourse_entry.edge import steering
from bulrushcourse_entry.edge import supervision
from bulrushcourse_entry.platform import rows
from bulrushcourse_entry.platform import settings_file

TICK_S = 0.25
# Beside the metrics, on the same address.
STATE_PATH = '/state'
# Parts of the time that a graceful stop may take: until then new requests
# are served, then refused. The rest is left to close listeners and streams,
# which takes up to 0.2 s each.
ACCEPT_SHARE = 0.5
FINISH_SHARE = 0.84


@attrs.define(eq=False)
class EdgeProcess:
    """One process that serves callers.

    Attributes:
        settings: Its settings.
        settings_path: Where they are read from again on SIGHUP.
        metrics_port: Port of the metrics, 0 for none.
        clock: Source of time.
        rng: Source of randomness.
        stopping: Set when the process is asked to stop.
        store: Client of the store, once the process runs.
    """

    settings: edge_settings.EdgeSettings
    settings_path: str
    metrics_port: int = 0
    clock: clocks.Clock = attrs.field(factory=clocks.SystemClock)
    rng: random.Random = attrs.field(factory=random.Random)
    stopping: asyncio.Event = attrs.field(factory=asyncio.Event)
    store: rows.RowStore | None = None

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what has begun."""
        known = knowledges.assemble(self.settings, self.clock, self.rng)
        event_log = event_logs.EventLog(self.clock)
        event_log.log_change(
            events.Event.STARTED,
            vm=self.settings.vm,
            region=self.settings.region,
            incarnation=known.fleet.local_vm.incarnation,
        )
        known.changes.subscribe(
            lambda change: event_log.log_upstream_change(
                change, known.upstreams.version
            )
        )
        self._handle_signals(known, event_log)
        async with contextlib.AsyncExitStack() as stack:
            await self._serve(known, event_log, stack)
        event_log.log_change(events.Event.STOPPED, vm=self.settings.vm)

    async def _serve(
        self,
        known: knowledges.Knowledge,
        event_log: event_logs.EventLog,
        stack: contextlib.AsyncExitStack,
    ) -> None:
        streams = peers.PeerStreams(
            known, event_log, reports.Reports(known, event_log)
        )
        sender = sending.open_sender(known)
        for session in (sender.pooled, sender.fresh):
            await stack.enter_async_context(session)
        store_session = await stack.enter_async_context(
            aiohttp.ClientSession()
        )
        store = rows.RowStore(self.settings.store, store_session)
        self.store = store
        meters = edge_meters.Meters()
        meters.gauge(
            'bulrushcourse_store_calls',
            'Calls to the store',
            lambda: float(store.calls),
        )
        exchange = exchanges.Exchange(
            known,
            sender,
            streams.reports.share_loss,
            lambda name: event_log.log_change(
                events.Event.UPSTREAM_SET_ASIDE, upstream=name
            ),
        )
        handlers = request_handlers.Handlers(
            known, steering.Steering(known), exchange, event_log, meters
        )
        stack.push_async_callback(exchange.close)
        await self._listen(handlers, meters, stack)
        if self.settings.peers:
            server = await streams.listen(self.settings.peers)
            stack.callback(server.close)
            stack.push_async_callback(streams.close)
            streams.greet_seeds()
        tasks = self._start_tasks(known, event_log, store, streams)
        stack.push_async_callback(_cancel, tasks)
        await self.stopping.wait()
        await self._stop(known, event_log, handlers)

    def _handle_signals(
        self, known: knowledges.Knowledge, event_log: event_logs.EventLog
    ) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload, known, event_log)

    def _reload(
        self, known: knowledges.Knowledge, event_log: event_logs.EventLog
    ) -> None:
        """Take over bounds and seeds of the settings; addresses stay."""
        loaded = settings_file.load(self.settings_path)
        if isinstance(loaded, result.Failure):
            found = [str(finding) for finding in loaded.failure()]
            event_log.log_change(events.Event.SETTINGS_REFUSED, findings=found)
            return
        read = loaded.unwrap()
        self.settings = attrs.evolve(
            self.settings, bounds=read.bounds, seeds=read.seeds
        )
        known.settings = self.settings
        event_log.log_change(events.Event.RELOADED, path=self.settings_path)

    async def _listen(
        self,
        handlers: request_handlers.Handlers,
        meters: edge_meters.Meters,
        stack: contextlib.AsyncExitStack,
    ) -> None:
        async def inspect(request: web.BaseRequest) -> web.Response:
            if request.path == STATE_PATH:
                return web.json_response(state.dump(handlers.known))
            return web.Response(body=meters.render())

        host = self.settings.callers.rpartition(':')[0]
        metrics_address = f'{host}:{self.metrics_port}'
        served = (
            (self.settings.callers, handlers.handle),
            (self.settings.lookups, handlers.look_up),
            (self.settings.readiness, handlers.ready),
            (metrics_address if self.metrics_port else '', inspect),
        )
        for address, handler in served:
            if address:
                runner = await listeners.serve_http(handler, address)
                stack.push_async_callback(listeners.close_http, runner)

    def _start_tasks(
        self,
        known: knowledges.Knowledge,
        event_log: event_logs.EventLog,
        store: rows.RowStore,
        streams: peers.PeerStreams,
    ) -> list[asyncio.Task[typing.Any]]:
        reachability = reading.Reachability(event_log)
        registrar = registering.VmRegistrar(
            store, known, event_log, reachability, streams.meet
        )
        operators = reading.OperatorReader(
            store, known, event_log, reachability
        )
        upstreams = reading.UpstreamReader(
            store, known, event_log, reachability
        )
        works = {
            'registrar': registrar.run,
            'operators': operators.run,
            'upstreams': upstreams.run,
            'tick': functools.partial(self._tick, known, event_log),
        }
        return [
            asyncio.create_task(
                supervision.keep_running(name, work, event_log)
            )
            for name, work in works.items()
        ]

    async def _tick(
        self, known: knowledges.Knowledge, event_log: event_logs.EventLog
    ) -> None:
        """Keep derived beliefs up to date."""
        while True:
            if known.fleet.phase is fleet.Phase.STARTING and self._is_ready(
                known
            ):
                known.fleet.phase = fleet.Phase.READY
                event_log.log_change(
                    events.Event.READY,
                    configuration=known.routes.version,
                    upstreams=len(known.upstreams.entries),
                )
            known.cold.set_members(known.fleet.alive())
            known.placement.sharing_vm_count = known.fleet.sharing_vm_count()
            known.load.expire_peer_loads()
            await asyncio.sleep(TICK_S)

    def _is_ready(self, known: knowledges.Knowledge) -> bool:
        return bool(known.routes.version and known.upstreams.version)

    async def _stop(
        self,
        known: knowledges.Knowledge,
        event_log: event_logs.EventLog,
        handlers: request_handlers.Handlers,
    ) -> None:
        known.fleet.phase = fleet.Phase.LEAVING
        handlers.closing = True
        event_log.log_change(events.Event.STOPPING, open=handlers.open)
        limit = self.settings.bounds.stop_limit_s
        started = time.monotonic()
        await asyncio.sleep(limit * ACCEPT_SHARE)
        handlers.refusing = True
        while handlers.open or handlers.exchange.kept:
            if time.monotonic() - started > limit * FINISH_SHARE:
                event_log.log_change(
                    events.Event.STOP_FORCED, open=handlers.open
                )
                return
            await asyncio.sleep(0.05)


async def _cancel(tasks: list[asyncio.Task[typing.Any]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
