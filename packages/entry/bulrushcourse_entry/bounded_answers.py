"""Reading of answers whose size and number of connections are bounded."""

import typing

import aiohttp

from bulrushcourse_entry.upstreams import sessions

# Maximum size of an answer of a service of the platform. Its pages have 1 MB.
MAX_ANSWER_BYTES = 4 << 20


class AnswerTooLarge(aiohttp.ClientPayloadError):
    """An answer has more bytes than are read of it."""


async def read(
    response: aiohttp.ClientResponse, maximum: int = MAX_ANSWER_BYTES
) -> bytes:
    """Return the body of a response.

    Args:
        response: The response.
        maximum: Maximum size in bytes.

    Raises:
        AnswerTooLarge: If the body is larger.
    """
    content = bytearray()
    async for chunk in response.content.iter_any():
        if len(content) + len(chunk) > maximum:
            raise AnswerTooLarge(f'over {maximum} bytes')
        content += chunk
    return bytes(content)


def open_session(**options: typing.Any) -> aiohttp.ClientSession:
    """Return an HTTP session; call it inside a running event loop.

    Heads, unread bytes and bytes on idle connections are bounded.

    Args:
        **options: Options of the connector.
    """
    return aiohttp.ClientSession(
        connector=sessions.SafeReuseConnector(**options),
        read_bufsize=sessions.UNREAD_BYTES,
    )
