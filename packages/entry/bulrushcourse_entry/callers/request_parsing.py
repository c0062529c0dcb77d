"""Reading a caller's request into a typed call."""

import asyncio
import typing
import uuid

import attrs
import xxhash
from aiohttp import web
from returns import result

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects
from bulrushcourse_entry.callers import problems
from bulrushcourse_entry.upstreams import client

CLASS_HEADER = 'Bulrushcourse-Class'
KEY_HEADER = 'Idempotency-Key'
BODY_TIMEOUT_S = 10.0
BUFFERED_BODY_BYTES = 64 << 10
MAX_KEY_LENGTH = 200
# Headers of one connection, which are not passed on.
HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'host',
        'content-length',
        'expect',
    )
)


@attrs.frozen
class Call:
    """A caller's request to a service.

    Attributes:
        request_id: Identifier made by this entry.
        service: The service asked for.
        pool: The service's pool.
        request_class: Name of the request's class.
        deadline: Clock seconds by which the answer must be there.
        method: HTTP method.
        path: Path and query for the upstream.
        headers: Headers to pass on.
        body: Body, or its beginning if ``rest`` is given.
        body_stream: Remaining chunks of the body.
        fingerprint: Hash of service, method, path and beginning of the body.
        key: Idempotency key, empty if there is none.
    """

    request_id: str
    service: objects.Service
    pool: objects.Pool
    request_class: str
    deadline: float
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    body_stream: typing.AsyncIterator[bytes] | None
    fingerprint: str
    key: str


CallResult = result.Result[Call, problems.Problem]


async def read_call(
    request: web.Request,
    configuration: configuration_set.ConfigurationSet,
    clock: clocks.Clock,
) -> CallResult:
    """Return the call in an HTTP request, or why it is refused.

    A body of at most ``BUFFERED_BODY_BYTES`` is read whole, so that a slow
    sender holds no slot.

    Args:
        request: The HTTP request.
        configuration: Configuration in force.
        clock: Source of time.
    """
    service = configuration.services.get(request.match_info['service'])
    if service is None:
        return result.Failure(
            problems.not_run(404, 'no-service', 'no such service')
        )
    checked = _read_headers(request, service, configuration)
    if isinstance(checked, result.Failure):
        return checked
    class_name, limit_ms = checked.unwrap()
    deadline = clock.monotonic() + limit_ms / 1000
    try:
        async with asyncio.timeout(min(BODY_TIMEOUT_S, limit_ms / 1000)):
            body, whole = await _read_body(request)
    except TimeoutError:
        return result.Failure(
            problems.not_run(408, 'slow-body', 'request body is too slow')
        )
    path = '/' + request.match_info['path']
    if request.query_string:
        path += '?' + request.query_string
    headers = {
        name: value
        for name, value in request.headers.items()
        if name.lower() not in HOP_HEADERS
    }
    if request.content_length and not whole:
        headers['Content-Length'] = str(request.content_length)
    return result.Success(
        Call(
            request_id=uuid.uuid4().hex,
            service=service,
            pool=configuration.pools[service.pool],
            request_class=class_name,
            deadline=deadline,
            method=request.method,
            path=path,
            headers=headers,
            body=body,
            body_stream=None if whole else _rest(request, service, len(body)),
            fingerprint=fingerprint(service.name, request.method, path, body),
            key=request.headers.get(KEY_HEADER, ''),
        )
    )


def fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return a hash by which a request is recognised when it is sent again.

    Args:
        service: Name of the service.
        method: HTTP method.
        path: Path and query.
        body: Beginning of the body.

    Examples:
        >>> fingerprint('a', 'GET', '/', b'') == fingerprint(
        ...     'a', 'GET', '/', b''
        ... )
        True
    """
    digest = xxhash.xxh3_128()
    for part in (service.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


def _read_headers(
    request: web.Request,
    service: objects.Service,
    configuration: configuration_set.ConfigurationSet,
) -> result.Result[tuple[str, int], problems.Problem]:
    class_name = request.headers.get(CLASS_HEADER, service.request_class)
    request_class = configuration.request_classes.get(class_name)
    if request_class is None:
        return _refuse('no-class', f'no request class {class_name!r}')
    text = request.headers.get(client.DEADLINE_HEADER, '')
    if text and not (text.isdecimal() and int(text) > 0):
        return _refuse('deadline', f'{client.DEADLINE_HEADER} is {text!r}')
    wanted = int(text) if text else service.deadline_ms
    length = request.content_length or 0
    if length > service.max_body_bytes:
        return _refuse('body-too-large', f'body of {length} bytes', 413)
    if len(request.headers.get(KEY_HEADER, '')) > MAX_KEY_LENGTH:
        return _refuse('key', f'{KEY_HEADER} is too long')
    limit_ms = configuration.time_limit_ms(service, request_class)
    return result.Success((class_name, min(wanted, limit_ms)))


def _refuse(
    code: str, detail: str, status: int = 400
) -> result.Result[typing.Any, problems.Problem]:
    return result.Failure(problems.not_run(status, code, detail))


async def _read_body(request: web.Request) -> tuple[bytes, bool]:
    chunks = bytearray()
    while len(chunks) < BUFFERED_BODY_BYTES:
        chunk = await request.content.read(BUFFERED_BODY_BYTES - len(chunks))
        if not chunk:
            return bytes(chunks), True
        chunks += chunk
    return bytes(chunks), request.content.at_eof()


class BodyTooLarge(Exception):
    """A body without a stated length passed the service's limit."""


async def _rest(
    request: web.Request, service: objects.Service, received: int
) -> typing.AsyncIterator[bytes]:
    async for chunk in request.content.iter_chunked(client.CHUNK_BYTES):
        received += len(chunk)
        if received > service.max_body_bytes:
            raise BodyTooLarge
        yield chunk
