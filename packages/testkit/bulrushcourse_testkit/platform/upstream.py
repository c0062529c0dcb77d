"""Stand-in of an upstream of the users' platform."""

import asyncio
import contextlib
import math
import time
import typing
import weakref

import attrs

from bulrushcourse_testkit.platform import endless
from bulrushcourse_testkit.platform import raw_http
from bulrushcourse_testkit.platform import upstream_faults

Fault = upstream_faults.Fault
HEALTH_PATH = '/health'


@attrs.frozen
class Arrival:
    """A request that reached an upstream.

    Attributes:
        received_at: Monotonic time of the arrival in seconds.
        request_id: Identifier of the request.
        method: HTTP method.
        target: Path and query.
        body: Body.
        headers: Headers with names in lower case.
        ran: Whether the upstream ran it.
        head: Head as received.
    """

    received_at: float
    request_id: str
    method: str
    target: str
    body: bytes
    headers: dict[str, str]
    ran: bool
    head: bytes = b''


@attrs.define(eq=False)
class UpstreamStandIn:
    """An upstream that speaks HTTP/1.1 over plain streams.

    It does not use an HTTP library, so that it can violate the protocol.

    Attributes:
        name: Identifier of the upstream.
        service: Service that it belongs to.
        failure_domain: Failure domain in its row.
        slots: Number of slots in its row and in its load reports.
        work_s: Time that a request takes, in seconds.
        fault: Fault that it simulates.
        crashes_on: Path of a request that ends its process when it begins to
            run it; the process does not come back.
        crashes_for: Client account whose requests do so, empty for all.
        crash_after: Returns what it sends of the response before it crashes,
            ``None`` if it crashes when it begins to run the request.
        crash_delay_s: Time between these bytes and the crash, in seconds.
        idle_reset_s: Idle time in seconds after which it resets a connection
            when the next request arrives.
        arrivals: Requests that reached it.
        heads: Requests whose head reached it, without their bodies.
        aborted_runs: Number of requests whose connection closed while they
            ran.
        running: Number of requests that are running.
        health_s: Time until it answers a health request, in seconds.
        names_itself: Whether health responses name the upstream.
        health_checks: Number of health requests that reached it.
        sending: Number of connections on which it sends without end.
        cut_off: Number of such connections that the VM closed.
        extra_headers: Further header lines of all responses.
        content: Body of its responses, ``None`` for its name and the
            identifier of the request.
        respond: Returns the bytes that it sends after it ran a request, from
            the identifier of the request; ``None`` for a response.
        address: ``ip:port`` once started.
        state: State in its row.
        warmup_left: Remaining warm-up time in its row.
        incarnation: Number of its process, increased by each restart.
        beats: Number of times that it wrote its row.
        server: Listening server, ``None`` before the start.
        last_responses: Last response on each connection.
        connections: Open connections.
    """

    name: str
    service: str = 'catalog'
    failure_domain: str = 'a1'
    slots: int = 4
    work_s: float = 0.01
    fault: Fault = Fault.NONE
    crashes_on: str = ''
    crashes_for: str = ''
    crash_after: typing.Callable[[bytes], bytes] | None = None
    crash_delay_s: float = 0.02
    idle_reset_s: float = math.inf
    arrivals: list[Arrival] = attrs.field(factory=list)
    heads: list[Arrival] = attrs.field(factory=list)
    aborted_runs: int = 0
    running: int = 0
    health_s: float = 0.0
    names_itself: bool = True
    health_checks: int = 0
    sending: int = 0
    cut_off: int = 0
    extra_headers: tuple[str, ...] = ()
    content: bytes | None = None
    respond: typing.Callable[[str], bytes] | None = None
    address: str = ''
    state: str = 'ready'
    warmup_left: str = '0ms'
    incarnation: int = 1
    beats: int = 1
    server: asyncio.Server | None = None
    last_responses: weakref.WeakKeyDictionary[asyncio.StreamWriter, bytes] = (
        attrs.field(factory=weakref.WeakKeyDictionary)
    )
    connections: weakref.WeakSet[asyncio.StreamWriter] = attrs.field(
        factory=weakref.WeakSet
    )

    async def start(self) -> None:
        """Listen on a free loopback port, or on the previous one if any."""
        port = int(self.address.rpartition(':')[2] or 0)
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    @property
    def row(self) -> dict[str, object]:
        """Row of the upstream in the platform's store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.failure_domain,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'warmup_left': self.warmup_left,
            'seq': self.beats,
            'born': self.incarnation,
        }

    @property
    def ran(self) -> list[Arrival]:
        """Requests that the upstream ran."""
        return [arrival for arrival in self.arrivals if arrival.ran]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections.add(writer)
        try:
            while await self._handle_request(reader, writer):
                pass
        except (OSError, EOFError):
            # The VM closed the connection.
            pass
        except asyncio.CancelledError:
            # The event loop of the test is closing.
            pass
        finally:
            writer.close()

    async def _handle_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        idle_since = time.monotonic()
        raw_head = await reader.readuntil(b'\r\n\r\n')
        head = raw_head.decode(errors='surrogateescape')
        if time.monotonic() - idle_since > self.idle_reset_s:
            raw_http.reset_connection(writer)
            return False
        line, *lines = head.strip().split('\r\n')
        method, target, _ = line.split(' ')
        headers = {
            name.lower(): value
            for name, _, value in (text.partition(': ') for text in lines)
        }
        request_id = headers.get('x-request-id', '')
        self.heads.append(
            Arrival(
                time.monotonic(),
                request_id,
                method,
                target,
                b'',
                headers,
                False,
            )
        )
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        if target == HEALTH_PATH:
            return await self._answer_health_request(reader, writer)
        expected_name = headers.get('x-expect-instance', self.name)
        shed = self._sheds(writer)
        runs = expected_name == self.name and not shed
        self.arrivals.append(
            Arrival(
                time.monotonic(),
                request_id,
                method,
                target,
                body,
                headers,
                runs,
                raw_head,
            )
        )
        if expected_name != self.name:
            instance_id = f'X-Instance-Id: {self.name}'
            writer.write(
                raw_http.format_response(
                    421, request_id, b'', instance_id, *self.extra_headers
                )
            )
            return True
        if shed:
            self._refuse(writer, request_id)
            return True
        if self._crashes(target, headers):
            await self._crash(writer, request_id)
            return False
        if not await self._simulate_work(reader):
            return False
        return await self._answer(writer, method, request_id)

    async def _answer(
        self, writer: asyncio.StreamWriter, method: str, request_id: str
    ) -> bool:
        content = self.content
        if content is None:
            content = f'{self.name}:{request_id}'.encode()
        if self.fault in upstream_faults.COPYING and self._last_response(
            writer
        ):
            writer.write(self._last_response(writer))
            await writer.drain()
        if self.respond is not None:
            writer.write(self.respond(request_id))
            return True
        if method == 'HEAD':
            await self._send_head(writer, request_id, content)
            return True
        return await self._send_response(writer, request_id, content)

    async def _answer_health_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        self.health_checks += 1
        if self.fault is Fault.SILENT:
            await reader.read(1)
            return False
        if self.fault is Fault.SHED:
            self._refuse(writer, '')
            return True
        await asyncio.sleep(self.health_s)
        lines = [f'X-Instance-Id: {self.name}'] if self.names_itself else []
        writer.write(raw_http.format_response(200, '', b'', *lines))
        return True

    async def _send_head(
        self, writer: asyncio.StreamWriter, request_id: str, content: bytes
    ) -> None:
        response = raw_http.format_response(
            200, request_id, content, 'X-Server-Signature: signed'
        )
        writer.write(response.removesuffix(content))
        await writer.drain()

    def end(self) -> None:
        """End like a process that crashes: without a word to the store."""
        self.server.close()
        for writer in list(self.connections):
            # Some of them are closed already.
            with contextlib.suppress(OSError):
                raw_http.reset_connection(writer)

    def _crashes(self, target: str, headers: dict[str, str]) -> bool:
        account = headers.get('x-tenant', '')
        return target == self.crashes_on and (
            not self.crashes_for or account == self.crashes_for
        )

    async def _crash(
        self, writer: asyncio.StreamWriter, request_id: str
    ) -> None:
        if self.crash_after is not None:
            content = f'{self.name}:{request_id}'.encode()
            response = raw_http.format_response(
                200, request_id, content, 'X-Server-Signature: signed'
            )
            writer.write(self.crash_after(response))
            await writer.drain()
            await asyncio.sleep(self.crash_delay_s)
        self.end()

    def _sheds(self, writer: asyncio.StreamWriter) -> bool:
        if self.fault in (Fault.REFUSAL_COPY, Fault.NAMELESS_REFUSAL_COPY):
            return not self._last_response(writer)
        return self.fault is Fault.SHED

    def _refuse(self, writer: asyncio.StreamWriter, request_id: str) -> None:
        if self.fault is Fault.NAMELESS_REFUSAL_COPY:
            request_id = ''
        refusal = raw_http.format_response(
            503, request_id, b'', 'X-Not-Executed: 1', *self.extra_headers
        )
        self.last_responses[writer] = refusal
        writer.write(refusal)

    async def _simulate_work(self, reader: asyncio.StreamReader) -> bool:
        self.running += 1
        try:
            closed = asyncio.ensure_future(reader.read(1))
            if self.fault is Fault.SILENT:
                await closed
            done, _ = await asyncio.wait({closed}, timeout=self.work_s)
            if done:
                self.aborted_runs += 1
                return False
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)
            return True
        finally:
            self.running -= 1

    async def _send_response(
        self, writer: asyncio.StreamWriter, request_id: str, content: bytes
    ) -> bool:
        signature = 'X-Server-Signature: signed'
        load = f'X-Server-Load: {self.running},0,{self.slots},100'
        response = raw_http.format_response(
            200, request_id, content, signature, load, *self.extra_headers
        )
        if self.fault in upstream_faults.ENDLESS:
            stream = upstream_faults.ENDLESS[self.fault](request_id.encode())
            await self._send_without_end(writer, stream)
            return False
        if self.fault not in (Fault.REFUSAL_COPY, Fault.NAMELESS_REFUSAL_COPY):
            self.last_responses[writer] = response
        if self.fault is Fault.LOSE_ANSWER:
            writer.transport.abort()
            return False
        if self.fault is Fault.ERROR:
            response = raw_http.format_response(
                500, request_id, b'error', signature
            )
        if self.fault in upstream_faults.PARTS:
            writer.write(upstream_faults.PARTS[self.fault](response))
            return False
        if self.fault in (Fault.UNFRAMED, Fault.UNFRAMED_RESET):
            head, _, rest = response.partition(b'\r\n\r\n')
            lines = [
                line
                for line in head.split(b'\r\n')
                if not line.startswith(b'Content-Length')
            ]
            reset = self.fault is Fault.UNFRAMED_RESET
            rest = rest[:-3] if reset else rest
            writer.write(b'\r\n'.join(lines) + b'\r\n\r\n' + rest)
            await writer.drain()
            if reset:
                await asyncio.sleep(0.02)
                raw_http.reset_connection(writer)
            return False
        writer.write(response)
        if self.fault is Fault.EXTRA_ANSWER:
            writer.write(
                raw_http.format_response(200, 'stray', b'stray', signature)
            )
        await writer.drain()
        if self.fault is Fault.ENDLESS_IDLE:
            await asyncio.sleep(0.05)
            await self._send_without_end(writer, endless.noise(b''))
        return True

    def _last_response(self, writer: asyncio.StreamWriter) -> bytes:
        return self.last_responses.get(writer, b'')

    async def _send_without_end(
        self, writer: asyncio.StreamWriter, stream: typing.Iterator[bytes]
    ) -> None:
        self.sending += 1
        try:
            for piece in stream:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            self.sending -= 1
            self.cut_off += 1

    async def has_been_cut_off(self) -> bool:
        """Return whether the VM closed all streams without end."""
        return bool(self.cut_off) and not self.sending
