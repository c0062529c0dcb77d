"""Relay of connections that can go silent without a reset."""

import asyncio

import attrs

CHUNK_BYTES = 16 << 10


@attrs.define(eq=False)
class RelayedConnection:
    """A relayed connection.

    Attributes:
        task: Task that relays it.
        silent: Whether nothing is relayed any more.
    """

    task: asyncio.Task[None]
    silent: bool = False


@attrs.define(eq=False)
class SilentRelay:
    """Relays connections to a target and can silence the open ones.

    A silenced connection stays open and acknowledges what it gets; only a
    time-out of its user shows that nothing is relayed.

    Attributes:
        target: ``ip:port`` of the target.
        address: ``ip:port`` of the relay once started.
        connections: Open connections.
        server: Listening server, ``None`` before the start.
    """

    target: str
    address: str = ''
    connections: list[RelayedConnection] = attrs.field(factory=list)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def close(self) -> None:
        """Close the listener and all connections."""
        self.server.close()
        tasks = [connection.task for connection in self.connections]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def silence_open(self) -> int:
        """Silence the open connections and return their number."""
        for connection in self.connections:
            connection.silent = True
        return len(self.connections)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = RelayedConnection(asyncio.current_task())
        self.connections.append(connection)
        host, _, port = self.target.rpartition(':')
        target_writer = None
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            await asyncio.gather(
                _relay(connection, reader, target_writer),
                _relay(connection, target_reader, writer),
            )
        except (OSError, asyncio.CancelledError):
            # One side has gone, or the test ends.
            pass
        finally:
            self.connections.remove(connection)
            writer.close()
            if target_writer is not None:
                target_writer.close()


async def _relay(
    connection: RelayedConnection,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    while chunk := await reader.read(CHUNK_BYTES):
        if not connection.silent:
            writer.write(chunk)
            await writer.drain()
    if not connection.silent:
        writer.write_eof()
