"""Answers to heads that the HTTP parser refuses."""

import re

from aiohttp import http
from aiohttp import http_exceptions
from aiohttp import web
from aiohttp import web_protocol

from bulrushcourse_entry import request_framing

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
        return request_framing.UNKNOWN_METHOD
    return request_framing.MALFORMED


def use_own_version(request: web.BaseRequest) -> None:
    """Answer a refused head in the version of this server.

    In its place aiohttp has a request in HTTP/1.0.

    Args:
        request: The request that is answered.
    """
    if request._message is web_protocol.ERROR:
        request._version = http.HttpVersion11
