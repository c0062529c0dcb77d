"""Values as the platform writes them: times with units, addresses."""

import math
import typing

_UNITS_S = {'ms': 0.001, 's': 1.0}


class MalformedValue(ValueError):
    """A value does not have the form that the platform documents."""


def seconds(text: typing.Any) -> float:
    """Return a time in seconds.

    Args:
        text: Number and unit, such as ``1500ms`` or ``2.5s``.

    Raises:
        MalformedValue: If it is something else.

    Examples:
        >>> seconds('1500ms'), seconds('2.5s')
        (1.5, 2.5)
    """
    if not isinstance(text, str):
        raise MalformedValue(f'{text!r} is not a time')
    digits = text.rstrip('ms')
    factor = _UNITS_S.get(text[len(digits) :])
    try:
        value = float(digits) * factor if factor else math.nan
    except ValueError:
        value = math.nan
    if not 0 <= value < math.inf:
        raise MalformedValue(f'{text!r} is not a time')
    return value


def text(value: typing.Any, what: str) -> str:
    """Return a value that must be a text with content.

    Args:
        value: The value.
        what: Name of the field.

    Raises:
        MalformedValue: If it is something else.
    """
    if not isinstance(value, str) or not value:
        raise MalformedValue(f'{what} is {value!r}')
    return value


def whole(value: typing.Any, what: str) -> int:
    """Return a value that must be a whole number.

    Args:
        value: The value.
        what: Name of the field.

    Raises:
        MalformedValue: If it is something else.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedValue(f'{what} is {value!r}')
    return value


def address(value: typing.Any, what: str) -> str:
    """Return a value that must be an address ``ip:port``.

    Args:
        value: The value.
        what: Name of the field.

    Raises:
        MalformedValue: If it is something else.
    """
    host, _, port = text(value, what).rpartition(':')
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise MalformedValue(f'{what} is {value!r}')
    return value
