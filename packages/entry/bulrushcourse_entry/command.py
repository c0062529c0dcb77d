"""The ``bulrushcourse`` command line."""

import asyncio
import importlib.metadata
import sys
import typing

import attrs
import cappa
import logbook
from returns import result

from bulrushcourse_domain import findings
from bulrushcourse_entry import held_signals
from bulrushcourse_entry import process
from bulrushcourse_entry import settings as entry_settings
from bulrushcourse_entry.edge import program
from bulrushcourse_entry.platform import settings_file

EXIT_BAD_SETTINGS = 2
LOG_FORMAT = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.message}'
)


def run(command: 'Run') -> None:
    """Run an entry until SIGTERM.

    Args:
        command: Parsed arguments.
    """
    held_signals.hold()
    settings = _load(command.settings)
    logbook.set_datetime_format('utc')
    handler = logbook.StreamHandler(
        sys.stderr,
        level=logbook.lookup_level(settings.log_level.upper()),
        format_string=LOG_FORMAT,
    )
    with handler.applicationbound():
        asyncio.run(_run(settings))


async def _run(settings: entry_settings.Settings) -> None:
    try:
        await process.EntryProcess(settings).run()
    finally:
        # The event loop restores the default actions when it closes.
        held_signals.hold()


def run_edge(command: 'Edge') -> None:
    """Run the edge program until SIGTERM.

    Args:
        command: Parsed arguments.
    """
    code = program.main(command.settings, command.metrics_port)
    raise cappa.Exit(code=code)


def check_settings(command: 'CheckSettings') -> None:
    """Check a settings file and print all findings.

    A ``.toml`` file is checked as a settings file of the users' platform.

    Args:
        command: Parsed arguments.
    """
    if command.settings.endswith('.toml'):
        _check_platform_settings(command.settings)
    else:
        _load(command.settings)
    print(f'{command.settings}: no findings')


def show_version() -> None:
    """Print the version."""
    print(importlib.metadata.version('bulrushcourse-entry'))


def _check_platform_settings(path: str) -> None:
    loaded = settings_file.load(path)
    if isinstance(loaded, result.Failure):
        _report(path, loaded.failure())


def _report(path: str, found: typing.Iterable[findings.Finding]) -> None:
    for finding in found:
        print(f'{path}: {finding}', file=sys.stderr)
    raise cappa.Exit(code=EXIT_BAD_SETTINGS)


def _load(path: str) -> entry_settings.Settings:
    loaded = entry_settings.load_settings(path)
    if isinstance(loaded, result.Failure):
        _report(path, loaded.failure())
    return loaded.unwrap()


@cappa.command(
    name='run',
    invoke=run,
    help='Run an entry until SIGTERM.',
    description='Example: bulrushcourse run --settings entry-1.json',
)
@attrs.define
class Run:
    """Arguments of ``run``.

    Attributes:
        settings: Path of the settings file.
    """

    settings: typing.Annotated[
        str, cappa.Arg(long=True, help='Path of the JSON settings file.')
    ]


@cappa.command(
    name='edge',
    invoke=run_edge,
    help="Run the edge program on the users' platform until SIGTERM.",
    description='Example: bulrushcourse edge --metrics-port 9180',
)
@attrs.define
class Edge:
    """Arguments of ``edge``.

    Attributes:
        settings: Path of the platform's settings file; empty for the one
            that ``BULRUSHCOURSE_CONFIG`` names.
        metrics_port: Port of the HTTP listener for metrics and state, 0 for
            none.
    """

    settings: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            help='Path of the settings file; by default the one that '
            'BULRUSHCOURSE_CONFIG names.',
        ),
    ] = ''
    metrics_port: typing.Annotated[
        int,
        cappa.Arg(
            long=True,
            help='Port of the listener for metrics and state; 0 for none.',
        ),
    ] = 0


@cappa.command(
    name='check-settings',
    invoke=check_settings,
    help='Check a settings file; exit code 2 if there are findings.',
    description='Example: bulrushcourse check-settings entry-1.json',
)
@attrs.define
class CheckSettings:
    """Arguments of ``check-settings``.

    Attributes:
        settings: Path of the settings file.
    """

    settings: typing.Annotated[
        str,
        cappa.Arg(help="Path of the JSON file, or the platform's TOML file."),
    ]


@cappa.command(name='version', invoke=show_version, help='Print the version.')
@attrs.define
class Version:
    """Arguments of ``version``."""


@cappa.command(
    name='bulrushcourse',
    help='Global traffic steering: the process on an entry VM.',
)
@attrs.define
class Bulrushcourse:
    """The command line.

    Attributes:
        command: The selected subcommand.
    """

    command: cappa.Subcommands[Run | Edge | CheckSettings | Version]


def main() -> None:
    """Run the command line."""
    cappa.invoke(Bulrushcourse)
