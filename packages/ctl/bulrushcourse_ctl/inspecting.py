"""Commands that show the state of entries."""

import typing
import urllib.parse

import attrs
import cappa

from bulrushcourse_ctl import options
from bulrushcourse_ctl import tables


def status(command: 'Status') -> None:
    """Print all entries with their versions in force.

    Args:
        command: Parsed arguments.
    """
    body = command.open().fetch('/v1/versions')
    if command.json:
        options.print_json(body)
        return
    tables.print_table(
        ('entry', 'region', 'state', 'version', 'held', 'store', 'silent s'),
        [
            (
                run['entry'],
                run['region'],
                run['state'],
                run['version'],
                run['held_version'],
                'answers' if run['store_reachable'] else 'does not answer',
                run['silent_s'],
            )
            for run in sorted(body['entries'], key=lambda r: r['entry'])
        ],
    )
    if body['unheard']:
        print(f'without a VM that is heard: {", ".join(body["unheard"])}')
    if body['isolated']:
        print('the entry that answered is cut off from store and peers')


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
                kept['version'],
                kept['published_at'],
                kept['operator'],
                kept['note'],
                kept['publish_id'],
            )
            for kept in body['publications']
        ],
    )


def dump(command: 'Dump') -> None:
    """Print the state dump of an entry.

    Args:
        command: Parsed arguments.
    """
    options.print_json(command.open().fetch('/v1/state'))


def explain(command: 'Explain') -> None:
    """Print a client's look-up answer and the last choices of regions.

    Args:
        command: Parsed arguments.
    """
    query = urllib.parse.urlencode({'client': command.client})
    entry = command.open()
    body = entry.fetch(f'/v1/explain?{query}')
    body['routes'] = entry.fetch('/v1/routes')
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
            (found['name'], found['region'], found['address'])
            for found in body['entries']
        ],
    )
    for left_out in body['left_out']:
        print(f'not named: {left_out["entry"]} is {left_out["state"]}')
    tables.print_table(
        ('service', 'last region', 'because', 'passed over'),
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
        'last choices of this entry',
    )


@cappa.command(
    name='status',
    invoke=status,
    help='Show all entries with their versions in force.',
    description='Example: bulrushctl status --entry 10.0.0.1:9002',
)
@attrs.define(kw_only=True)
class Status(options.Connection):
    """Arguments of ``status``."""


@cappa.command(
    name='history',
    invoke=history,
    help='Show the newest publications.',
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
    help='Show how the look-up answer for a client comes about.',
    description='Example: bulrushctl explain 192.0.2.7',
)
@attrs.define(kw_only=True)
class Explain(options.Connection):
    """Arguments of ``explain``.

    Attributes:
        client: IP address of the client.
    """

    client: typing.Annotated[str, cappa.Arg(help='IP address of the client.')]
