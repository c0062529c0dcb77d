"""Construction, start and graceful stop of an entry process."""

import asyncio
import enum
import secrets
import typing

import aiohttp
import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import active_configuration
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_entry import bounded_answers
from bulrushcourse_entry import events
from bulrushcourse_entry import listening
from bulrushcourse_entry import metrics as entry_metrics
from bulrushcourse_entry import reporting
from bulrushcourse_entry import settings as entry_settings
from bulrushcourse_entry import stopping
from bulrushcourse_entry.callers import forwarding
from bulrushcourse_entry.callers import listener as callers_listener
from bulrushcourse_entry.claims import assembly as claims_assembly
from bulrushcourse_entry.claims import listener as claims_listener
from bulrushcourse_entry.configuration import exchange
from bulrushcourse_entry.health import monitor
from bulrushcourse_entry.limits import assembly as limits_assembly
from bulrushcourse_entry.membership import members as entry_members
from bulrushcourse_entry.operators import assembly as operators_assembly
from bulrushcourse_entry.operators import listener as operators_listener
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_entry.peers import stream as peer_stream
from bulrushcourse_entry.platform import objects as platform_objects
from bulrushcourse_entry.platform import table as platform_table
from bulrushcourse_entry.platform import vm_list
from bulrushcourse_entry.slots import assembly as slots_assembly
from bulrushcourse_entry.upstreams import client
from bulrushcourse_wire import messages

CONNECTIONS_PER_INSTANCE = 32


