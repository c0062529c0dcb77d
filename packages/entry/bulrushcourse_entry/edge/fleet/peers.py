"""Streams of reports between the VMs, with one task for each receiver."""

import asyncio
import contextlib
import functools
import typing

import attrs

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.fleet import links
from bulrushcourse_domain.resources import descriptors
from bulrushcourse_domain.store import position as positions
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge import supervision
from bulrushcourse_entry.edge.fleet import configuration_queries as vm_queries
from bulrushcourse_entry.edge.fleet import framing
from bulrushcourse_entry.edge.fleet import report_intervals
from bulrushcourse_entry.edge.fleet import reports
from bulrushcourse_entry.edge.fleet import stream_cursor
from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_wire import configuration_queries
from bulrushcourse_wire import fleet_messages
from bulrushcourse_wire import quota_messages

CONNECT_TIMEOUT_S = 1.0
INITIAL_RECONNECT_PAUSE_S = 0.3
# A VM must meet all requirements again 3 s after its network has recovered, so
# the other VMs must reconnect sooner than that.
MAX_RECONNECT_PAUSE_S = 1.2
MAX_REPORT_BYTES = 4 << 20
# Bytes that a stream reads ahead of its report.
READ_AHEAD_BYTES = 16 << 10
READ_TIMEOUT_S = 4.0
# Time between heartbeats to VMs that are silent. They may have been cut off or
# restarted without knowing any other VM.
PROBE_INTERVAL_S = 0.4
# Number of silent VMs that a VM probes at once if it hears no other VM.
ISOLATED_PROBES = 4
# Time between updates of the set of receivers.
RECEIVERS_INTERVAL_S = 0.25
# Length of the accept queue.
PEER_BACKLOG = 100
# Time for the last reports of a VM that stops. Their streams are open, so that
# only a receiver that is cut off uses it. The rest of what
# ``planned_stop.FINISH_SHARE`` leaves is needed to close the listeners.
LAST_REPORTS_TIMEOUT_S = 0.1

# Serves a stream that begins with the preface of another protocol.
StreamServer = typing.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], typing.Awaitable[None]
]


@attrs.define(eq=False)
class SendingTask:
    """The task that sends reports to one VM.

    Attributes:
        vm: The VM.
        relation: What it is to this VM.
        task: The task.
    """

    vm: fleet.Vm
    relation: links.Relation
    task: asyncio.Task[None]


