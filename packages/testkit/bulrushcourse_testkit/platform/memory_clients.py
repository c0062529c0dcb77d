"""Clients whose bodies fill the memory of a VM, beside others with orders."""

import asyncio
import contextlib
import enum
import itertools

import attrs

from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import raw_client

PIECE = bytes(64 << 10)
ORDERERS = 24
DEADLINE_MS = 4000
ANSWER_BYTES = 8 << 20
# A slow reader takes its response over about this time.
READING_S = 2.0
READ_BYTES = 256 << 10
REFUSED_PAUSE_S = 0.3
REFUSALS = frozenset({408, 429, 503})


class Habit(enum.Enum):
    """When a client with a body leaves."""

    STAYS = 'stays'
    LEAVES_SENDING = 'leaves-sending'
    LEAVES_RUNNING = 'leaves-running'


# Half of the clients leave. The second group sends to silent upstreams.
HABITS = (
    (Habit.STAYS, '/upload/'),
    (Habit.LEAVES_SENDING, '/upload/'),
    (Habit.STAYS, '/silent/'),
    (Habit.LEAVES_RUNNING, '/upload/'),
)


@attrs.define(eq=False)
class Crowd:
    """Clients of one VM and what became of their requests.

    Attributes:
        address: ``ip:port`` of the VM.
        size: Bytes of an upload.
        until: End of the crowd in seconds of the event loop.
        uploads: Uploads by outcome.
        orders: Orders by outcome.
        lost: Orders whose connection ended without an answer.
        numbers: Source of identifiers.
    """

    address: str
    size: int
    until: float
    uploads: dict[str, int] = attrs.field(factory=dict)
    orders: dict[str, int] = attrs.field(factory=dict)
    lost: int = 0
    numbers: itertools.count = attrs.field(factory=itertools.count)

    async def run(self, uploaders: int) -> None:
        """Run all clients until the end.

        Args:
            uploaders: Number of clients with uploads; a quarter as many read
                large responses slowly, and half of these leave.
        """
        await asyncio.gather(
            *(self._order() for _ in range(ORDERERS)),
            *(
                self._upload(*HABITS[number % len(HABITS)])
                for number in range(uploaders)
            ),
            *(self._read(number % 2) for number in range(uploaders // 4)),
        )

    def _goes_on(self) -> bool:
        return asyncio.get_running_loop().time() < self.until

    def _head(self, method: str, path: str, size: int) -> bytes:
        lines = (
            f'{method} {path}x HTTP/1.1',
            f'Host: {documents.HOST}',
            f'X-Request-Id: m{next(self.numbers)}',
            f'X-Request-Deadline-Ms: {DEADLINE_MS}',
            f'Content-Length: {size}',
        )
        return '\r\n'.join((*lines, '', '')).encode()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.address.rpartition(':')
        return await asyncio.open_connection(host, int(port))

    async def _order(self) -> None:
        """Send orders on a kept connection."""
        writer = None
        while self._goes_on():
            outcome = 'lost'
            try:
                if writer is None:
                    reader, writer = await self._connect()
                writer.write(self._head('POST', '/order/', 100) + bytes(100))
                reply = await raw_client.read_response(reader)
                outcome = str(reply.status)
            except (OSError, EOFError):
                self.lost += 1
                writer = None
                await asyncio.sleep(REFUSED_PAUSE_S)
            self.orders[outcome] = self.orders.get(outcome, 0) + 1
        if writer is not None:
            writer.close()

    async def _upload(self, habit: Habit, path: str) -> None:
        """Send uploads one after the other."""
        while self._goes_on():
            outcome = 'closed'
            writer = None
            try:
                reader, writer = await self._connect()
                writer.write(self._head('POST', path, self.size))
                sending = asyncio.create_task(self._send(writer, habit))
                outcome = await self._outcome(reader, sending, habit)
            except (OSError, EOFError):
                pass
            finally:
                if writer is not None:
                    writer.transport.abort()
            self.uploads[outcome] = self.uploads.get(outcome, 0) + 1
            if outcome != '200':
                await asyncio.sleep(REFUSED_PAUSE_S)

    async def _send(self, writer: asyncio.StreamWriter, habit: Habit) -> None:
        size = self.size
        if habit is Habit.LEAVES_SENDING:
            size //= 2
        with contextlib.suppress(OSError):
            for _ in range(max(1, size // len(PIECE))):
                writer.write(PIECE)
                await writer.drain()

    async def _outcome(
        self,
        reader: asyncio.StreamReader,
        sending: asyncio.Task[None],
        habit: Habit,
    ) -> str:
        reading = asyncio.create_task(raw_client.read_response(reader))
        tasks = {reading, sending}
        try:
            async with asyncio.timeout(2 * DEADLINE_MS / 1000):
                if habit is Habit.STAYS:
                    return str((await reading).status)
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                if reading.done():
                    return str((await reading).status)
                if habit is Habit.LEAVES_RUNNING:
                    await asyncio.sleep(0.2)
                return 'left'
        except TimeoutError:
            return 'timeout'
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _read(self, leaves: bool) -> None:
        """Read large responses slowly, or half of each."""
        parts = ANSWER_BYTES // READ_BYTES
        if leaves:
            parts //= 2
        while self._goes_on():
            writer = None
            try:
                reader, writer = await self._connect()
                writer.write(self._head('GET', '/answer/', 0))
                head = await reader.readuntil(raw_client.END_OF_HEAD)
                if not head.startswith(b'HTTP/1.1 200 '):
                    await asyncio.sleep(REFUSED_PAUSE_S)
                    continue
                for _ in range(parts):
                    await reader.readexactly(READ_BYTES)
                    await asyncio.sleep(READING_S / parts)
            except (OSError, EOFError):
                await asyncio.sleep(REFUSED_PAUSE_S)
            finally:
                if writer is not None:
                    writer.transport.abort()
