"""Questions of callers which VMs to use, and the answers."""

import json
import typing

import attrs

_PATH = '/resolve'


@attrs.frozen
class Question:
    """What a caller wants to know.

    Attributes:
        host: Host that it will name in its requests.
        region: Its region.
        failure_domain: Its failure domain.
    """

    host: str
    region: str
    failure_domain: str


def decode(path: str, query: typing.Mapping[str, str]) -> Question | None:
    """Return a caller's question, ``None`` if it is something else.

    Args:
        path: Path of the request.
        query: Its query.
    """
    if path != _PATH:
        return None
    return Question(
        query.get('name', '').lower(),
        query.get('region', ''),
        query.get('zone', ''),
    )


def encode(addresses: typing.Sequence[str], max_age_s: float) -> bytes:
    """Return the answer to a question.

    Args:
        addresses: Addresses ``ip:port`` to use.
        max_age_s: How long they may be kept.
    """
    answer = {'addresses': list(addresses), 'ttl': f'{max_age_s:g}s'}
    return json.dumps(answer).encode()
