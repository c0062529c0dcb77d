"""Streams of reports between the VMs, with one task for each peer."""

import asyncio
import contextlib
import functools
import socket
import struct
import typing

import attrs

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import event_log as event_logs
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge import reports
from bulrushcourse_entry.edge import supervision
from bulrushcourse_wire import fleet_messages

CONNECT_TIMEOUT_S = 1.0
INITIAL_RECONNECT_PAUSE_S = 0.3
# A VM must meet all requirements again 3 s after its network has recovered, so
# the other VMs must reconnect sooner than that.
MAX_RECONNECT_PAUSE_S = 1.2
# A connection is closed when data stays unacknowledged for this long.
USER_TIMEOUT_MS = 1500
MAX_REPORT_BYTES = 4 << 20
READ_TIMEOUT_S = 4.0
_HEADER = struct.Struct('>I')


@attrs.define(eq=False)
class PeerStreams:
    """Sends this VM's reports to every other VM and receives theirs.

    Attributes:
        state: The process state.
        event_log: Log.
        reports: Builds and applies the reports.
        tasks: Sending tasks by VM name, and by address for seeds.
        inbound: Tasks of incoming streams.
        snapshots_read: How often this VM has read the upstreams' rows as a
            designated reader.
        snapshot_read_event: Wakes the sending tasks after each such read.
    """

    state: process_state.ProcessState
    event_log: event_logs.EventLog
    reports: reports.Reports
    tasks: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    inbound: set[asyncio.Task[typing.Any]] = attrs.field(factory=set)
    snapshots_read: int = 0
    snapshot_read_event: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Subscribe to snapshots to be forwarded and to removed VMs."""
        self.state.snapshot_versions.subscribe(self._on_snapshot)
        self.state.removed_vms.subscribe(self._stop_sending)

    def _on_snapshot(self, _version: int) -> None:
        self.snapshots_read += 1
        self.snapshot_read_event.set()
        self.snapshot_read_event.clear()

    def _stop_sending(self, vm: str) -> None:
        task = self.tasks.pop(vm, None)
        if task is not None:
            task.cancel()

    async def listen(self, address: str) -> asyncio.Server:
        """Accept streams of other VMs.

        Args:
            address: ``ip:port`` to listen on.
        """
        host, _, port = address.rpartition(':')
        return await asyncio.start_server(self._receive, host, int(port))

    def contact_seeds(self) -> None:
        """Send reports to the configured seeds, so that they add this VM."""
        local_vm = self.state.fleet.local_vm
        for address in self.state.settings.seeds:
            if address != local_vm.peer_address and address not in self.tasks:
                self._start(
                    address, functools.partial(self._send_to_seed, address)
                )

    def add_vm(self, vm: fleet.Vm, from_itself: bool = False) -> None:
        """Add a VM to the fleet and start sending reports to it.

        Args:
            vm: The VM.
            from_itself: Whether the VM itself sent this description.
        """
        changed = self.state.fleet.add_vm(vm, from_itself)
        if not changed or not vm.peer_address:
            return
        old = self.tasks.pop(vm.name, None)
        if old is not None:
            old.cancel()
        self._start(vm.name, functools.partial(self._send_to, vm))

    def _start(
        self,
        name: str,
        run: typing.Callable[
            [], typing.Coroutine[typing.Any, typing.Any, None]
        ],
    ) -> None:
        self.tasks[name] = asyncio.create_task(
            supervision.keep_running(f'stream to {name}', run, self.event_log)
        )

    async def close(self) -> None:
        """Close all streams."""
        tasks = [*self.tasks.values(), *self.inbound]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_to_seed(self, address: str) -> None:
        """Send reports to a seed until another VM is alive."""
        while len(self.state.fleet.alive()) == 1:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, writer = await _connect(address)
                    _write(writer, self.reports.build())
                    await writer.drain()
                await asyncio.sleep(reports.MIN_REPORT_INTERVAL_S)
                writer.close()
            except (OSError, TimeoutError):
                # The seed may be down. Other seeds and the rows in the store
                # lead to the other VMs as well.
                await asyncio.sleep(INITIAL_RECONNECT_PAUSE_S)

    async def _send_to(self, vm: fleet.Vm) -> None:
        pause = INITIAL_RECONNECT_PAUSE_S
        connected = False
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await _connect(vm.peer_address)
                pause = INITIAL_RECONNECT_PAUSE_S
                connected = True
                self.event_log.log_change(
                    events.Event.PEER_CONNECTED, vm=vm.name
                )
                await self._send_reports(vm, reader, writer)
            except (OSError, TimeoutError) as error:
                if connected:
                    self.event_log.log_change(
                        events.Event.PEER_LOST, vm=vm.name, reason=repr(error)
                    )
                connected = False
            await asyncio.sleep(pause)
            pause = min(MAX_RECONNECT_PAUSE_S, pause * 2)

    async def _send_reports(
        self,
        vm: fleet.Vm,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        is_first = True
        sent_version = 0
        snapshots_sent = 0
        try:
            while not reader.at_eof():
                # A read without changes is forwarded too, since it proves
                # that the receiver's directory is up to date.
                delta = None
                if snapshots_sent < self.snapshots_read:
                    delta = self.state.upstreams.delta_since(sent_version)
                    sent_version, snapshots_sent = (
                        delta.version,
                        self.snapshots_read,
                    )
                report = self.reports.build(
                    to=vm.name,
                    region=vm.region,
                    delta=delta,
                    include_sender=is_first,
                )
                is_first = False
                _write(writer, report)
                async with asyncio.timeout(USER_TIMEOUT_MS / 1000):
                    await writer.drain()
                await self._wait_for_next_report(vm.region)
        finally:
            writer.close()

    async def _wait_for_next_report(self, region: str) -> None:
        """Wait until a report is due or a snapshot is to be forwarded."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.reports.interval_s(region)):
                await self.snapshot_read_event.wait()

    async def _receive(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self.inbound.add(task)
        sender = None
        try:
            while True:
                async with asyncio.timeout(READ_TIMEOUT_S):
                    header = await reader.readexactly(_HEADER.size)
                    (size,) = _HEADER.unpack(header)
                    if size > MAX_REPORT_BYTES:
                        raise fleet_messages.MalformedReport(f'{size} bytes')
                    content = await reader.readexactly(size)
                report = fleet_messages.decode(content)
                sender = report.vm or sender
                if sender is None:
                    raise fleet_messages.MalformedReport('no sender')
                if sender.name != self.state.fleet.local_vm.name:
                    self.add_vm(sender, from_itself=True)
                    for vm in self.reports.apply(sender, report):
                        self.add_vm(vm)
        except (OSError, EOFError, TimeoutError):
            # The VM stopped, restarted or was cut off. The fleet notices by
            # the age of its last heartbeat.
            pass
        except fleet_messages.MalformedReport as error:
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
            writer.close()


async def _connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    sock = writer.get_extra_info('socket')
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    return reader, writer


def _write(
    writer: asyncio.StreamWriter, report: fleet_messages.Report
) -> None:
    content = fleet_messages.encode(report)
    writer.write(_HEADER.pack(len(content)) + content)
