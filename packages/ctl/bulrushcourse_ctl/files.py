"""Commands that validate, print and compare configurations."""

import typing

import attrs
import cappa

from bulrushcourse_ctl import documents
from bulrushcourse_ctl import exits
from bulrushcourse_ctl import options
from bulrushcourse_ctl import tables
from bulrushcourse_domain.configuration import difference


def load_valid(path: str, as_json: bool) -> documents.ConfigurationFile:
    """Load a file; if it has findings, print them and exit.

    Args:
        path: Path of the file.
        as_json: Whether to print the findings as JSON.
    """
    loaded = documents.read_file(path)
    if not loaded.findings:
        return loaded
    findings = [attrs.asdict(finding) for finding in loaded.findings]
    if as_json:
        options.print_json({'file': path, 'findings': findings})
    else:
        tables.print_findings(path, findings)
    exits.fail(exits.ExitCode.BAD_INPUT, f'{path}: {len(findings)} findings')


def check(command: 'Check') -> None:
    """Validate a file locally, without contacting an entry.

    Args:
        command: Parsed arguments.
    """
    load_valid(command.file, command.json)
    if command.json:
        options.print_json({'file': command.file, 'findings': []})
    else:
        print(f'{command.file}: no findings')


def show(command: 'Show') -> None:
    """Print a configuration and its version in the format of the files.

    Args:
        command: Parsed arguments.
    """
    path = '/v1/configuration'
    if command.version:
        path = f'/v1/history/{command.version}'
    body = command.open().fetch(path)
    options.print_json({key: body[key] for key in ('version', 'objects')})


def diff(command: 'Diff') -> None:
    """Print the differences between the active configuration and a file.

    Args:
        command: Parsed arguments.
    """
    loaded = load_valid(command.file, command.json)
    current = command.open().fetch('/v1/configuration')
    changes = difference.list_changes(
        documents.parse_objects(current['objects']), loaded.objects
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
    help='Validate a file without contacting an entry.',
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
    json: typing.Annotated[bool, cappa.Arg(long=True, help='Print JSON.')] = (
        False
    )


@cappa.command(
    name='show',
    invoke=show,
    help='Print a configuration and its version, ready for editing.',
    description='Example: bulrushctl show > configuration.json',
)
@attrs.define(kw_only=True)
class Show(options.Connection):
    """Arguments of ``show``.

    Attributes:
        version: Version to print, ``None`` for the active one.
    """

    version: typing.Annotated[
        int | None,
        cappa.Arg(
            long=True, help='Version to print; default: the one in force.'
        ),
    ] = None


@cappa.command(
    name='diff',
    invoke=diff,
    help='Print how a file differs from the version in force.',
    description='Example: bulrushctl diff configuration.json',
)
@attrs.define(kw_only=True)
class Diff(options.Connection):
    """Arguments of ``diff``.

    Attributes:
        file: Path of the file.
    """

    file: FileArgument
