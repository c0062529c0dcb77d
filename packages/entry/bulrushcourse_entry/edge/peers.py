"""Streams of reports between the VMs; one task for each peer."""

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
from bulrushcourse_entry.edge import knowledge as knowledges
from bulrushcourse_entry.edge import reports
from bulrushcourse_entry.edge import supervision
from bulrushcourse_wire import fleet_messages

CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSE_S = 0.3
# A VM is held to its duties 3 s after its links are back, so that others must
# try again sooner.
LONGEST_PAUSE_S = 1.2
# Data that is not acknowledged for so long ends the connection.
USER_TIMEOUT_MS = 1500
MAX_REPORT_BYTES = 4 << 20
READ_TIMEOUT_S = 4.0
_HEADER = struct.Struct('>I')


@attrs.define(eq=False)
class PeerStreams:
    """Sends this VM's reports to every other VM and takes theirs.

    Attributes:
        known: What this process believes.
        event_log: Log.
        reports: What is said in the streams.
        tasks: Sending tasks by VM name, and by address for seeds.
        inbound: Tasks of incoming streams.
        readings: Readings of the upstreams' entries to pass on, so far.
        read: Wakes the sending tasks after each such reading.
    """

    known: knowledges.Knowledge
    event_log: event_logs.EventLog
    reports: reports.Reports
    tasks: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    inbound: set[asyncio.Task[typing.Any]] = attrs.field(factory=set)
    readings: int = 0
    read: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Follow the readings to pass on and the VMs that are removed."""
        self.known.readings.subscribe(self._pass_on)
        self.known.removed.subscribe(self._forget)

    def _pass_on(self, _version: int) -> None:
        self.readings += 1
        self.read.set()
        self.read.clear()

    def _forget(self, vm: str) -> None:
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

    def greet_seeds(self) -> None:
        """Call the VMs that the settings name, to be known to them."""
        me = self.known.fleet.local_vm
        for address in self.known.settings.seeds:
            if address != me.peer_address and address not in self.tasks:
                self._start(address, functools.partial(self._greet, address))

    def meet(self, vm: fleet.Vm, from_itself: bool = False) -> None:
        """Start sending to a VM that was learned of.

        Args:
            vm: The VM.
            from_itself: Whether it said itself that it exists.
        """
        learned = self.known.fleet.add_vm(vm, from_itself)
        if not learned or not vm.peer_address:
            return
        old = self.tasks.pop(vm.name, None)
        if old is not None:
            old.cancel()
        self._start(vm.name, functools.partial(self._send_to, vm))

    def _start(
        self,
        name: str,
        work: typing.Callable[
            [], typing.Coroutine[typing.Any, typing.Any, None]
        ],
    ) -> None:
        self.tasks[name] = asyncio.create_task(
            supervision.keep_running(f'stream to {name}', work, self.event_log)
        )

    async def close(self) -> None:
        """End all streams."""
        tasks = [*self.tasks.values(), *self.inbound]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _greet(self, address: str) -> None:
        """Send to a seed until some VM has been heard."""
        while len(self.known.fleet.alive()) == 1:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, writer = await _connect(address)
                    _write(writer, self.reports.make())
                    await writer.drain()
                await asyncio.sleep(reports.REPORT_INTERVAL_S)
                writer.close()
            except (OSError, TimeoutError):
                # The seed may be down; another one or the store will do.
                await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _send_to(self, vm: fleet.Vm) -> None:
        pause = RECONNECT_PAUSE_S
        connected = False
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await _connect(vm.peer_address)
                pause = RECONNECT_PAUSE_S
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
            pause = min(LONGEST_PAUSE_S, pause * 2)

    async def _send_reports(
        self,
        vm: fleet.Vm,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        first = True
        told = 0
        passed_on = 0
        try:
            while not reader.at_eof():
                # A reading without a change is news too: it is fresh.
                delta = None
                if passed_on < self.readings:
                    delta = self.known.upstreams.delta_since(told)
                    told, passed_on = delta.version, self.readings
                report = self.reports.make(
                    to=vm.name,
                    region=vm.region,
                    delta=delta,
                    with_name=first,
                )
                first = False
                _write(writer, report)
                async with asyncio.timeout(USER_TIMEOUT_MS / 1000):
                    await writer.drain()
                await self._pause(vm.region)
        finally:
            writer.close()

    async def _pause(self, region: str) -> None:
        """Wait for the next report's time or for a reading to pass on."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.reports.interval_s(region)):
                await self.read.wait()

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
                if sender.name != self.known.fleet.local_vm.name:
                    self.meet(sender, from_itself=True)
                    for vm in self.reports.take(sender, report):
                        self.meet(vm)
        except (OSError, EOFError, TimeoutError):
            # The VM ended, restarted or was cut off; its silence is noticed
            # by the fleet's own ages.
            pass
        except fleet_messages.MalformedReport as error:
            self.event_log.log_change(
                events.Event.PEER_REFUSED, reason=str(error)
            )
        except Exception as error:
            # Readable, but with values that no VM sends. The stream ends, and
            # the sender opens another one.
            self.event_log.log_change(
                events.Event.PEER_REFUSED, reason=repr(error)
            )
        except asyncio.CancelledError:
            # Server tasks are cancelled only when the process ends.
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
