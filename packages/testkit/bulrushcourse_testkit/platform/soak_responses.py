"""Read responses of any framing, with a limit on their size."""

import asyncio
import typing

from bulrushcourse_testkit.platform import raw_client

# Bytes of a response after which a caller closes the connection.
MAX_RESPONSE_BYTES = 1 << 20
_PIECE_BYTES = 64 << 10


async def read_response(
    reader: asyncio.StreamReader,
) -> raw_client.RawResponse:
    """Read a response with a length, with chunks, or up to the end.

    Args:
        reader: Connection.

    Raises:
        EOFError: If the connection ends before the response, or if the
            response is larger than callers accept.
    """
    head = await reader.readuntil(b'\r\n\r\n')
    fields = dict(raw_client.parse_fields(head))
    if 'content-length' in fields:
        body = await reader.readexactly(int(fields['content-length']))
    elif fields.get('transfer-encoding', b'').lower() == b'chunked':
        body = b''.join([chunk async for chunk in _chunks(reader)])
    else:
        body = b''.join([piece async for piece in _pieces(reader)])
    return raw_client.RawResponse(head, body)


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
