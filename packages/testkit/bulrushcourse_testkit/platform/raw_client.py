"""A client that sends bytes as they are and returns the raw response."""

import asyncio

import attrs

END_OF_HEAD = b'\r\n\r\n'


@attrs.frozen
class RawResponse:
    """A response as received.

    Attributes:
        head: Status line and header lines with their ends.
        body: Body.
    """

    head: bytes
    body: bytes

    @property
    def status(self) -> int:
        """Status of the response."""
        return int(self.head.split(b' ', 2)[1])

    def fields(self) -> list[tuple[str, bytes]]:
        """Return names in lower case and values of the header lines."""
        return parse_fields(self.head)


def parse_fields(head: bytes) -> list[tuple[str, bytes]]:
    """Return names in lower case and values of the lines of a head.

    Args:
        head: The head.
    """
    lines = head.split(b'\r\n')[1:]
    parts = (line.partition(b':') for line in lines if line)
    return [
        (name.decode().lower(), value.strip(b' ')) for name, _, value in parts
    ]


def split_responses(data: bytes) -> tuple[list[RawResponse], bytes]:
    """Return the complete final responses, and the bytes behind them.

    Args:
        data: Bytes that were received on a connection.
    """
    responses: list[RawResponse] = []
    while END_OF_HEAD in data:
        head, end, rest = data.partition(END_OF_HEAD)
        length = int(dict(parse_fields(head)).get('content-length', b'0'))
        if len(rest) < length:
            break
        response = RawResponse(head + end, rest[:length])
        data = rest[length:]
        if response.status >= 200:
            responses.append(response)
    return responses, data


async def exchange(address: str, *pieces: bytes) -> RawResponse:
    """Send bytes on a new connection and return the first response.

    Args:
        address: ``ip:port``.
        *pieces: Bytes to send, one after the other.
    """
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        return await read_response(reader)
    finally:
        writer.close()


async def read_response(reader: asyncio.StreamReader) -> RawResponse:
    """Read one response with a length.

    Args:
        reader: Connection.
    """
    head = await reader.readuntil(END_OF_HEAD)
    length = dict(parse_fields(head)).get('content-length', b'0')
    return RawResponse(head, await reader.readexactly(int(length)))