@attrs.define(eq=False)
class PeerStreams:
    """Sends this VM's reports to its receivers and gets those of others.

    Attributes:
        state: The process state.
        event_log: Log.
        reports: Builds and applies the reports.
        sending: Sending tasks by name of the receiver.
        seeds: Sending tasks by address of the seed.
        inbound: Tasks of incoming streams.
        serve_tokens: Serves streams that ask for tokens of quotas.
        queries: Answers questions about the configuration.
        unknown: Incoming streams that have sent no report yet, oldest first.
        directory_read: Wakes the sending tasks when this VM has got the
            upstreams of a later read, or stops.
        is_ending: Whether each sending task ends with its next report.
    """

    state: process_state.ProcessState
    event_log: event_logs.EventLog
    reports: reports.Reports
    serve_tokens: StreamServer
    queries: vm_queries.ConfigurationQueries
    sending: dict[str, SendingTask] = attrs.field(factory=dict)
    seeds: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    inbound: set[asyncio.Task[typing.Any]] = attrs.field(factory=set)
    unknown: dict[asyncio.Task[typing.Any], asyncio.WriteTransport] = (
        attrs.field(factory=dict)
    )
    directory_read: asyncio.Event = attrs.field(factory=asyncio.Event)
    is_ending: bool = False

    def __attrs_post_init__(self) -> None:
        """Subscribe to changes that are forwarded immediately."""
        self.state.directory_reads.subscribe(self._wake)

    def _wake(self, _position: positions.Position) -> None:
        self.directory_read.set()
        self.directory_read.clear()

    async def listen(self, address: str) -> asyncio.Server:
        """Accept streams of other VMs.

        Args:
            address: ``ip:port`` to listen on.
        """
        host, _, port = address.rpartition(':')
        sockets = descriptors.plan(self.state.settings.max_descriptors)
        return await asyncio.start_server(
            self._receive,
            host,
            int(port),
            limit=READ_AHEAD_BYTES,
            backlog=max(1, min(PEER_BACKLOG, sockets.unknown_streams)),
        )

    def contact_seeds(self) -> None:
        """Send reports to the configured seeds, so that they add this VM."""
        local_vm = self.state.fleet.local_vm
        for address in self.state.settings.seeds:
            if address != local_vm.peer_address and address not in self.seeds:
                self.seeds[address] = self._start(
                    address, functools.partial(self._send_to_seed, address)
                )

    async def run(self) -> None:
        """Keep one sending task for each receiver until cancelled."""
        while True:
            self._update_receivers()
            await asyncio.sleep(RECEIVERS_INTERVAL_S)

    async def probe_silent_vms(self) -> None:
        """Send heartbeats to silent VMs until cancelled."""
        vms = self.state.fleet
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            silent = [vm for vm in vms.silent() if vm.peer_address]
            is_isolated = len(silent) == len(vms.peers)
            count = min(len(silent), ISOLATED_PROBES if is_isolated else 1)
            probed = self.state.rng.sample(silent, count)
            await asyncio.gather(*(self._probe(vm) for vm in probed))

    async def _probe(self, vm: fleet.Vm) -> None:
        try:
            await self._introduce(vm.peer_address, vm.name, vm.region)
        except (OSError, TimeoutError):
            # It is still silent.
            pass

    def _update_receivers(self) -> None:
        receivers = {
            name: (self.state.fleet.peers[name], relation)
            for name, relation in self.state.links.receivers().items()
            if name in self.state.fleet.peers
        }
        for name, sending in list(self.sending.items()):
            if receivers.get(name) != (sending.vm, sending.relation):
                sending.task.cancel()
                del self.sending[name]
        for name, (vm, relation) in receivers.items():
            if name not in self.sending and vm.peer_address:
                run = functools.partial(self._send_to, vm, relation)
                task = self._start(name, run)
                self.sending[name] = SendingTask(vm, relation, task)

    def add_vm(self, vm: fleet.Vm, from_itself: bool = False) -> None:
        """Add a VM to the fleet, and pass it on if another VM named it.

        Args:
            vm: The VM.
            from_itself: Whether the VM itself sent this description.
        """
        if self.state.fleet.add_vm(vm, from_itself):
            self.reports.new_vms.add(vm)

    def _start(
        self,
        name: str,
        run: typing.Callable[
            [], typing.Coroutine[typing.Any, typing.Any, None]
        ],
    ) -> asyncio.Task[None]:
        return asyncio.create_task(
            supervision.keep_running(f'stream to {name}', run, self.event_log)
        )

    async def send_last_reports(self) -> None:
        """Tell the receivers what this VM has learnt since the last reports.

        Nobody else knows the losses and the leaving upstreams that were seen
        in the last requests. A receiver that can't be reached is not waited
        for longer than ``LAST_REPORTS_TIMEOUT_S``.
        """
        self.state.crash_ledger.outbox.release_all()
        self.is_ending = True
        self.directory_read.set()
        tasks = [sending.task for sending in self.sending.values()]
        if tasks:
            await asyncio.wait(tasks, timeout=LAST_REPORTS_TIMEOUT_S)

    async def close(self) -> None:
        """Close all streams."""
        tasks = [
            *(sending.task for sending in self.sending.values()),
            *self.seeds.values(),
            *self.inbound,
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_to_seed(self, address: str) -> None:
        """Send reports to a seed until another VM is alive."""
        while len(self.state.fleet.alive()) == 1:
            try:
                await self._introduce(address, '', '')
                await asyncio.sleep(report_intervals.MIN_REPORT_INTERVAL_S)
            except (OSError, TimeoutError):
                # The seed may be down. Other seeds and the rows in the store
                # lead to the other VMs as well.
                await asyncio.sleep(INITIAL_RECONNECT_PAUSE_S)

    async def _introduce(self, address: str, name: str, region: str) -> None:
        """Tell a VM that this one exists."""
        cursor = self.reports.open_cursor(name, region, links.Relation.CONTACT)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await framing.connect(address)
            try:
                _write(writer, self.reports.build(cursor))
                await writer.drain()
            finally:
                writer.close()

    async def _send_to(self, vm: fleet.Vm, relation: links.Relation) -> None:
        pause = INITIAL_RECONNECT_PAUSE_S
        connected = False
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await framing.connect(vm.peer_address)
                pause = INITIAL_RECONNECT_PAUSE_S
                connected = True
                self.event_log.log_change(
                    events.Event.PEER_CONNECTED,
                    vm=vm.name,
                    relation=relation.value,
                )
                await self._send_reports(vm, relation, reader, writer)
            except (OSError, TimeoutError) as error:
                if connected and isinstance(error, TimeoutError):
                    self.state.silent_connection_hints.on_next(
                        process_state.SilentConnectionHint.PEER_STREAM
                    )
                if connected:
                    self.event_log.log_change(
                        events.Event.PEER_LOST, vm=vm.name, reason=repr(error)
                    )
                connected = False
            if self.is_ending:
                return
            await asyncio.sleep(pause)
            pause = min(MAX_RECONNECT_PAUSE_S, pause * 2)

    async def _send_reports(
        self,
        vm: fleet.Vm,
        relation: links.Relation,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        cursor = self.reports.open_cursor(vm.name, vm.region, relation)
        try:
            while not reader.at_eof():
                is_last = self.is_ending
                _write(writer, self.reports.build(cursor))
                async with asyncio.timeout(framing.USER_TIMEOUT_MS / 1000):
                    await writer.drain()
                if is_last:
                    break
                await self._wait_for_next_report(cursor)
        finally:
            writer.close()
        if self.is_ending:
            # Closing a stream sends what is still buffered first.
            await writer.wait_closed()

    async def _wait_for_next_report(
        self, cursor: stream_cursor.StreamCursor
    ) -> None:
        """Wait until a report is due or changes are to be forwarded."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                self.reports.interval_s(cursor.relation)
            ):
                while not self.is_ending:
                    await self.directory_read.wait()
                    if self.reports.directory.is_urgent(cursor):
                        return

    async def _receive(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self.inbound.add(task)
        self._limit_unknown(task, writer)
        sender = None
        roster: tuple[tuple[str, int], ...] = ()
        try:
            while True:
                async with asyncio.timeout(READ_TIMEOUT_S):
                    content = await framing.read_frame(
                        reader, MAX_REPORT_BYTES, self.state.memory
                    )
                if await self._serve_other(content, reader, writer):
                    return
                report = fleet_messages.decode(content)
                self.unknown.pop(task, None)
                sender = report.vm or sender
                if sender is None:
                    raise fleet_messages.MalformedReport('no sender')
                roster = roster if report.roster is None else report.roster
                if sender.name != self.state.fleet.local_vm.name:
                    self.add_vm(sender, from_itself=True)
                    for vm in self.reports.apply(sender, report, roster):
                        self.add_vm(vm)
                # Reading does not wait while further reports are buffered.
                await asyncio.sleep(0)
        except (OSError, EOFError, TimeoutError):
            # The VM stopped, restarted, was cut off or uses other relays. The
            # fleet notices by the age of its last heartbeat.
            pass
        except (
            fleet_messages.MalformedReport,
            configuration_queries.MalformedMessage,
            framing.OversizedFrame,
        ) as error:
            self.event_log.log_change(
                events.Event.PEER_REFUSED, reason=str(error)
            )
        except Exception as error:
            # A well-formed report with values that no VM sends. The stream is
            # closed, and the sender opens another one.
            self.event_log.log_change(
                events.Event.PEER_REFUSED, reason=repr(error)
            )
        except asyncio.CancelledError:
            # Tasks of incoming streams are cancelled only when the process
            # stops.
            pass
        finally:
            self.inbound.discard(task)
            self.unknown.pop(task, None)
            writer.close()

    async def _serve_other(
        self,
        content: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve a stream that carries no reports until it ends.

        Returns:
            Whether it is such a stream, by its first frame.
        """
        if content == quota_messages.STREAM_PREFACE:
            self.unknown.pop(asyncio.current_task(), None)
            await self.serve_tokens(reader, writer)
            return True
        if content.startswith(configuration_queries.PREFACE):
            await self.queries.answer(content, writer)
            return True
        return False

    def _limit_unknown(
        self, task: asyncio.Task[typing.Any], writer: asyncio.StreamWriter
    ) -> None:
        """Close the oldest stream without a report if there are too many."""
        transport = writer.transport
        # The loop's default would let one read bring 256 KiB.
        transport.max_size = READ_AHEAD_BYTES
        self.unknown[task] = transport
        limit = descriptors.plan(self.state.settings.max_descriptors)
        while len(self.unknown) > limit.unknown_streams:
            oldest = next(iter(self.unknown))
            self.unknown.pop(oldest).abort()
            self.event_log.log_change(
                events.Event.PEER_REFUSED, reason='too many unknown streams'
            )


def _write(
    writer: asyncio.StreamWriter, report: fleet_messages.Report
) -> None:
    framing.write_frame(writer, fleet_messages.encode(report))
