"""Stand-in of an upstream of the users' platform."""

import asyncio
import enum
import math
import socket
import struct
import time

import attrs


class Fault(enum.Enum):
    """What an upstream does wrong."""

    NONE = 'none'
    EXTRA_ANSWER = 'extra-answer'
    UNFRAMED = 'unframed'
    UNFRAMED_RESET = 'unframed-reset'
    CUT = 'cut'
    LOSE_ANSWER = 'lose-answer'
    SHED = 'shed'
    ERROR = 'error'
    SILENT = 'silent'


@attrs.frozen
class Arrival:
    """A request that reached an upstream.

    Attributes:
        at: When.
        request_id: Its identifier.
        method: Its method.
        target: Its path and query.
        body: Its body.
        headers: Its headers, names in lower case.
        ran: Whether it was run.
    """

    at: float
    request_id: str
    method: str
    target: str
    body: bytes
    headers: dict[str, str]
    ran: bool


@attrs.define(eq=False)
class UpstreamStandIn:
    """An upstream that speaks HTTP/1.1 over plain streams.

    It is written without an HTTP library so that it can break the protocol.

    Attributes:
        name: Identifier of the upstream.
        service: Its service.
        failure_domain: Where it is said to run.
        slots: Requests that it works on at once.
        work_s: Time that a request takes.
        fault: What it does wrong.
        forgets_idle_s: Idle time after which it forgets a connection.
        arrivals: Requests that reached it.
        unfinished: Requests whose connection closed while they ran.
        running: Requests that run now.
        address: ``ip:port`` once started.
    """

    name: str
    service: str = 'catalog'
    failure_domain: str = 'a1'
    slots: int = 4
    work_s: float = 0.01
    fault: Fault = Fault.NONE
    forgets_idle_s: float = math.inf
    arrivals: list[Arrival] = attrs.field(factory=list)
    unfinished: int = 0
    running: int = 0
    address: str = ''
    state: str = 'ready'
    warmup_left: str = '0ms'
    born: int = 1
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port, or again on the former one."""
        port = int(self.address.rpartition(':')[2] or 0)
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    @property
    def row(self) -> dict[str, object]:
        """Entry in the platform's store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.failure_domain,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'warmup_left': self.warmup_left,
            'seq': 1,
            'born': self.born,
        }

    @property
    def ran(self) -> list[Arrival]:
        """Requests that were run."""
        return [arrival for arrival in self.arrivals if arrival.ran]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._one(reader, writer):
                pass
        except (OSError, EOFError):
            # The VM closed the connection, which ends this task.
            pass
        except asyncio.CancelledError:
            # The event loop of the test ends.
            pass
        finally:
            writer.close()

    async def _one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        idle_since = time.monotonic()
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        if time.monotonic() - idle_since > self.forgets_idle_s:
            _reset(writer)
            return False
        line, *lines = head.strip().split('\r\n')
        method, target, _ = line.split(' ')
        headers = {
            name.lower(): value
            for name, _, value in (text.partition(': ') for text in lines)
        }
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        request_id = headers.get('x-request-id', '')
        expected = headers.get('x-expect-instance', self.name)
        shed = self.fault is Fault.SHED
        runs = expected == self.name and not shed
        self.arrivals.append(
            Arrival(
                time.monotonic(),
                request_id,
                method,
                target,
                body,
                headers,
                runs,
            )
        )
        if expected != self.name:
            named = f'X-Instance-Id: {self.name}'
            writer.write(_answer(421, request_id, b'', named))
            return True
        if shed:
            writer.write(_answer(503, request_id, b'', 'X-Not-Executed: 1'))
            return True
        if not await self._work(reader):
            return False
        content = f'{self.name}:{request_id}'.encode()
        return await self._reply(writer, request_id, content)

    async def _work(self, reader: asyncio.StreamReader) -> bool:
        self.running += 1
        try:
            closed = asyncio.ensure_future(reader.read(1))
            if self.fault is Fault.SILENT:
                await closed
            done, _ = await asyncio.wait({closed}, timeout=self.work_s)
            if done:
                self.unfinished += 1
                return False
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)
            return True
        finally:
            self.running -= 1

    async def _reply(
        self, writer: asyncio.StreamWriter, request_id: str, content: bytes
    ) -> bool:
        signature = 'X-Server-Signature: signed'
        load = f'X-Server-Load: {self.running},0,{self.slots},100'
        whole = _answer(200, request_id, content, signature, load)
        if self.fault is Fault.LOSE_ANSWER:
            writer.transport.abort()
            return False
        if self.fault is Fault.ERROR:
            whole = _answer(500, request_id, b'error', signature)
        if self.fault is Fault.CUT:
            writer.write(whole[:-3])
            return False
        if self.fault in (Fault.UNFRAMED, Fault.UNFRAMED_RESET):
            head, _, rest = whole.partition(b'\r\n\r\n')
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
                _reset(writer)
            return False
        writer.write(whole)
        if self.fault is Fault.EXTRA_ANSWER:
            writer.write(_answer(200, 'stray', b'stray', signature))
        await writer.drain()
        return True


def _answer(
    status: int, request_id: str, content: bytes, *headers: str
) -> bytes:
    lines = [
        f'HTTP/1.1 {status} Status',
        f'X-Request-Id: {request_id}',
        f'Content-Length: {len(content)}',
        *headers,
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + content


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()
