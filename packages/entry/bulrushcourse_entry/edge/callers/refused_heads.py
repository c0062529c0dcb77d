"""Answers to heads that the HTTP parser refuses."""

import re

from aiohttp import hdrs
from aiohttp import http
from aiohttp import http_exceptions
from aiohttp import web
from aiohttp import web_protocol

MALFORMED = 'malformed'
UNKNOWN_METHOD = 'unknown-method'
STATUSES = {MALFORMED: 400, UNKNOWN_METHOD: 501}
# A method may be any token (RFC 9110, section 9.1).
_REQUEST_LINE = re.compile(rb"[-!#$%&'*+.^_`|~\w]+ [!-~]+ HTTP/1\.[01]\r\n")


def classify(error: BaseException, head: bytes) -> str:
    r"""Return why the parser refused a head.

    The parser knows the registered methods only. Another one is not a defect
    of the request, but is not implemented here.

    Args:
        error: Error of the parser.
        head: The head.

    Examples:
        >>> error = http_exceptions.BadHttpMethod()
        >>> classify(error, b'FROB /a HTTP/1.1\r\n\r\n')
        'unknown-method'
        >>> classify(error, b'FR(B /a HTTP/1.1\r\n\r\n')
        'malformed'
    """
    is_proper = _REQUEST_LINE.match(head) is not None
    if is_proper and isinstance(error, http_exceptions.BadHttpMethod):
        return UNKNOWN_METHOD
    return MALFORMED


def find_unframed(message: http.RawRequestMessage, has_no_body: bool) -> str:
    """Return why a head does not tell where its request ends, else empty.

    For CONNECT the parser takes no body, whatever the head says: what follows
    belongs to a tunnel (RFC 9110, section 9.3.6), which no upstream offers.

    Args:
        message: The head as the parser understands it.
        has_no_body: Whether the parser expects no body.
    """
    if message.method == hdrs.METH_CONNECT:
        return UNKNOWN_METHOD
    length = message.headers.get(hdrs.CONTENT_LENGTH, '0')
    announces_body = hdrs.TRANSFER_ENCODING in message.headers or (
        length.strip('0') != ''
    )
    return MALFORMED if has_no_body and announces_body else ''


def use_own_version(request: web.BaseRequest) -> None:
    """Answer a refused head in the version of this server.

    In its place aiohttp has a request in HTTP/1.0.

    Args:
        request: The request that is answered.
    """
    if request._message is web_protocol.ERROR:
        request._version = http.HttpVersion11
