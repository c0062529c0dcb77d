"""Headers of callers' requests and of upstreams' responses."""

import math
import typing

import attrs
import multidict

from bulrushcourse_domain.upstreams import loads

REQUEST_ID = 'X-Request-Id'
DEADLINE_MS = 'X-Request-Deadline-Ms'
OBJECT_KEY = 'X-Affinity-Key'
EXPECTED_UPSTREAM = 'X-Expect-Instance'
SIGNATURE = 'X-Server-Signature'
NOT_EXECUTED = 'X-Not-Executed'
LOAD = 'X-Server-Load'
WARMUP_MS = 'X-Warmup-Ms'
RETRY_AFTER = 'Retry-After'
CONTENT_LENGTH = 'Content-Length'
LEAVING = 'Server-Leaving'
API_KEY = 'Api-Key'
ACCOUNT = 'X-Tenant'
INSTANCE_ID = 'X-Instance-Id'

UNAVAILABLE = 503

# Longer times are mistakes.
MAX_SECONDS = 86_400.0
# Larger counts and percentages in a load report are mistakes.
MAX_LOAD_VALUE = 1_000_000
# Longer numbers are refused unread.
MAX_NUMBER_LENGTH = 32
# Longer identifiers are cut off in logs.
MAX_LOGGED_ID = 64

# Sent by an upstream that now has the address of the expected one; it did not
# run the request.
MISDIRECTED = 421

# Hop-by-hop headers, and headers that this system sets itself.
_NOT_FORWARDED = frozenset(
    name.lower()
    for name in (
        'Connection',
        'Keep-Alive',
        'Proxy-Authenticate',
        'Proxy-Authorization',
        'Proxy-Connection',
        'TE',
        'Trailer',
        'Transfer-Encoding',
        'Upgrade',
        CONTENT_LENGTH,
        'Expect',
        DEADLINE_MS,
        EXPECTED_UPSTREAM,
    )
)
_NOT_RETURNED = _NOT_FORWARDED | {'date', 'server'}
# The system sets these itself where the configuration has accounts.
_OF_ACCOUNTS = frozenset({API_KEY.lower(), ACCOUNT.lower()})


@attrs.frozen
class CallerHeaders:
    """What a caller states in the headers of its request.

    Attributes:
        request_id: Identifier of this attempt, empty if missing.
        remaining_s: Time until the caller's deadline, ``None`` if missing.
        object_key: Affinity object of the request, empty if missing.
        key: API key of a client account, empty if missing.
    """

    request_id: str
    remaining_s: float | None
    object_key: str
    key: str = attrs.field(default='', repr=False)


def decode_caller(headers: typing.Mapping[str, str]) -> CallerHeaders:
    """Return what a caller states in the headers of its request.

    Args:
        headers: Headers of the request.
    """
    return CallerHeaders(
        request_id=headers.get(REQUEST_ID, ''),
        remaining_s=_seconds(headers.get(DEADLINE_MS)),
        object_key=headers.get(OBJECT_KEY, ''),
        key=headers.get(API_KEY, ''),
    )


def encode_forwarded(
    headers: multidict.CIMultiDictProxy[str],
    upstream: str,
    remaining_s: float,
    account: str | None = None,
) -> multidict.CIMultiDict[str]:
    """Return the headers of a request to an upstream.

    Args:
        headers: Headers of the caller's request.
        upstream: Name of the upstream that is expected to run it.
        remaining_s: Time until the deadline in seconds.
        account: Account that the request is sent on behalf of, empty on a
            public route; ``None`` if the configuration has no accounts.
    """
    if account is None:
        forwarded = _without(headers, _NOT_FORWARDED)
    else:
        forwarded = _without(headers, _NOT_FORWARDED | _OF_ACCOUNTS)
    if account:
        forwarded[ACCOUNT] = account
    forwarded[EXPECTED_UPSTREAM] = upstream
    update_remaining(forwarded, remaining_s)
    return forwarded


def update_remaining(
    headers: multidict.CIMultiDict[str], remaining_s: float
) -> None:
    """Set the time that is left in headers that were encoded before.

    Args:
        headers: Headers of a request to an upstream.
        remaining_s: Time until the deadline in seconds.
    """
    headers[DEADLINE_MS] = str(max(1, int(remaining_s * 1000)))


def encode_returned(
    headers: multidict.CIMultiDictProxy[str], states_length: bool = False
) -> multidict.CIMultiDict[str]:
    """Return the headers of a response to a caller.

    Args:
        headers: Headers of the upstream's response.
        states_length: Whether the response has no body and may state the
            length of another one, as the response to HEAD does.
    """
    returned = _without(headers, _NOT_RETURNED)
    if states_length and CONTENT_LENGTH in headers:
        returned[CONTENT_LENGTH] = headers[CONTENT_LENGTH]
    return returned


def proves_not_executed(
    status: int, headers: typing.Mapping[str, str]
) -> bool:
    """Return whether a response proves that the request did not run.

    Args:
        status: Status of the response.
        headers: Headers of the response.
    """
    return status == MISDIRECTED or NOT_EXECUTED in headers


