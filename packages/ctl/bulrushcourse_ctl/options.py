"""Options shared by several commands."""

import json
import typing

import attrs
import cappa

from bulrushcourse_ctl import client


def split_addresses(text: str) -> list[str]:
    """Split a comma-separated list of addresses.

    Args:
        text: Addresses in the form ``ip:port``.

    Examples:
        >>> split_addresses('127.0.0.1:1, 127.0.0.1:2')
        ['127.0.0.1:1', '127.0.0.1:2']
    """
    return [part.strip() for part in text.split(',') if part.strip()]


@attrs.define(kw_only=True)
class Connection:
    """Options of commands that connect to an entry.

    Attributes:
        entry: Comma-separated addresses of operators' listeners.
        token_file: File with the bearer token.
        json: Whether to print JSON instead of tables.
    """

    entry: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env('BULRUSHCTL_ENTRIES', default=''),
            help='Operators\' listeners, "ip:port,ip:port"; the first one '
            'that is reachable is used.',
        ),
    ] = ''
    token_file: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env('BULRUSHCTL_TOKEN_FILE', default=''),
            help="File with the operators' bearer token.",
        ),
    ] = ''
    json: typing.Annotated[
        bool, cappa.Arg(long=True, help='Print JSON instead of tables.')
    ] = False

    def open(self) -> client.OperatorsClient:
        """Return a client; exit if an option is missing or unusable."""
        return client.open_client(split_addresses(self.entry), self.token_file)


def print_json(value: typing.Any) -> None:
    """Print a value as indented JSON with sorted keys.

    Args:
        value: Value to print.
    """
    print(json.dumps(value, indent=2, sort_keys=True))
