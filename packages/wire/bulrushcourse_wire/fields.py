"""Checks of decoded values, for messages whose sender may be faulty."""

import ipaddress
import typing

import attrs

from bulrushcourse_domain import ranges

MAX_ITEMS = 10_000
_MAX_PORT = 65_535


class MalformedField(ValueError):
    """A field has another type or is out of range."""


@attrs.define
class ContainerCount:
    """Bounds the lists and maps of a message while it is unpacked.

    Attributes:
        left: How many more it may have.
    """

    left: int

    def add(self, container: typing.Any) -> typing.Any:
        """Count a list or map and return it.

        Args:
            container: The list or map.

        Raises:
            MalformedField: If there are too many.
        """
        self.left -= 1
        if self.left < 0:
            raise MalformedField('too many lists and maps')
        return container


def integer(value: typing.Any, maximum: int = ranges.MAX_INTEGER) -> int:
    """Return a value that must be an integer from 0 to a maximum.

    Args:
        value: The value.
        maximum: Largest allowed value.

    Raises:
        MalformedField: If it is not.
    """
    if type(value) is not int or not 0 <= value <= maximum:
        raise MalformedField(f'{value!r:.50} is not in 0 to {maximum}')
    return value


def text(value: typing.Any) -> str:
    """Return a value that must be a string without control characters.

    Args:
        value: The value.

    Raises:
        MalformedField: If it is not.
    """
    if not ranges.is_text(value):
        raise MalformedField(f'{value!r:.50} is not a text')
    return value


def address(value: typing.Any) -> str:
    """Return a value that must be ``ip:port``, or empty for none.

    Args:
        value: The value.

    Raises:
        MalformedField: If it is not.

    Examples:
        >>> address('10.0.0.1:80')
        '10.0.0.1:80'
    """
    host, _, port = text(value).rpartition(':')
    if value and not (
        _is_ipv4(host)
        and port.isascii()
        and port.isdigit()
        and 0 < int(port) <= _MAX_PORT
    ):
        raise MalformedField(f'{value!r:.50} is not an address')
    return value


def _is_ipv4(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def items(value: typing.Any, maximum: int) -> list[typing.Any]:
    """Return a value that must be a list of at most so many entries.

    Args:
        value: The value.
        maximum: Largest allowed number of entries.

    Raises:
        MalformedField: If it is not.
    """
    if type(value) is not list or len(value) > maximum:
        raise MalformedField(f'not a list of at most {maximum} entries')
    return value


def mapping(value: typing.Any, maximum: int) -> dict[typing.Any, typing.Any]:
    """Return a value that must be a map of at most so many entries.

    Args:
        value: The value.
        maximum: Largest allowed number of entries.

    Raises:
        MalformedField: If it is not.
    """
    if type(value) is not dict or len(value) > maximum:
        raise MalformedField(f'not a map of at most {maximum} entries')
    return value


def content(value: typing.Any, maximum: int) -> bytes:
    """Return a value that must be a byte string of at most so many bytes.

    Args:
        value: The value.
        maximum: Largest allowed number of bytes.

    Raises:
        MalformedField: If it is not.
    """
    if type(value) is not bytes or len(value) > maximum:
        raise MalformedField(f'not a byte string of at most {maximum} bytes')
    return value
