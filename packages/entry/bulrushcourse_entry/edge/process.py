"""The edge process: assembly, start, reload and graceful shutdown."""

import asyncio
import contextlib
import functools
import random
import signal
import typing

import attrs
from aiohttp import web
from returns import result

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.resources import descriptors
from bulrushcourse_entry import events
from bulrushcourse_entry import held_signals
from bulrushcourse_entry.edge import assembly
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.edge import stopping
from bulrushcourse_entry.edge import supervision
from bulrushcourse_entry.edge.accounts import proven_keys
from bulrushcourse_entry.edge.callers import listeners
from bulrushcourse_entry.edge.callers import lookup_handlers
from bulrushcourse_entry.edge.reporting import diagnostic_handlers
from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_entry.edge.reporting import explaining
from bulrushcourse_entry.edge.reporting import memory_monitor
from bulrushcourse_entry.edge.store import configuration_monitor
from bulrushcourse_entry.edge.store import operator_reader
from bulrushcourse_entry.edge.store import registration
from bulrushcourse_entry.edge.store import store_readers
from bulrushcourse_entry.platform import rows
from bulrushcourse_entry.platform import settings_file

TICK_S = 0.25
# Phases of a VM that serves, by whether callers should prefer others.
SERVING_PHASES = (fleet.Phase.READY, fleet.Phase.BUSY)


