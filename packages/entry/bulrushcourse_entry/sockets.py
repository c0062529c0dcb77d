"""What waits in the sockets of a listener and of its connections."""

import asyncio
import select
import socket

# Passes of the event loop in which a listener accepts what waits, at most;
# new clients may come faster than that.
MAX_ACCEPT_PASSES = 50


def is_readable(source: socket.socket) -> bool:
    """Return whether bytes, a connection or an end wait to be read.

    Args:
        source: The socket.
    """
    poll = select.poll()
    poll.register(source, select.POLLIN)
    return bool(poll.poll(0))


async def stop_accepting(acceptor: asyncio.Server) -> None:
    """Accept the connections that wait, then close the listening sockets.

    A close resets the connections in the accept queue, and asyncio drops
    those that were accepted in the same pass of the event loop.

    Args:
        acceptor: The server; its open connections stay.
    """
    was_empty = False
    for _ in range(MAX_ACCEPT_PASSES):
        is_empty = not any(map(is_readable, acceptor.sockets))
        if was_empty and is_empty:
            break
        was_empty = is_empty
        await asyncio.sleep(0)
    acceptor.close()
