"""Commands that publish configurations and roll them back."""

import getpass
import time
import typing
import uuid

import attrs
import cappa

from bulrushcourse_ctl import client
from bulrushcourse_ctl import documents
from bulrushcourse_ctl import exits
from bulrushcourse_ctl import files
from bulrushcourse_ctl import options
from bulrushcourse_ctl import tables

# A publish whose answer was lost is sent again with the same identifier.
SEND_ATTEMPTS = 3
RETRY_DELAY_S = 1.0
WAIT_CHECK_S = 0.2
UNKNOWN_STATUS = 504


def publish(command: 'Publish') -> None:
    """Publish a file.

    Args:
        command: Parsed arguments.
    """
    read = files.read_checked(command.file, command.json)
    base = read.base_version if command.base is None else command.base
    if base is None:
        exits.fail(
            exits.ExitCode.BAD_INPUT,
            f'{command.file} does not tell its version: use --base, or edit '
            'the output of "bulrushctl show"',
        )
    body = {
        'base_version': base,
        'objects': documents.unstructure(read.objects),
        'note': command.note or '',
    }
    send(command, '/v1/configuration', body)


def roll_back(command: 'Rollback') -> None:
    """Publish the content of an earlier version as a new version.

    Args:
        command: Parsed arguments.
    """
    base = command.base
    if base is None:
        base = command.open().fetch('/v1/configuration')['version']
    body = {'base_version': base, 'version': command.version}
    send(command, '/v1/rollback', body)


def send(
    command: 'Publishing', path: str, body: dict[str, typing.Any]
) -> None:
    """Send a publish until its outcome is known, print it and wait.

    Args:
        command: Options of the publish.
        path: Path to post to.
        body: Body without identifier and operator.
    """
    publish_id = command.publish_id or uuid.uuid4().hex
    body |= {
        'publish_id': publish_id,
        'operator': command.operator or getpass.getuser(),
    }
    opened = command.open()
    answer = opened.call('POST', path, body)
    for _ in range(SEND_ATTEMPTS - 1):
        if answer.status != UNKNOWN_STATUS:
            break
        time.sleep(RETRY_DELAY_S)
        answer = opened.call('POST', path, body)
    if not answer.is_done:
        _end_refused(command, answer, publish_id)
    version = answer.body['version']
    behind = _wait(opened, version, command.wait_s) if command.wait else None
    if command.json:
        options.print_json(answer.body | {'behind': behind})
    else:
        print(f'published version {version} (publish id {publish_id})')
        if behind == []:
            print(f'version {version} is in force on every entry')
    if behind:
        exits.fail(
            exits.ExitCode.NOT_IN_FORCE,
            f'version {version} is not in force after {command.wait_s} s on: '
            f'{", ".join(behind)}',
        )


def _end_refused(
    command: 'Publishing', answer: client.Answer, publish_id: str
) -> typing.NoReturn:
    if command.json:
        options.print_json(answer.body)
    elif isinstance(answer.body, dict):
        if 'findings' in answer.body:
            tables.print_findings('request', answer.body['findings'])
        stored = answer.body.get('stored')
        if stored:
            print(
                f'version {stored["version"]} was published by '
                f'{stored["operator"]} at {stored["published_at"]}; changes:'
            )
            for change in answer.body.get('changes', ()):
                print(f'  {change}')
    message = client.describe_refusal(answer)
    if answer.status == UNKNOWN_STATUS:
        message += f'\nrepeat with --publish-id {publish_id}'
    exits.fail(
        exits.ExitCode.UNREACHABLE
        if answer.status >= 500
        else exits.ExitCode.REFUSED,
        message,
    )


def _wait(
    opened: client.OperatorsClient, version: int, limit_s: float
) -> list[str]:
    """Return the entries in which a version is not in force in time."""
    end = time.monotonic() + limit_s
    while True:
        behind = list_behind(opened.fetch('/v1/versions'), version)
        if not behind or time.monotonic() >= end:
            return behind
        time.sleep(WAIT_CHECK_S)


def list_behind(versions: dict[str, typing.Any], version: int) -> list[str]:
    """Return the entries that do not serve with a version yet.

    An entry object without a VM counts only while the platform lists one.

    Args:
        versions: Answer of ``/v1/versions``.
        version: Version that is waited for.

    Examples:
        >>> run = {'entry': 'a', 'version': 3, 'state': 'live'}
        >>> answer = {'entries': [run], 'listed': ['a', 'b']}
        >>> list_behind(answer, 3), list_behind(answer, 4)
        (['b'], ['a', 'b'])
    """
    reached = {
        run['entry']
        for run in versions['entries']
        if run['version'] >= version and run['state'] != 'suspected'
    }
    lagging = {
        run['entry']
        for run in versions['entries']
        if run['version'] < version and run['state'] != 'suspected'
    }
    return sorted(lagging | (set(versions['listed']) - reached))


@attrs.define(kw_only=True)
class Publishing(options.Connection):
    """Options of commands that publish.

    Attributes:
        wait: Whether to wait until the version is in force everywhere.
        wait_s: Longest time to wait.
        operator: Name that the history shows.
        publish_id: Identifier of an earlier try whose outcome is unknown.
        base: Version that is to be replaced.
    """

    wait: typing.Annotated[
        bool,
        cappa.Arg(long=True, help='Wait until in force on every entry.'),
    ] = False
    wait_s: typing.Annotated[
        float, cappa.Arg(long=True, help='Longest time to wait, in seconds.')
    ] = 10.0
    operator: typing.Annotated[
        str | None,
        cappa.Arg(long=True, help='Name for the history; else the login.'),
    ] = None
    publish_id: typing.Annotated[
        str | None,
        cappa.Arg(
            long=True,
            help='Identifier of an earlier try whose outcome is unknown.',
        ),
    ] = None
    base: typing.Annotated[
        int | None,
        cappa.Arg(long=True, help='Version that is to be replaced.'),
    ] = None


@cappa.command(
    name='publish',
    invoke=publish,
    help='Publish a file.',
    description='Example: bulrushctl publish configuration.json --wait '
    '--note "more slots"',
)
@attrs.define(kw_only=True)
class Publish(Publishing):
    """Arguments of ``publish``.

    Attributes:
        file: Path of the file.
        note: Why it is published.
    """

    file: files.FileArgument
    note: typing.Annotated[
        str | None, cappa.Arg(long=True, help='Why, for the history.')
    ] = None


@cappa.command(
    name='rollback',
    invoke=roll_back,
    help='Publish the content of an earlier version as a new version.',
    description='Example: bulrushctl rollback 41 --wait',
)
@attrs.define(kw_only=True)
class Rollback(Publishing):
    """Arguments of ``rollback``.

    Attributes:
        version: The earlier version.
    """

    version: typing.Annotated[int, cappa.Arg(help='The earlier version.')]
