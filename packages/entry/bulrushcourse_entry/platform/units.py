"""Conversion of the platform's field values: durations, addresses."""

import math
import typing

_UNIT_FACTORS = {'ms': 0.001, 's': 1.0}


class MalformedValue(ValueError):
    """A value does not have the form that the platform specifies."""


def duration_s(text: typing.Any) -> float:
    """Return a duration in seconds.

    Args:
        text: Number and unit, such as ``1500ms`` or ``2.5s``.

    Raises:
        MalformedValue: If the value has another form.

    Examples:
        >>> duration_s('1500ms'), duration_s('2.5s')
        (1.5, 2.5)
    """
    if not isinstance(text, str):
        raise MalformedValue(f'{text!r} is not a duration')
    digits = text.rstrip('ms')
    factor = _UNIT_FACTORS.get(text[len(digits) :])
    try:
        value = float(digits) * factor if factor else math.nan
    except ValueError:
        value = math.nan
    if not 0 <= value < math.inf:
        raise MalformedValue(f'{text!r} is not a duration')
    return value


def non_empty_string(value: typing.Any, field: str) -> str:
    """Return a value that must be a non-empty string.

    Args:
        value: The value.
        field: Name of the field.

    Raises:
        MalformedValue: If it is not.
    """
    if not isinstance(value, str) or not value:
        raise MalformedValue(f'{field} is {value!r}, not a non-empty string')
    return value


def integer(value: typing.Any, field: str) -> int:
    """Return a value that must be an integer.

    Args:
        value: The value.
        field: Name of the field.

    Raises:
        MalformedValue: If it is not.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedValue(f'{field} is {value!r}, not an integer')
    return value


def address(value: typing.Any, field: str) -> str:
    """Return a value that must be an address ``ip:port``.

    Args:
        value: The value.
        field: Name of the field.

    Raises:
        MalformedValue: If it is not.
    """
    host, _, port = non_empty_string(value, field).rpartition(':')
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise MalformedValue(f'{field} is {value!r}, not an address ip:port')
    return value
