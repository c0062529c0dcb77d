"""Options that many commands share."""

import json
import typing

import attrs
import cappa

from bulrushcourse_ctl import client


def split_addresses(text: str) -> list[str]:
    """Return the addresses of a list with commas.

    Args:
        text: Addresses ``ip:port``.

    Examples:
        >>> split_addresses('127.0.0.1:1, 127.0.0.1:2')
        ['127.0.0.1:1', '127.0.0.1:2']
    """
    return [part.strip() for part in text.split(',') if part.strip()]


@attrs.define(kw_only=True)
class Connection:
    """How to reach the entries.

    Attributes:
        entry: Addresses of operators' listeners, with commas.
        token_file: File with the bearer token.
        json: Whether to print JSON instead of tables.
    """

    entry: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env('BULRUSHCTL_ENTRIES', default=''),
            help='Operators\' listeners, "ip:port,ip:port"; the first that '
            'answers is used.',
        ),
    ] = ''
    token_file: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env('BULRUSHCTL_TOKEN_FILE', default=''),
            help="File with the operators' token.",
        ),
    ] = ''
    json: typing.Annotated[
        bool, cappa.Arg(long=True, help='Print JSON for programs.')
    ] = False

    def open(self) -> client.OperatorsClient:
        """Return a client for these options."""
        return client.open_client(split_addresses(self.entry), self.token_file)


def print_json(value: typing.Any) -> None:
    """Print a JSON value.

    Args:
        value: What to print.
    """
    print(json.dumps(value, indent=2, sort_keys=True))
