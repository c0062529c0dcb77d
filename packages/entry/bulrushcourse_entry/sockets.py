"""What waits in the sockets of a listener and of its connections."""

import asyncio
import fcntl
import select
import socket
import struct
import termios

# Time for what was written last on a connection to arrive.
LINGER_S = 2.0
LINGER_INTERVAL_S = 0.02


def is_readable(source: socket.socket) -> bool:
    """Return whether bytes, a connection or an end wait to be read.

    Args:
        source: The socket.
    """
    poll = select.poll()
    poll.register(source, select.POLLIN)
    return bool(poll.poll(0))


def has_undelivered_bytes(source: socket.socket) -> bool:
    """Return whether the peer's system has not confirmed all bytes yet.

    A reset of the connection would discard them. Where the system does not
    tell, they are taken for delivered.

    Args:
        source: The socket.
    """
    try:
        size = fcntl.ioctl(source.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return False
    return struct.unpack('i', size)[0] > 0


async def close_when_delivered(transport: asyncio.Transport) -> None:
    """Close a connection once the peer's system has received all bytes.

    Args:
        transport: The connection; what arrives meanwhile must be read.
    """
    source = transport.get_extra_info('socket')
    for _ in range(int(LINGER_S / LINGER_INTERVAL_S)):
        if transport.is_closing() or not has_undelivered_bytes(source):
            break
        await asyncio.sleep(LINGER_INTERVAL_S)
    transport.close()


async def stop_accepting(acceptor: asyncio.Server) -> None:
    """Accept the connections that wait, then close the listening sockets.

    A close resets the connections in the accept queue, and asyncio drops
    those that were accepted in the same pass of the event loop.

    Args:
        acceptor: The server; its open connections stay.
    """
    # One pass accepts as many connections as the queue can hold.
    await _pass_twice()
    loop = asyncio.get_running_loop()
    for source in acceptor.sockets:
        loop.remove_reader(source)
    # The connections of the last pass are given to their protocols.
    await _pass_twice()
    acceptor.close()


async def _pass_twice() -> None:
    # What was ready before the first pass is handled by the second one.
    await asyncio.sleep(0)
    await asyncio.sleep(0)
