"""Command line of the binary ``bulrushcourse``."""

import asyncio
import importlib.metadata
import sys
import typing

import attrs
import cappa
import logbook
from returns import result

from bulrushcourse_entry import process
from bulrushcourse_entry import settings as entry_settings

EXIT_BAD_SETTINGS = 2
LOG_FORMAT = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.message}'
)


def run(command: 'Run') -> None:
    """Run an entry until SIGTERM.

    Args:
        command: Parsed arguments.
    """
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
    await process.EntryProcess(settings).run()


def check_settings(command: 'CheckSettings') -> None:
    """Check a settings file and print all findings.

    Args:
        command: Parsed arguments.
    """
    _load(command.settings)
    print(f'{command.settings}: no findings')


def show_version() -> None:
    """Print the version."""
    print(importlib.metadata.version('bulrushcourse-entry'))


def _load(path: str) -> entry_settings.Settings:
    loaded = entry_settings.load_settings(path)
    if isinstance(loaded, result.Failure):
        for found in loaded.failure():
            print(f'{path}: {found}', file=sys.stderr)
        raise cappa.Exit(code=EXIT_BAD_SETTINGS)
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
        str, cappa.Arg(help='Path of the JSON settings file.')
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
        command: The chosen command.
    """

    command: cappa.Subcommands[Run | CheckSettings | Version]


def main() -> None:
    """Run the command line."""
    cappa.invoke(Bulrushcourse)
