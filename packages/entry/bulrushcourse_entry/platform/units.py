"""Parsing and range checks of the values that come from the platform.

Rows may come from other writers, so any value can be absent, of another type
or out of range. A value that passes these checks can be used in arithmetic,
logged, sent in a header and encoded in a message to another VM.
"""

import ipaddress
import json
import math
import sys
import typing

from bulrushcourse_domain import ranges

_UNIT_FACTORS = {'ms': 0.001, 's': 1.0}
MAX_PORT = 65_535
# Elements of a document. An element takes up to 240 bytes when it is decoded;
# one of a document of 1 MB, the largest that the platform stores, has more
# than 10 bytes of text.
MAX_ELEMENTS = 100_000
_MAX_PORT_DIGITS = 5


class MalformedValue(ValueError):
    """A value does not have the form that the platform specifies."""


class OversizedDocument(MalformedValue):
    """A document has too many elements."""


# Raised by operations on values of an unexpected type or magnitude.
DECODING_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


def parse_json(content: bytes, max_elements: int = MAX_ELEMENTS) -> typing.Any:
    """Return the value of a JSON document.

    Args:
        content: The document.
        max_elements: Largest number of its commas, which bounds the number
            of its elements.

    Raises:
        OversizedDocument: If it has more elements.
        MalformedValue: If it is not JSON, is nested too deeply, or has a
            number that is too long or not finite.

    Examples:
        >>> parse_json(b'{"slots": 4}')
        {'slots': 4}
    """
    if content.count(b',') > max_elements:
        raise OversizedDocument(f'over {max_elements} elements')
    try:
        return json.loads(content, parse_constant=_refuse_constant)
    except (RecursionError, ValueError) as error:
        raise MalformedValue(f'not a JSON document: {error!r:.200}') from error


def _refuse_constant(name: str) -> typing.NoReturn:
    raise MalformedValue(f'{name} is not a number')


def duration_s(
    text: typing.Any, maximum_s: float = ranges.MAX_DURATION_S
) -> float:
    """Return a duration in seconds.

    Args:
        text: Number and unit, such as ``1500ms`` or ``2.5s``.
        maximum_s: Longest allowed duration.

    Raises:
        MalformedValue: If the value has another form.

    Examples:
        >>> duration_s('1500ms'), duration_s('2.5s')
        (1.5, 2.5)
    """
    value = _seconds(text)
    if not 0 <= value <= maximum_s:
        raise MalformedValue(
            f'{text!r:.50} is not a duration of at most {maximum_s:g}s'
        )
    return value


def capped_duration_s(text: typing.Any) -> float:
    """Return a duration in seconds, the longest usable one for longer ones.

    Args:
        text: Number and unit, such as ``1500ms`` or ``2.5s``.

    Raises:
        MalformedValue: If the value has another form.

    Examples:
        >>> capped_duration_s('9000000s') == ranges.MAX_DURATION_S
        True
    """
    return min(ranges.MAX_DURATION_S, duration_s(text, sys.float_info.max))


def _seconds(text: typing.Any) -> float:
    """Return a duration, not a number if it has another form."""
    if not isinstance(text, str):
        return math.nan
    digits = text.rstrip('ms')
    factor = _UNIT_FACTORS.get(text[len(digits) :])
    try:
        return float(digits) * factor if factor else math.nan
    except ValueError:
        return math.nan


def non_empty_string(value: typing.Any, field: str) -> str:
    """Return a value that must be a non-empty string.

    Args:
        value: The value.
        field: Name of the field.

    Raises:
        MalformedValue: If it is not, or if no message could carry it.
    """
    if not value or not ranges.is_text(value):
        raise MalformedValue(
            f'{field} is {value!r:.50}, not a non-empty string without'
            ' control characters'
        )
    return value


def integer(
    value: typing.Any,
    field: str,
    minimum: int = 0,
    maximum: int = ranges.MAX_INTEGER,
) -> int:
    """Return a value that must be an integer in a range.

    Args:
        value: The value.
        field: Name of the field.
        minimum: Smallest allowed value.
        maximum: Largest allowed value.

    Raises:
        MalformedValue: If it is not.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedValue(f'{field} is {value!r:.50}, not an integer')
    if not minimum <= value <= maximum:
        # An integer of thousands of digits cannot be formatted.
        raise MalformedValue(
            f'{field} has {value.bit_length()} bits and is not in'
            f' {minimum} to {maximum}'
        )
    return value


def number(
    value: typing.Any, field: str, minimum: float = 0.0, maximum: float = 1e9
) -> float:
    """Return a value that must be a finite number in a range.

    Args:
        value: The value.
        field: Name of the field.
        minimum: Smallest allowed value.
        maximum: Largest allowed value.

    Raises:
        MalformedValue: If it is not.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedValue(f'{field} is {value!r:.50}, not a number')
    if not minimum <= value <= maximum:
        raise MalformedValue(f'{field} is not in {minimum:g} to {maximum:g}')
    return float(value)


def capped_integer(value: typing.Any, field: str, maximum: int) -> int:
    """Return a non-negative integer, the maximum for larger ones.

    Args:
        value: The value.
        field: Name of the field.
        maximum: Largest usable value.

    Raises:
        MalformedValue: If it is not a non-negative integer.

    Examples:
        >>> capped_integer(10**30, 'max_attempts', 1000)
        1000
    """
    is_large = type(value) is int and value > maximum
    return integer(maximum if is_large else value, field, 0, maximum)


def capped_number(value: typing.Any, field: str, maximum: float) -> float:
    """Return a non-negative finite number, the maximum for larger ones.

    Args:
        value: The value.
        field: Name of the field.
        maximum: Largest usable value.

    Raises:
        MalformedValue: If it is not a non-negative finite number.
    """
    return min(maximum, number(value, field, 0.0, sys.float_info.max))


def address(value: typing.Any, field: str) -> str:
    """Return a value that must be an IPv4 address and port ``ip:port``.

    Args:
        value: The value.
        field: Name of the field.

    Raises:
        MalformedValue: If it is not.

    Examples:
        >>> address('10.0.0.1:80', 'address')
        '10.0.0.1:80'
    """
    host, _, port = non_empty_string(value, field).rpartition(':')
    if not _is_port(port) or not _is_ipv4(host):
        raise MalformedValue(
            f'{field} is {value!r:.50}, not an address ip:port'
        )
    return value


def _is_port(text: str) -> bool:
    # ``isdigit`` alone also accepts the digits of other scripts.
    return (
        text.isascii()
        and text.isdigit()
        and len(text) <= _MAX_PORT_DIGITS
        and 0 < int(text) <= MAX_PORT
    )


def _is_ipv4(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True
