"""Headers of callers' requests and of upstreams' answers."""

import math
import typing

import attrs
import multidict

from bulrushcourse_domain.upstreams import loads

REQUEST_ID = 'X-Request-Id'
DEADLINE_MS = 'X-Request-Deadline-Ms'
OBJECT = 'X-Affinity-Key'
EXPECTED_UPSTREAM = 'X-Expect-Instance'
SIGNATURE = 'X-Server-Signature'
NOT_RUN = 'X-Not-Executed'
LOAD = 'X-Server-Load'
WARMUP_MS = 'X-Warmup-Ms'
RETRY_AFTER = 'Retry-After'

# Another upstream has the address and did not run the request.
MISDIRECTED = 421

# Headers that concern one connection, or that this system sets itself.
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
        'Content-Length',
        'Expect',
        DEADLINE_MS,
        EXPECTED_UPSTREAM,
    )
)
_NOT_RETURNED = _NOT_FORWARDED | {'date', 'server'}


@attrs.frozen
class CallerHeaders:
    """What a caller says of its request.

    Attributes:
        request_id: Identifier of this attempt, empty if missing.
        remaining_s: Time that the caller will wait, ``None`` if not said.
        object_key: Object that the request concerns, empty if not said.
    """

    request_id: str
    remaining_s: float | None
    object_key: str


def decode_caller(headers: typing.Mapping[str, str]) -> CallerHeaders:
    """Return what a caller says of its request.

    Args:
        headers: Headers of the request.
    """
    return CallerHeaders(
        request_id=headers.get(REQUEST_ID, ''),
        remaining_s=_milliseconds(headers.get(DEADLINE_MS)),
        object_key=headers.get(OBJECT, ''),
    )


def encode_forwarded(
    headers: multidict.CIMultiDictProxy[str],
    upstream: str,
    remaining_s: float,
) -> multidict.CIMultiDict[str]:
    """Return the headers of a request to an upstream.

    Args:
        headers: Headers of the caller's request.
        upstream: Name of the upstream that is meant.
        remaining_s: Time that is left.
    """
    forwarded = _without(headers, _NOT_FORWARDED)
    forwarded[EXPECTED_UPSTREAM] = upstream
    forwarded[DEADLINE_MS] = str(max(1, int(remaining_s * 1000)))
    return forwarded


def encode_returned(
    headers: multidict.CIMultiDictProxy[str],
) -> multidict.CIMultiDict[str]:
    """Return the headers of an answer to a caller.

    Args:
        headers: Headers of the upstream's answer.
    """
    return _without(headers, _NOT_RETURNED)


def proves_not_executed(
    status: int, headers: typing.Mapping[str, str]
) -> bool:
    """Return whether an answer proves that the request did not run.

    Args:
        status: Status of the answer.
        headers: Its headers.
    """
    return status == MISDIRECTED or NOT_RUN in headers


def is_genuine(
    status: int, headers: typing.Mapping[str, str], request_id: str
) -> bool:
    """Return whether an answer is the upstream's, to this request.

    Args:
        status: Status of the answer.
        headers: Its headers.
        request_id: Identifier that the request had.
    """
    if headers.get(REQUEST_ID, request_id) != request_id:
        return False
    return status >= 300 or (SIGNATURE in headers and REQUEST_ID in headers)


def decode_load(headers: typing.Mapping[str, str]) -> loads.LoadReport | None:
    """Return the load that an upstream reports, if it does.

    The fourth figure is the time that work takes at the moment, in percent
    of the usual.

    Args:
        headers: Headers of an answer.

    Examples:
        >>> decode_load({'X-Server-Load': '3,0,8,150'}).slowness
        1.5
    """
    figures = headers.get(LOAD, '').split(',')
    try:
        values = [int(figure) for figure in figures]
    except ValueError:
        return None
    if len(values) < 3 or min(values) < 0:
        return None
    slowness = values[3] / 100 if len(values) > 3 and values[3] else None
    return loads.LoadReport(*values[:3], slowness)


def decode_warmup_s(headers: typing.Mapping[str, str]) -> float | None:
    """Return how long an upstream stays cold, if it says so.

    Args:
        headers: Headers of an answer.
    """
    return _milliseconds(headers.get(WARMUP_MS))


def encode_retry_after(seconds: float) -> dict[str, str]:
    """Return the headers that say when a caller may come back.

    Args:
        seconds: Time to wait.
    """
    return {RETRY_AFTER: f'{seconds:.2f}'}


def _milliseconds(text: str | None) -> float | None:
    try:
        value = float(text) / 1000 if text else math.nan
    except ValueError:
        return None
    return value if 0 <= value < math.inf else None


def _without(
    headers: multidict.CIMultiDictProxy[str], left_out: frozenset[str]
) -> multidict.CIMultiDict[str]:
    named = headers.get('Connection', '')
    extra = {name.strip().lower() for name in named.split(',')}
    return multidict.CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in left_out and name.lower() not in extra
    )
