"""Frames of the streams between VMs: a length and that many bytes."""

import asyncio
import socket
import struct

from bulrushcourse_domain.resources import memory as memories

# A connection is closed when data stays unacknowledged for this long.
USER_TIMEOUT_MS = 1500
# Memory of a message while it is unpacked, for each of its bytes.
UNPACKED_COPIES = 8
_HEADER = struct.Struct('>I')


class OversizedFrame(ValueError):
    """A frame is longer than allowed."""


async def connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to the peer listener of a VM.

    Args:
        address: ``ip:port`` of the listener.
    """
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    sock = writer.get_extra_info('socket')
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    return reader, writer


def write_frame(writer: asyncio.StreamWriter, content: bytes) -> None:
    """Write a frame.

    Args:
        writer: The stream.
        content: Content of the frame.
    """
    writer.write(_HEADER.pack(len(content)) + content)


async def read_frame(
    reader: asyncio.StreamReader,
    maximum: int,
    memory: memories.MemoryBudget,
) -> bytes:
    """Return the content of the next frame.

    The memory of the message is reserved while it is received.

    Args:
        reader: The stream.
        maximum: Largest allowed length in bytes.
        memory: Memory of the VM's traffic.

    Raises:
        OversizedFrame: If the frame is longer, or takes more memory than is
            left.
        EOFError: If the stream ends before the frame does.
    """
    (size,) = _HEADER.unpack(await reader.readexactly(_HEADER.size))
    taken = UNPACKED_COPIES * size
    if size > maximum or not memory.try_take(memories.Use.PEERS, taken):
        raise OversizedFrame(f'{size} bytes')
    try:
        return await reader.readexactly(size)
    finally:
        memory.release(memories.Use.PEERS, taken)
