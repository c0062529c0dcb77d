"""Read responses of any framing, with a limit on their size."""

import asyncio
import typing

from bulrushcourse_testkit.platform import raw_client

# Bytes of a response after which a caller closes the connection.
MAX_RESPONSE_BYTES = 1 << 20
_PIECE_BYTES = 64 << 10
_SLOW_PIECE_BYTES = 16 << 10


async def read_response(
    reader: asyncio.StreamReader, pause_s: float = 0.0
) -> raw_client.RawResponse:
    """Read a response with a length, with chunks, or up to the end.

    Args:
        reader: Connection.
        pause_s: Pause of a slow reader before each piece of a body with a
            length, in seconds.

    Raises:
        EOFError: If the connection ends before the response, or if the
            response is larger than callers accept.
    """
    head = await reader.readuntil(b'\r\n\r\n')
    fields = dict(raw_client.parse_fields(head))
    if 'content-length' in fields:
        body = await _read_sized(
            reader, int(fields['content-length']), pause_s
        )
    elif fields.get('transfer-encoding', b'').lower() == b'chunked':
        body = b''.join([chunk async for chunk in _chunks(reader)])
    else:
        body = b''.join([piece async for piece in _pieces(reader)])
    return raw_client.RawResponse(head, body)


async def _read_sized(
    reader: asyncio.StreamReader, size: int, pause_s: float
) -> bytes:
    if not pause_s:
        return await reader.readexactly(size)
    pieces = []
    for start in range(0, size, _SLOW_PIECE_BYTES):
        await asyncio.sleep(pause_s)
        piece_bytes = min(_SLOW_PIECE_BYTES, size - start)
        pieces.append(await reader.readexactly(piece_bytes))
    return b''.join(pieces)


async def _pieces(
    reader: asyncio.StreamReader,
) -> typing.AsyncIterator[bytes]:
    received = 0
    while piece := await reader.read(_PIECE_BYTES):
        received += len(piece)
        if received > MAX_RESPONSE_BYTES:
            raise EOFError('the response is too large')
        yield piece


async def _chunks(
    reader: asyncio.StreamReader,
) -> typing.AsyncIterator[bytes]:
    received = 0
    while size := int((await reader.readline()).split(b';')[0] or b'0', 16):
        received += size
        if received > MAX_RESPONSE_BYTES:
            raise EOFError('the response is too large')
        yield (await reader.readexactly(size + 2))[:-2]
    await reader.readline()
