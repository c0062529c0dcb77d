"""Encoding of look-ups, by which callers find the VMs to connect to."""

import json
import typing

import attrs

from bulrushcourse_domain.routes import host_names

_PATH = '/resolve'


@attrs.frozen
class LookupQuery:
    """A caller's look-up.

    Attributes:
        host: Host of the requests that will follow.
        region: Region of the caller.
        failure_domain: Failure domain of the caller.
    """

    host: str
    region: str
    failure_domain: str


def decode(path: str, query: typing.Mapping[str, str]) -> LookupQuery | None:
    """Return a caller's look-up, ``None`` if the path is another one.

    Args:
        path: Path of the request.
        query: Query parameters of the request.
    """
    if path != _PATH:
        return None
    return LookupQuery(
        host_names.canonical(query.get('name', '')),
        query.get('region', ''),
        query.get('zone', ''),
    )


def encode(addresses: typing.Sequence[str], max_age_s: float) -> bytes:
    """Return the response body for a look-up.

    Args:
        addresses: Addresses ``ip:port`` of the VMs to connect to.
        max_age_s: Time for which the caller may cache them.
    """
    response = {'addresses': list(addresses), 'ttl': f'{max_age_s:g}s'}
    return json.dumps(response).encode()
