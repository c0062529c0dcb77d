"""Requests of which nobody can tell where they end."""

import typing

from aiohttp import hdrs
from aiohttp import web

MALFORMED = 'malformed'
UNKNOWN_METHOD = 'unknown-method'
STATUSES = {MALFORMED: 400, UNKNOWN_METHOD: 501}

Handler = typing.Callable[[web.Request], typing.Awaitable[web.StreamResponse]]


def find_unframed(
    method: str, headers: typing.Mapping[str, str], has_no_body: bool
) -> str:
    """Return why a head does not tell where its request ends, else empty.

    For CONNECT the parser takes no body, whatever the head says: what follows
    belongs to a tunnel (RFC 9110, section 9.3.6), which no upstream offers.

    Args:
        method: Method of the request.
        headers: Its header fields.
        has_no_body: Whether the parser expects no body.

    Examples:
        >>> find_unframed('CONNECT', {}, True)
        'unknown-method'
        >>> find_unframed('POST', {'Content-Length': '5'}, True)
        'malformed'
        >>> find_unframed('POST', {'Content-Length': '5'}, False)
        ''
    """
    if method == hdrs.METH_CONNECT:
        return UNKNOWN_METHOD
    length = headers.get(hdrs.CONTENT_LENGTH, '0')
    announces_body = hdrs.TRANSFER_ENCODING in headers or (
        length.strip('0') != ''
    )
    return MALFORMED if has_no_body and announces_body else ''


@web.middleware
async def refuse_unframed(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Refuse such a request and close its connection.

    Args:
        request: The request.
        handler: Serves all others.
    """
    reason = find_unframed(
        request.method, request.headers, not request.body_exists
    )
    if not reason:
        return await handler(request)
    response = web.Response(status=STATUSES[reason])
    # What was received behind the request is not handled.
    response.force_close()
    return response
