"""Streams of reports between the VMs; one task for each peer."""

import asyncio
import contextlib
import socket
import struct
import typing

import attrs

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import journal as journals
from bulrushcourse_entry.edge import knowledge as knowledges
from bulrushcourse_entry.edge import reading
from bulrushcourse_wire import fleet_messages

# Several reports within the time that a piece of work takes.
REPORT_INTERVAL_S = 0.25
# Reports grow with the fleet, so that larger fleets send fewer.
VMS_AT_FULL_RATE = 16
SLOWEST_INTERVAL_S = 1.0
# Bytes between regions are dear and placement there follows slow shares.
# The slowest interval still beats the time after which a VM counts as gone.
OTHER_REGION_FACTOR = 2.0
SLOWEST_OTHER_REGION_S = 1.2
CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSE_S = 0.3
LONGEST_PAUSE_S = 4.0
# Data that is not acknowledged for so long ends the connection.
USER_TIMEOUT_MS = 1500
MAX_REPORT_BYTES = 4 << 20
# VMs also learn of each other from the store and from the first report.
VM_LIST_EVERY = 240
READ_TIMEOUT_S = 4.0
_HEADER = struct.Struct('>I')


@attrs.define(eq=False)
class PeerStreams:
    """Sends this VM's reports to every other VM and takes theirs.

    Attributes:
        known: What this process believes.
        journal: Log.
        tasks: Sending tasks by VM name, and by address for seeds.
        losses: Fresh losses of upstreams by the peer that lacks them.
        inbound: Tasks of incoming streams.
        versions: Version of the configuration in force, by VM.
        readings: Readings of the upstreams' entries to pass on, so far.
        read: Wakes the sending tasks after each such reading.
    """

    known: knowledges.Knowledge
    journal: journals.Journal
    tasks: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    losses: dict[str, list[tuple[str, str]]] = attrs.field(factory=dict)
    inbound: set[asyncio.Task[typing.Any]] = attrs.field(factory=set)
    versions: dict[str, int] = attrs.field(factory=dict)
    readings: int = 0
    read: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Follow the readings that this VM makes for all."""
        self.known.readings.subscribe(self._pass_on)

    def _pass_on(self, _version: int) -> None:
        self.readings += 1
        self.read.set()
        self.read.clear()

    async def listen(self, address: str) -> asyncio.Server:
        """Accept streams of other VMs.

        Args:
            address: ``ip:port`` to listen on.
        """
        host, _, port = address.rpartition(':')
        return await asyncio.start_server(self._receive, host, int(port))

    def greet_seeds(self) -> None:
        """Call the VMs that the settings name, to be known to them."""
        me = self.known.fleet.me
        for address in self.known.settings.seeds:
            if address != me.peer_address and address not in self.tasks:
                self.tasks[address] = asyncio.create_task(self._greet(address))

    def meet(self, vm: fleet.Vm) -> None:
        """Start sending to a VM that was learned of.

        Args:
            vm: The VM.
        """
        if not self.known.fleet.learn(vm) or not vm.peer_address:
            return
        old = self.tasks.pop(vm.name, None)
        if old is not None:
            old.cancel()
        self.tasks[vm.name] = asyncio.create_task(self._send_to(vm))

    def share_loss(self, fingerprint: str, upstream: str) -> None:
        """Tell all VMs that a request has lost an upstream.

        Args:
            fingerprint: Hash of the request's content.
            upstream: Incarnation of the upstream.
        """
        for name in self.known.fleet.known:
            self.losses.setdefault(name, []).append((fingerprint, upstream))

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
                    _write(writer, self._report())
                    await writer.drain()
                await asyncio.sleep(REPORT_INTERVAL_S)
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
                self.journal.belief(events.Event.PEER_CONNECTED, vm=vm.name)
                await self._send_reports(vm, reader, writer)
            except (OSError, TimeoutError) as error:
                if connected:
                    self.journal.belief(
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
        count = 0
        told = 0
        passed_on = 0
        try:
            while not reader.at_eof():
                # A reading without a change is news too: it is fresh.
                news = None
                if passed_on < self.readings:
                    news = self.known.upstreams.news_since(told)
                    told, passed_on = news.version, self.readings
                report = self._report(
                    to=vm.name,
                    region=vm.region,
                    news=news,
                    with_vms=count % VM_LIST_EVERY == 0,
                )
                _write(writer, report)
                async with asyncio.timeout(USER_TIMEOUT_MS / 1000):
                    await writer.drain()
                count += 1
                await self._pause(vm.region)
        finally:
            writer.close()

    async def _pause(self, region: str) -> None:
        """Wait for the next report's time or for a reading to pass on."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.interval_s(region)):
                await self.read.wait()

    def interval_s(self, region: str) -> float:
        """Return the time between reports to a VM at the present size.

        Args:
            region: Region of the VM.
        """
        other = region != self.known.settings.region
        return report_interval_s(len(self.known.fleet.known) + 1, other)

    def _report(
        self,
        to: str = '',
        region: str = '',
        news: upstreams.News | None = None,
        with_vms: bool = True,
    ) -> fleet_messages.Report:
        known = self.known
        fleet_known = known.fleet.known
        heard = self.versions.get(to, known.routes.version)
        return fleet_messages.Report(
            vm=known.fleet.me,
            phase=known.fleet.phase,
            configuration_version=known.routes.version,
            in_flight=known.load.own,
            slowness=self._recent_slowness(region),
            demand=known.demand.own_slots(),
            losses=self.losses.pop(to, []),
            operators_version=known.operators_version,
            evacuated=sorted(known.upstreams.evacuated),
            news=news,
            vms=list(fleet_known.values()) if with_vms else [],
            configuration=(
                known.configuration if heard < known.routes.version else b''
            ),
        )

    def _recent_slowness(self, region: str) -> dict[str, tuple[float, float]]:
        now = self.known.clock.monotonic()
        interval = self.interval_s(region) * 1.2
        return {
            upstream: (round(value, 2), round(now - at, 3))
            for upstream, (value, at) in self.known.load.fresh.items()
            if now - at <= interval
        }

    async def _receive(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self.inbound.add(task)
        try:
            while True:
                async with asyncio.timeout(READ_TIMEOUT_S):
                    header = await reader.readexactly(_HEADER.size)
                    (size,) = _HEADER.unpack(header)
                    if size > MAX_REPORT_BYTES:
                        raise fleet_messages.MalformedReport(f'{size} bytes')
                    content = await reader.readexactly(size)
                self._take(fleet_messages.decode(content))
        except (OSError, EOFError, TimeoutError):
            # The VM ended, restarted or was cut off; its silence is noticed
            # by the fleet's own ages.
            pass
        except fleet_messages.MalformedReport as error:
            self.journal.belief(events.Event.PEER_REFUSED, reason=str(error))
        except asyncio.CancelledError:
            # Server tasks are cancelled only when the process ends.
            pass
        finally:
            self.inbound.discard(task)
            writer.close()

    def _take(self, report: fleet_messages.Report) -> None:
        known = self.known
        vm = report.vm
        if vm.name == known.fleet.me.name:
            return
        self.meet(vm)
        if known.fleet.hear(vm, report.phase):
            self.journal.belief(
                events.Event.MEMBER_CHANGED, vm=vm.name, state='alive'
            )
        self.versions[vm.name] = report.configuration_version
        known.load.hear_peer(vm.name, report.in_flight)
        known.demand.hear(vm.name, vm.region, report.demand)
        for upstream, (value, age_s) in report.slowness.items():
            known.load.hear_slowness(upstream, value, age_s)
        for fingerprint, upstream in report.losses:
            known.crashes.note_loss(fingerprint, upstream)
        if report.configuration:
            reading.offer_configuration(
                known, self.journal, report.configuration
            )
        reading.offer_evacuations(
            known,
            self.journal,
            report.operators_version,
            frozenset(report.evacuated),
        )
        if report.news is not None:
            for change in known.upstreams.apply(report.news):
                known.changes.on_next(change)
        for other in report.vms:
            self.meet(other)


def report_interval_s(size: int, other_region: bool = False) -> float:
    """Return the time between reports to one VM in seconds.

    Args:
        size: VMs in the fleet.
        other_region: Whether the VM is in another region.

    Examples:
        >>> report_interval_s(11), report_interval_s(11, other_region=True)
        (0.25, 0.5)
    """
    scaled = REPORT_INTERVAL_S * size / VMS_AT_FULL_RATE
    interval = min(SLOWEST_INTERVAL_S, max(REPORT_INTERVAL_S, scaled))
    if not other_region:
        return interval
    return min(SLOWEST_OTHER_REGION_S, interval * OTHER_REGION_FACTOR)


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
