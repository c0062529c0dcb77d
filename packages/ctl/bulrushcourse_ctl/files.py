"""Commands that check, show and compare configuration files."""

import typing

import attrs
import cappa

from bulrushcourse_ctl import documents
from bulrushcourse_ctl import exits
from bulrushcourse_ctl import options
from bulrushcourse_ctl import tables
from bulrushcourse_domain.configuration import difference


def read_checked(path: str, as_json: bool) -> documents.ConfigurationFile:
    """Return a file without findings, or print them and end the command.

    Args:
        path: Path of the file.
        as_json: Whether to print findings as JSON.
    """
    read = documents.read_file(path)
    if not read.findings:
        return read
    found = [attrs.asdict(one) for one in read.findings]
    if as_json:
        options.print_json({'file': path, 'findings': found})
    else:
        tables.print_findings(path, found)
    exits.fail(exits.ExitCode.BAD_INPUT, f'{path}: {len(found)} findings')


def check(command: 'Check') -> None:
    """Check a file without any entry.

    Args:
        command: Parsed arguments.
    """
    read_checked(command.file, command.json)
    if command.json:
        options.print_json({'file': command.file, 'findings': []})
    else:
        print(f'{command.file}: no findings')


def show(command: 'Show') -> None:
    """Print a configuration with its version, ready to be edited.

    Args:
        command: Parsed arguments.
    """
    path = '/v1/configuration'
    if command.version:
        path = f'/v1/history/{command.version}'
    body = command.open().fetch(path)
    options.print_json({key: body[key] for key in ('version', 'objects')})


def diff(command: 'Diff') -> None:
    """Print what a file changes.

    Args:
        command: Parsed arguments.
    """
    read = read_checked(command.file, command.json)
    current = command.open().fetch('/v1/configuration')
    changes = difference.list_changes(
        documents.parse_objects(current['objects']), read.objects
    )
    if command.json:
        options.print_json(
            {
                'version': current['version'],
                'changes': [str(change) for change in changes],
            }
        )
        return
    print(f'compared with version {current["version"]}:')
    for change in changes:
        print(f'  {change}')
    if not changes:
        print('  no changes')


FileArgument = typing.Annotated[
    str, cappa.Arg(help='JSON file with the configuration.')
]


@cappa.command(
    name='check',
    invoke=check,
    help='Check a file; needs no entry.',
    description='Example: bulrushctl check configuration.json',
)
@attrs.define
class Check:
    """Arguments of ``check``.

    Attributes:
        file: Path of the file.
        json: Whether to print JSON.
    """

    file: FileArgument
    json: typing.Annotated[
        bool, cappa.Arg(long=True, help='Print JSON for programs.')
    ] = False


@cappa.command(
    name='show',
    invoke=show,
    help='Print a configuration with its version, ready to be edited.',
    description='Example: bulrushctl show > configuration.json',
)
@attrs.define(kw_only=True)
class Show(options.Connection):
    """Arguments of ``show``.

    Attributes:
        version: Version in the history, ``None`` for the one in force.
    """

    version: typing.Annotated[
        int | None,
        cappa.Arg(long=True, help='Earlier version; else that in force.'),
    ] = None


@cappa.command(
    name='diff',
    invoke=diff,
    help='Print what a file changes against the version in force.',
    description='Example: bulrushctl diff configuration.json',
)
@attrs.define(kw_only=True)
class Diff(options.Connection):
    """Arguments of ``diff``.

    Attributes:
        file: Path of the file.
    """

    file: FileArgument
