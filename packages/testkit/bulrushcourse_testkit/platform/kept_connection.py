"""A client's connection that tells how it ended."""

import asyncio
import enum
import select
import socket
import time

import attrs

from bulrushcourse_testkit.platform import raw_client

# Time that the system may take to send what a process has written.
SYSTEM_SEND_S = 0.02


class End(enum.Enum):
    """How a connection ended.

    A system that closes a socket resets the connection if received bytes are
    left that nobody has read; otherwise it ends the stream in order.
    """

    OPEN = 'left open'
    ENDED = 'ended'
    RESET = 'reset'


@attrs.define(eq=False)
class KeptConnection:
    """A connection over loopback without buffers of its own.

    Attributes:
        sock: The socket.
        received: Received bytes.
        end: How the connection ended.
        has_ended: Set at the end.
    """

    sock: socket.socket
    received: bytes = b''
    end: End = End.OPEN
    has_ended: asyncio.Event = attrs.field(factory=asyncio.Event)

    @classmethod
    def open(cls, address: str, receive_bytes: int = 0) -> 'KeptConnection':
        """Connect, without regard to whether the process accepts.

        Args:
            address: ``ip:port``.
            receive_bytes: Size of the receive buffer, 0 for the default.
        """
        sock = socket.socket()
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        host, _, port = address.rpartition(':')
        sock.connect((host, int(port)))
        sock.setblocking(False)
        return cls(sock)

    def send(self, data: bytes) -> tuple[float, bool]:
        """Send bytes at once.

        Args:
            data: The bytes, which fit into the send buffer.

        Returns:
            The time, and whether the peer had closed the connection before.
        """
        sent_at = time.monotonic()
        try:
            self.sock.sendall(data)
            return sent_at, not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return sent_at, False
        except ConnectionResetError:
            # The system reports a reset only once.
            self.end = End.RESET
            self.has_ended.set()
            return sent_at, True
        except OSError:
            return sent_at, True

    async def read_response(self) -> None:
        """Read until a response is complete."""
        while not self.responses:
            self._receive()
            await asyncio.sleep(0.002)

    async def read_until_end(self, process: asyncio.Task[None]) -> None:
        """Read until the connection or the process of the peer ends.

        Connections outlive a process that is run as a task. What the peer
        had not sent when its process ended is not read.

        Args:
            process: Task that runs the process.
        """
        loop = asyncio.get_running_loop()
        loop.add_reader(self.sock, self._receive)
        ended = asyncio.create_task(self.has_ended.wait())
        await asyncio.wait(
            {ended, process}, return_when=asyncio.FIRST_COMPLETED
        )
        ended.cancel()
        loop.remove_reader(self.sock)
        while self.end is End.OPEN and (
            self._receive() or self.is_cut_off and self._wait_for_bytes()
        ):
            pass
        self.sock.close()

    def _wait_for_bytes(self) -> bool:
        """Return whether the system still sends what it had taken."""
        return bool(select.select([self.sock], [], [], SYSTEM_SEND_S)[0])

    def _receive(self) -> bool:
        """Receive what there is; return whether there was something."""
        try:
            data = self.sock.recv(1 << 16)
        except BlockingIOError:
            return False
        except OSError:
            self.end = End.RESET
        else:
            self.received += data
            if data:
                return True
            if self.end is End.OPEN:
                self.end = End.ENDED
        asyncio.get_running_loop().remove_reader(self.sock)
        self.has_ended.set()
        return False

    @property
    def responses(self) -> list[raw_client.RawResponse]:
        """Complete responses, without interim ones."""
        return raw_client.split_responses(self.received)[0]

    @property
    def is_cut_off(self) -> bool:
        """Whether an incomplete response was received."""
        return bool(raw_client.split_responses(self.received)[1])
