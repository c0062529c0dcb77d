"""Decoding of the responses of the platform's store."""

import base64
import typing

import attrs

from bulrushcourse_domain.store import store_era
from bulrushcourse_entry.platform import units

# Largest time of the store's steady clock, about 30,000 years.
MAX_STORE_S = 1e12
ERA_HEADER = 'Store-Era'
# More digits than those of the largest era.
MAX_ERA_DIGITS = 20


class StoreUnavailable(Exception):
    """A call to the store failed or returned an invalid response."""


@attrs.frozen
class StoredRow:
    """A row of the store.

    Attributes:
        key: Key within its table.
        value: Content; ``None`` if the row was removed.
        version: Store version of its last write.
    """

    key: str
    value: bytes | None
    version: int


def version(page: dict[str, typing.Any]) -> int:
    """Return the newest version that a response states.

    Args:
        page: The response.

    Raises:
        StoreUnavailable: If it states none.
    """
    stated = page.get('ver')
    if not isinstance(stated, int):
        raise StoreUnavailable('response without a version')
    return stated


def era(headers: typing.Mapping[str, str]) -> int | None:
    """Return the era that a response states, ``None`` if it is no number.

    Args:
        headers: Header fields of the response.

    Examples:
        >>> era({'Store-Era': '3'}), era({'Store-Era': '-1'}), era({})
        (3, None, None)
    """
    stated = headers.get(ERA_HEADER, '').strip()
    if not (stated.isascii() and stated.isdigit()):
        return None
    value = int(stated[:MAX_ERA_DIGITS])
    return value if 0 < value <= store_era.MAX_ERA else None


def store_s(page: dict[str, typing.Any]) -> float | None:
    """Return the time that a response states in seconds, if it is usable.

    Args:
        page: The response.

    Examples:
        >>> store_s({'now': '51250ms'}), store_s({'now': 'noon'})
        (51.25, None)
    """
    try:
        return units.duration_s(page.get('now'), MAX_STORE_S)
    except units.MalformedValue:
        return None


def rows(page: dict[str, typing.Any]) -> list[StoredRow]:
    """Return the rows of a response.

    Args:
        page: The response.

    Raises:
        StoreUnavailable: If it has none, or one without key or version.
    """
    content = page.get('rows')
    if not isinstance(content, list):
        raise StoreUnavailable('response without rows')
    return [_row(fields) for fields in content]


def _row(fields: typing.Any) -> StoredRow:
    try:
        key, version = fields['key'], fields['ver']
        removed, encoded = fields.get('removed'), fields.get('value')
    except (AttributeError, LookupError, TypeError) as error:
        raise StoreUnavailable(f'malformed row: {error!r:.200}') from error
    if not isinstance(key, str) or not isinstance(version, int):
        raise StoreUnavailable('row without a key or a version')
    if removed:
        return StoredRow(key, None, version)
    try:
        return StoredRow(key, base64.b64decode(encoded), version)
    except (TypeError, ValueError):
        # The row exists; its content is refused when it is decoded.
        return StoredRow(key, b'', version)
