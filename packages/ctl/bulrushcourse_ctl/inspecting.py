"""Commands that print the state of entries."""

import typing
import urllib.parse

import attrs
import cappa

from bulrushcourse_ctl import options
from bulrushcourse_ctl import tables


def status(command: 'Status') -> None:
    """Print all entries with their active configuration versions.

    Args:
        command: Parsed arguments.
    """
    body = command.open().fetch('/v1/versions')
    if command.json:
        options.print_json(body)
        return
    tables.print_table(
        (
            'entry',
            'region',
            'state',
            'version',
            'newest',
            'store',
            'silent (s)',
        ),
        [
            (
                vm['entry'],
                vm['region'],
                vm['state'],
                vm['version'],
                vm['held_version'],
                'reachable' if vm['store_reachable'] else 'unreachable',
                vm['silent_s'],
            )
            for vm in sorted(body['entries'], key=lambda vm: vm['entry'])
        ],
    )
    if body['unheard']:
        print(f'entries without a reporting VM: {", ".join(body["unheard"])}')
    if body['isolated']:
        print('the responding entry is isolated from the store and its peers')


def history(command: 'History') -> None:
    """Print the newest publications.

    Args:
        command: Parsed arguments.
    """
    body = command.open().fetch('/v1/history')
    if command.json:
        options.print_json(body)
        return
    tables.print_table(
        ('version', 'published at', 'operator', 'note', 'publish id'),
        [
            (
                publication['version'],
                publication['published_at'],
                publication['operator'],
                publication['note'],
                publication['publish_id'],
            )
            for publication in body['publications']
        ],
    )


def dump(command: 'Dump') -> None:
    """Print the state dump of an entry.

    Args:
        command: Parsed arguments.
    """
    options.print_json(command.open().fetch('/v1/state'))


def explain(command: 'Explain') -> None:
    """Print a client's look-up answer and the entry's last region choices.

    Args:
        command: Parsed arguments.
    """
    query = urllib.parse.urlencode({'client': command.client})
    entry_client = command.open()
    body = entry_client.fetch(f'/v1/explain?{query}')
    body['routes'] = entry_client.fetch('/v1/routes')
    if command.json:
        options.print_json(body)
        return
    print(
        f'client {body["client"]} is nearest to region {body["region"]}, '
        f'from {body["region_from"]} {body["place"]}'.rstrip()
    )
    print(f'regions, nearest first: {", ".join(body["regions"])}')
    tables.print_table(
        ('entry', 'region', 'address'),
        [
            (entry['name'], entry['region'], entry['address'])
            for entry in body['entries']
        ],
    )
    for omitted in body['left_out']:
        print(f'omitted: {omitted["entry"]} is {omitted["state"]}')
    tables.print_table(
        ('service', 'last region', 'reason', 'skipped'),
        [
            (
                service,
                route['region'] or 'none',
                route['reason'],
                ', '.join(
                    f'{region}: {reason}'
                    for region, reason in route['passed_over'].items()
                ),
            )
            for service, route in body['routes'].items()
        ],
        'last region choices of this entry',
    )


@cappa.command(
    name='status',
    invoke=status,
    help='Print all entries with their versions in force.',
    description='Example: bulrushctl status --entry 10.0.0.1:9002',
)
@attrs.define(kw_only=True)
class Status(options.Connection):
    """Arguments of ``status``."""


@cappa.command(
    name='history',
    invoke=history,
    help='Print the newest publications.',
    description='Example: bulrushctl history --json',
)
@attrs.define(kw_only=True)
class History(options.Connection):
    """Arguments of ``history``."""


@cappa.command(
    name='dump',
    invoke=dump,
    help='Print the state dump of an entry.',
    description='Example: bulrushctl dump --entry 10.0.0.1:9002',
)
@attrs.define(kw_only=True)
class Dump(options.Connection):
    """Arguments of ``dump``."""


@cappa.command(
    name='explain',
    invoke=explain,
    help='Print the look-up answer for a client and the reasons for it.',
    description='Example: bulrushctl explain 192.0.2.7',
)
@attrs.define(kw_only=True)
class Explain(options.Connection):
    """Arguments of ``explain``.

    Attributes:
        client: IP address of the client.
    """

    client: typing.Annotated[str, cappa.Arg(help='IP address of the client.')]