def is_genuine(
    status: int,
    headers: typing.Mapping[str, str],
    request_id: str,
    reused: bool,
) -> bool:
    """Return whether a response is from an upstream and to this request.

    On a reused connection a response that names no request may be a copy of
    an earlier one, or refer to the connection. An unsigned status may come
    from another server at the address, or from garbled bytes. It counts only
    where it tells the caller nothing that it would act on: not a success, not
    an error that forbids a retry, and not a promise that the request has not
    run, unless the header says so.

    Args:
        status: Status of the response.
        headers: Headers of the response.
        request_id: Identifier of the request.
        reused: Whether the connection had carried a request before.

    Examples:
        >>> is_genuine(500, {}, 'r1', reused=False)
        True
        >>> is_genuine(500, {}, 'r1', reused=True)
        False
        >>> is_genuine(404, {'X-Request-Id': 'r1'}, 'r1', reused=False)
        False
    """
    named = headers.get(REQUEST_ID)
    if named is None and (reused or status < 300):
        return False
    if named is not None and named != request_id:
        return False
    if SIGNATURE in headers:
        return status >= 200
    if proves_not_executed(status, headers):
        return status >= 300
    return status >= 500 and status != UNAVAILABLE


def decode_load(headers: typing.Mapping[str, str]) -> loads.LoadReport | None:
    """Return the load that an upstream reports, ``None`` without one.

    The optional fourth number is the present service time in percent of the
    typical one.

    Args:
        headers: Headers of a response.

    Examples:
        >>> decode_load({'X-Server-Load': '3,0,8,150'}).slowness
        1.5
    """
    fields = headers.get(LOAD, '').split(',')
    try:
        values = [int(field) for field in fields]
    except ValueError:
        return None
    if len(values) < 3 or not (
        0 <= min(values) and max(values) <= MAX_LOAD_VALUE
    ):
        return None
    slowness = values[3] / 100 if len(values) > 3 and values[3] else None
    return loads.LoadReport(*values[:3], slowness)


def decode_warmup_s(headers: typing.Mapping[str, str]) -> float | None:
    """Return how long an upstream stays cold, ``None`` if it is not stated.

    Args:
        headers: Headers of a response.
    """
    return _seconds(headers.get(WARMUP_MS))


def decode_answerer(headers: typing.Mapping[str, str]) -> str:
    """Return the name that an upstream states for itself, empty if none.

    Args:
        headers: Headers of a response.
    """
    return headers.get(INSTANCE_ID, '').strip()


def proves_identity(
    status: int, headers: typing.Mapping[str, str], upstream: str
) -> bool:
    """Return whether only the expected upstream can have sent a response.

    Others answer ``MISDIRECTED``. A refusal without a name is not relied on,
    as an upstream may refuse a request before it has read its headers.

    Args:
        status: Status of the response.
        headers: Headers of a response that belongs to the request.
        upstream: Name of the expected upstream.

    Examples:
        >>> proves_identity(200, {'X-Server-Signature': 's'}, 'u')
        True
        >>> proves_identity(503, {}, 'u')
        False
    """
    if status == MISDIRECTED:
        return False
    return decode_answerer(headers) in ('', upstream) and (
        SIGNATURE in headers or INSTANCE_ID in headers
    )


def find_request_id(head: bytes) -> str:
    r"""Return the request id in a head that was not parsed, empty if none.

    Args:
        head: Received bytes of the head.

    Examples:
        >>> find_request_id(b'FOO / HTTP/1.1\r\nx-request-id: r7\r\n')
        'r7'
    """
    _, found, rest = head.lower().partition(
        f'\r\n{REQUEST_ID.lower()}:'.encode()
    )
    if not found:
        return ''
    value = head[len(head) - len(rest) :].partition(b'\r\n')[0]
    return value.strip().decode('latin-1')[:MAX_LOGGED_ID]


def states_leaving(headers: typing.Mapping[str, str]) -> bool:
    """Return whether an upstream says that it is leaving.

    Args:
        headers: Headers of a response.
    """
    return headers.get(LEAVING, '').strip() == '1'


def decode_pause_s(status: int, headers: typing.Mapping[str, str]) -> float:
    """Return for how long an upstream asks to be sent nothing, else 0.

    Dates, which HTTP also allows, are not part of the platform's protocol.

    Args:
        status: Status of a response.
        headers: Its headers.

    Examples:
        >>> decode_pause_s(503, {'Retry-After': '1.5'})
        1.5
        >>> decode_pause_s(503, {'Retry-After': 'Fri, 04 Dec 2026 10:00:00'})
        0.0
    """
    text = headers.get(RETRY_AFTER, '')
    if status != UNAVAILABLE or len(text) > MAX_NUMBER_LENGTH:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return seconds if 0 < seconds < math.inf else 0.0


def encode_retry_after(seconds: float) -> dict[str, str]:
    """Return the Retry-After header.

    Args:
        seconds: Delay before a retry.
    """
    return {RETRY_AFTER: f'{seconds:.2f}'}


def _seconds(text: str | None) -> float | None:
    try:
        value = float(text) / 1000 if text else math.nan
    except ValueError:
        return None
    return value if 0 <= value <= MAX_SECONDS else None


def _without(
    headers: multidict.CIMultiDictProxy[str], omitted: frozenset[str]
) -> multidict.CIMultiDict[str]:
    connection = headers.get('Connection', '')
    hop_by_hop = {name.strip().lower() for name in connection.split(',')}
    return multidict.CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in omitted and name.lower() not in hop_by_hop
    )
