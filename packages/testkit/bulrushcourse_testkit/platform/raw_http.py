"""Raw responses and resets of the stand-in of an upstream."""

import asyncio
import socket
import struct


def format_response(
    status: int, request_id: str, content: bytes, *headers: str
) -> bytes:
    """Return a response.

    Args:
        status: HTTP status.
        request_id: Identifier of the request, empty to name none.
        content: Body.
        *headers: Further header lines.
    """
    lines = [
        f'HTTP/1.1 {status} Status',
        *([f'X-Request-Id: {request_id}'] if request_id else []),
        f'Content-Length: {len(content)}',
        *headers,
    ]
    return (
        '\r\n'.join(lines).encode(errors='surrogateescape')
        + b'\r\n\r\n'
        + content
    )


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection unless it is closed already.

    Args:
        writer: Writer of the connection.
    """
    if writer.transport.is_closing():
        return
    sock = writer.get_extra_info('socket')
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()