class State(enum.Enum):
    """State in the life cycle of an entry process."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'


@attrs.define(eq=False)
class EntryProcess:
    """The entry process with all of its components.

    Attributes:
        settings: Checked settings.
        clock: Source of time.
        state: Whether it is starting, serving or leaving.
        drained: Whether an operator removed it from look-up answers.
        active: Active and newest configuration.
        stop: Signals that stop the process.
        tasks: Background tasks, cancelled at the end.
        metrics: Receiver of metrics.
        table: The platform's table service.
        hub: Streams to peers.
        members: The membership of the entries.
        configuration: Reads configurations and exchanges them with peers.
        slots: Pools and slots.
        limits: Plans, shares and region choices.
        upstreams: HTTP client of the instances.
        forwarder: Runs calls on upstreams.
        health: Health monitor of the instances.
        claims: Components that run requests at most once.
        callers: HTTP listener for callers.
        callers_server: Owner of the callers' connections.
        operators: HTTP listener for operators.
        operators_server: Owner of the operators' connections.
        reporter: Sends gauges.
    """

    settings: entry_settings.Settings
    clock: clocks.Clock = attrs.field(factory=clocks.SystemClock)
    state: State = State.STARTING
    drained: bool = False
    active: active_configuration.ActiveConfiguration = attrs.field(
        factory=active_configuration.ActiveConfiguration
    )
    stop: stopping.StopSignals = attrs.field(factory=stopping.StopSignals)
    tasks: list[asyncio.Task] = attrs.field(factory=list)
    metrics: entry_metrics.Metrics = attrs.field(init=False)
    table: platform_table.HttpTable = attrs.field(init=False)
    hub: peer_hub.PeerHub = attrs.field(init=False)
    members: entry_members.Members = attrs.field(init=False)
    configuration: exchange.ConfigurationExchange = attrs.field(init=False)
    slots: slots_assembly.SlotParts = attrs.field(init=False)
    limits: limits_assembly.LimitsParts = attrs.field(init=False)
    upstreams: client.UpstreamClient = attrs.field(init=False)
    forwarder: forwarding.Forwarder = attrs.field(init=False)
    health: monitor.HealthMonitor = attrs.field(init=False)
    claims: claims_assembly.ClaimsParts = attrs.field(init=False)
    callers: callers_listener.CallersListener = attrs.field(init=False)
    callers_server: listening.HttpServer = attrs.field(init=False)
    operators: operators_listener.OperatorsListener = attrs.field(init=False)
    operators_server: listening.HttpServer = attrs.field(init=False)
    reporter: reporting.GaugeReporter = attrs.field(init=False)

    async def run(self) -> None:
        """Serve until SIGTERM, then shut down gracefully."""
        self.stop.install()
        async with bounded_answers.open_session() as session:
            self._build(session)
            await self._start()
            await self.stop.requested.wait()
            await self._drain()
            await self._stop()

    def heartbeat(self) -> messages.Heartbeat:
        """Return this entry's heartbeat."""
        return messages.Heartbeat(
            state=(State.LEAVING if self.drained else self.state).value,
            configuration_version=self.active.version,
            store_reachable=self.table.reachable,
            region=self.settings.region,
            callers_address=self.settings.listen.callers,
            in_flight=self.callers.in_flight,
            held_version=self.active.newest_version,
            failure_domain=self.settings.failure_domain,
        )

    def dump(self) -> dict[str, typing.Any]:
        """Return the process's identity and state for a state dump."""
        return {
            'entry': self.settings.entry,
            'vm_id': self.settings.vm_id,
            'incarnation': self.hub.identity.incarnation,
            'state': self.state.value,
            'drained': self.drained,
            'in_flight': self.callers.in_flight,
            'store_reachable': self.table.reachable,
        }

    def _build(self, session: aiohttp.ClientSession) -> None:
        settings = self.settings
        self.metrics = entry_metrics.open_metrics(
            settings.statsd, settings.entry
        )
        self.table = platform_table.HttpTable(settings.platform.table, session)
        self.hub = peer_hub.PeerHub(
            peer_stream.Identity(
                settings.entry,
                secrets.token_hex(8),
                settings.vm_id,
                entry_settings.read_secret(settings.peer_secret_file),
            ),
            settings.listen.peers,
            self.heartbeat,
        )
        self.members = entry_members.Members(
            settings,
            self.clock,
            vm_list.HttpVmList(settings.platform.vms, session),
            self.hub,
            self.active,
            self.heartbeat,
        )
        self.configuration = exchange.ConfigurationExchange(
            self.clock, self.table, self.active, self.members, self.hub
        )
        self._build_request_path(session)
        self.health = monitor.HealthMonitor(
            self.clock,
            settings.region,
            session,
            self.hub,
            self.slots,
            lambda: self.members.vms.leaving_instances,
            self.members.region_entries,
        )
        self.reporter = reporting.GaugeReporter(
            self.metrics,
            self.table,
            self.slots.server,
            self.limits.limit_manager,
        )
        self.operators = operators_listener.OperatorsListener(
            entry_settings.read_secret(settings.operator_token_file),
            lambda: self.state is State.SERVING and self.slots.is_ready(),
            {
                'process': self,
                'configuration': self.configuration,
                'members': self.members,
                'peers': self.hub,
                'slots': self.slots,
                'health': self.health,
                'claims': self.claims,
                'limits': self.limits,
            },
            operators_assembly.build_route_groups(
                self.configuration, self._set_drained, self.limits
            ),
        )

    def _build_request_path(self, session: aiohttp.ClientSession) -> None:
        self.slots = slots_assembly.build_slots(
            self.clock,
            self.settings.region,
            self.hub,
            self.table,
            self.members.vms,
        )
        self.limits = limits_assembly.build_limits(
            self.settings,
            self.hub,
            self.clock,
            self.table,
            self.members.vms,
            self.slots.server.pools,
        )
        self.upstreams = client.open_client(CONNECTIONS_PER_INSTANCE)
        self.forwarder = forwarding.Forwarder(
            self.settings.entry,
            self.clock,
            self.slots.source,
            self.limits.regions,
            self.upstreams,
            self.limits.regions,
        )
        self.claims = claims_assembly.build_claims(
            self.hub,
            self.clock,
            self.table,
            platform_objects.HttpObjectStore(
                self.settings.platform.objects, session
            ),
            self.forwarder,
            self.active,
        )
        self.callers = callers_listener.CallersListener(
            self.clock,
            self.active,
            self.forwarder,
            self.members,
            self.metrics,
            claims_listener.ClaimsListener(
                self.clock,
                self.active,
                self.claims.gateway,
                lambda: self.state is State.SERVING,
            ),
        )
        self.configuration.changes.subscribe(self._configure)
        self.members.sweeps.subscribe(lambda _: self._update_readiness())

    def _configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        self.slots.configure(configuration)
        self.limits.configure(configuration)
        self.forwarder.configure(configuration)
        self.health.configure(configuration)
        self.claims.configure(configuration)
        self._update_readiness()

    def _set_drained(self, drained: bool) -> None:
        self.drained = drained
        self.hub.broadcast(self.heartbeat())
        self.members.sweep()

    def _update_readiness(self) -> None:
        if self.state is not State.STARTING:
            return
        if self.configuration.startup.update_readiness(
            self.active.version,
            self.members.silent_vms(),
            self.members.newest_peer_version(),
        ):
            self.state = State.SERVING
            events.emit(events.Event.READY, version=self.active.version)
            self.hub.broadcast(self.heartbeat())
            self.members.sweep()

    async def _start(self) -> None:
        listen = self.settings.listen
        self.slots.start()
        await self.hub.start()
        self.members.start()
        self.configuration.start()
        self.health.start()
        self.tasks.extend(self.claims.start())
        self.operators_server = listening.HttpServer(
            self.operators.application(), listen.operators
        )
        self.callers_server = listening.HttpServer(
            self.callers.application(), listen.callers
        )
        await self.operators_server.start()
        await self.callers_server.start()
        self.tasks.extend(self.limits.start())
        for run in (
            self.members.run,
            self.members.run_sweeps,
            self.configuration.run,
            self.health.run,
            self.reporter.run,
        ):
            self.tasks.append(asyncio.create_task(run()))
        events.emit(
            events.Event.STARTED,
            entry=self.settings.entry,
            callers=listen.callers,
        )

    async def _drain(self) -> None:
        """Withdraw from look-up answers and serve until no work is left."""
        self.state = State.LEAVING
        self.members.sweep()
        self.hub.broadcast(self.heartbeat())
        drain = stopping.GracefulDrain(
            self.callers,
            self.callers_server,
            self.slots,
            self.claims,
            self.settings.answer_max_age_s,
            self.settings.stop_limit_s,
        )
        await drain.run(self.stop.forced)

    async def _stop(self) -> None:
        # Requests that have no slot did not run and are refused. Without its
        # upstream, a request ends with the outcome ``unknown``.
        self.slots.source.refuse_waiting()
        await self.callers_server.drain_briefly()
        await client.close_client(self.upstreams)
        await self.callers_server.close()
        await self.operators_server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.limits.stop()
        await self.health.stop()
        await self.slots.stop()
        await self.hub.stop()
        events.emit(events.Event.STOPPED)