@attrs.define(eq=False)
class EdgeProcess:
    """One process that serves callers.

    Attributes:
        settings: Its settings.
        settings_path: Path of the settings file, read again on SIGHUP.
        metrics_port: Port of metrics and state dump, 0 for none.
        clock: Source of time.
        rng: Source of randomness.
        stopping: Set when a graceful shutdown is requested.
        store: Client of the store, ``None`` until the process runs.
        state: State of the process, ``None`` until it runs.
    """

    settings: edge_settings.EdgeSettings
    settings_path: str
    metrics_port: int = 0
    clock: clocks.Clock = attrs.field(factory=clocks.SystemClock)
    rng: random.Random = attrs.field(factory=random.Random)
    stopping: asyncio.Event = attrs.field(factory=asyncio.Event)
    store: rows.RowStore | None = None
    state: process_state.ProcessState | None = None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        state = process_state.build_state(self.settings, self.clock, self.rng)
        self.state = state
        event_log = event_logs.EventLog(self.clock)
        event_log.log_change(
            events.Event.STARTED,
            vm=self.settings.vm,
            region=self.settings.region,
            incarnation=state.fleet.local_vm.incarnation,
        )
        state.upstream_changes.subscribe(
            lambda change: event_log.log_upstream_change(
                change, state.upstreams.position.version
            )
        )
        self._handle_signals(state, event_log)
        async with contextlib.AsyncExitStack() as stack:
            await self._serve(state, event_log, stack)
        event_log.log_change(events.Event.STOPPED, vm=self.settings.vm)

    async def _serve(
        self,
        state: process_state.ProcessState,
        event_log: event_logs.EventLog,
        stack: contextlib.AsyncExitStack,
    ) -> None:
        parts = await assembly.assemble(state, event_log, stack)
        self.store = parts.store
        drained = await self._listen(parts, stack)
        if self.settings.peers:
            server = await parts.streams.listen(self.settings.peers)
            stack.callback(server.close)
            stack.push_async_callback(parts.streams.close)
            parts.streams.contact_seeds()
        tasks = self._start_tasks(state, event_log, parts)
        stack.push_async_callback(_cancel, tasks)
        await self.stopping.wait()
        await stopping.GracefulStop(
            state,
            event_log,
            parts.handlers,
            parts.guard,
            drained,
            parts.streams,
        ).run()

    def _handle_signals(
        self, state: process_state.ProcessState, event_log: event_logs.EventLog
    ) -> None:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload, state, event_log)
        held_signals.deliver()

    def _reload(
        self, state: process_state.ProcessState, event_log: event_logs.EventLog
    ) -> None:
        """Reload bounds and seeds from the settings file; addresses stay."""
        loaded = settings_file.load(self.settings_path)
        if isinstance(loaded, result.Failure):
            findings = [str(finding) for finding in loaded.failure()]
            event_log.log_change(
                events.Event.SETTINGS_REFUSED, findings=findings
            )
            return
        loaded_settings = loaded.unwrap()
        self.settings = attrs.evolve(
            self.settings,
            bounds=loaded_settings.bounds,
            seeds=loaded_settings.seeds,
        )
        state.settings = self.settings
        state.upstreams.addresses.reuse_s = (
            self.settings.bounds.address_reuse_s
        )
        event_log.log_change(events.Event.RELOADED, path=self.settings_path)

    async def _listen(
        self, parts: assembly.Parts, stack: contextlib.AsyncExitStack
    ) -> list[web.ServerRunner]:
        """Open the listeners; return those that a planned stop drains."""
        handlers, guard = parts.handlers, parts.guard
        backlog = descriptors.plan(self.settings.max_descriptors).burst
        lookup_answers = lookup_handlers.LookupHandlers(handlers.state)
        diagnostics = diagnostic_handlers.DiagnosticHandlers(
            handlers.state,
            parts.metrics,
            explaining.Explainer(handlers.state, handlers.destinations),
        )
        host = self.settings.callers.rpartition(':')[0]
        metrics_address = f'{host}:{self.metrics_port}'
        callers = await listeners.serve_http(
            handlers.handle, self.settings.callers, guard, backlog, handlers
        )
        stack.push_async_callback(listeners.close_http, callers)
        drained = [callers]
        endpoints = (
            (self.settings.lookups, lookup_answers.look_up),
            (self.settings.readiness, lookup_answers.ready),
            (metrics_address if self.metrics_port else '', diagnostics.handle),
        )
        for address, handler in endpoints:
            if not address:
                continue
            runner = await listeners.serve_http(
                handler, address, guard, backlog
            )
            stack.push_async_callback(listeners.close_http, runner)
            if address != metrics_address:
                drained.append(runner)
        return drained

    def _start_tasks(
        self,
        state: process_state.ProcessState,
        event_log: event_logs.EventLog,
        parts: assembly.Parts,
    ) -> list[asyncio.Task[typing.Any]]:
        reachability = store_readers.StoreReachability(event_log)
        registrar = registration.VmRegistrar(
            parts.store, state, event_log, reachability, parts.streams.add_vm
        )
        operators = operator_reader.OperatorReader(
            parts.store, state, event_log, reachability, parts.streams.queries
        )
        upstream_reader = store_readers.UpstreamReader(
            parts.store, state, event_log, reachability
        )
        runs = {
            'registrar': registrar.run,
            'operators': operators.run,
            'upstreams': upstream_reader.run,
            'key-proofs': proven_keys.ProofMonitor(
                parts.keys, operators, event_log
            ).run,
            'receivers': parts.streams.run,
            'probes': parts.streams.probe_silent_vms,
            'quotas': parts.quotas.run,
            'tick': functools.partial(self._tick, state, event_log, parts),
        }
        return [
            asyncio.create_task(supervision.keep_running(name, run, event_log))
            for name, run in runs.items()
        ]

    async def _tick(
        self,
        state: process_state.ProcessState,
        event_log: event_logs.EventLog,
        parts: assembly.Parts,
    ) -> None:
        """Update derived state periodically and mark the VM ready."""
        clock = self.clock
        monitor = configuration_monitor.ConfigurationMonitor(state, event_log)
        memory = memory_monitor.MemoryMonitor(state, event_log)
        planned = clock.monotonic()
        while True:
            monitor.check()
            memory.check()
            self._record_lag(state, event_log, clock.monotonic() - planned)
            if state.fleet.phase is fleet.Phase.STARTING and self._is_ready(
                state
            ):
                state.fleet.phase = fleet.Phase.READY
                event_log.log_change(
                    events.Event.READY,
                    configuration=state.routes.version,
                    upstreams=len(state.upstreams.by_name),
                )
            state.warmup_limiter.set_members(state.fleet.alive())
            state.placement.sharing_vm_count = state.fleet.sharing_vm_count()
            state.load.expire_peer_loads()
            parts.guard.sweep()
            parts.store_monitor.check()
            for change in state.upstreams.remove_expired():
                state.upstream_changes.on_next(change)
            event_log.log_quarantine(state.crash_ledger)
            planned = clock.monotonic() + TICK_S
            await asyncio.sleep(TICK_S)

    def _record_lag(
        self,
        state: process_state.ProcessState,
        event_log: event_logs.EventLog,
        lag_s: float,
    ) -> None:
        """Change between ready and busy by the delay of the last tick."""
        lag = state.lag
        if lag.record(lag_s):
            event_log.log_change(
                events.Event.SLOW_CHANGED,
                slow=lag.is_slow,
                lag_ms=round(lag.lag_s * 1000),
            )
        if state.fleet.phase in SERVING_PHASES:
            state.fleet.phase = SERVING_PHASES[
                lag.is_slow or state.lacks_only_own_proof
            ]

    def _is_ready(self, state: process_state.ProcessState) -> bool:
        return bool(
            state.routes.version
            and state.upstreams.position
            and not state.configuration_unconfirmed
        )


async def _cancel(tasks: list[asyncio.Task[typing.Any]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
