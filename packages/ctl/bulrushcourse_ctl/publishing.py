"""Commands that publish a configuration or roll it back."""

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

# A publish whose response was lost is repeated with the same publish id, by
# which the entry recognises it.
MAX_ATTEMPTS = 3
RETRY_DELAY_S = 1.0
WAIT_POLL_S = 0.2
UNKNOWN_OUTCOME_STATUS = 504


def publish(command: 'Publish') -> None:
    """Publish the configuration in a file.

    Args:
        command: Parsed arguments.
    """
    loaded = files.load_valid(command.file, command.json)
    base = loaded.base_version if command.base is None else command.base
    if base is None:
        exits.fail(
            exits.ExitCode.BAD_INPUT,
            f'{command.file} does not state its version: use --base, or edit '
            'the output of "bulrushctl show"',
        )
    body = {
        'base_version': base,
        'objects': documents.unstructure(loaded.objects),
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
    """Send a publish, retry while its outcome is unknown, and report it.

    With ``--wait`` it also waits until the version is active on every entry.

    Args:
        command: Options of the publish.
        path: Path of the request.
        body: Request body without publish id and operator.
    """
    publish_id = command.publish_id or uuid.uuid4().hex
    body |= {
        'publish_id': publish_id,
        'operator': command.operator or getpass.getuser(),
    }
    entry_client = command.open()
    response = entry_client.request('POST', path, body)
    for _ in range(MAX_ATTEMPTS - 1):
        if response.status != UNKNOWN_OUTCOME_STATUS:
            break
        time.sleep(RETRY_DELAY_S)
        response = entry_client.request('POST', path, body)
    if not response.is_success:
        _exit_with_error(command, response, publish_id)
    version = response.body['version']
    lagging = (
        _wait_until_active(entry_client, version, command.wait_s)
        if command.wait
        else None
    )
    if command.json:
        options.print_json(response.body | {'behind': lagging})
    else:
        print(f'published version {version} (publish id {publish_id})')
        if lagging == []:
            print(f'version {version} is in force on every entry')
    if lagging:
        exits.fail(
            exits.ExitCode.NOT_ACTIVE,
            f'version {version} is not in force after {command.wait_s} s on: '
            f'{", ".join(lagging)}',
        )


def _exit_with_error(
    command: 'Publishing', response: client.Response, publish_id: str
) -> typing.NoReturn:
    if command.json:
        options.print_json(response.body)
    elif isinstance(response.body, dict):
        if 'findings' in response.body:
            tables.print_findings('request', response.body['findings'])
        stored = response.body.get('stored')
        if stored:
            print(
                f'version {stored["version"]} was published by '
                f'{stored["operator"]} at {stored["published_at"]}; changes:'
            )
            for change in response.body.get('changes', ()):
                print(f'  {change}')
    message = client.describe_error(response)
    if response.status == UNKNOWN_OUTCOME_STATUS:
        message += f'\nretry with --publish-id {publish_id}'
    exits.fail(
        exits.ExitCode.UNREACHABLE
        if response.status >= 500
        else exits.ExitCode.REFUSED,
        message,
    )


def _wait_until_active(
    entry_client: client.OperatorsClient, version: int, timeout_s: float
) -> list[str]:
    """Return the entries on which a version is still not active in time."""
    deadline = time.monotonic() + timeout_s
    while True:
        lagging = list_lagging(entry_client.fetch('/v1/versions'), version)
        if not lagging or time.monotonic() >= deadline:
            return lagging
        time.sleep(WAIT_POLL_S)


def list_lagging(versions: dict[str, typing.Any], version: int) -> list[str]:
    """Return the entries on which a version is not active yet.

    A configured entry without a known VM counts only while the platform lists
    a VM for it.

    Args:
        versions: Response body of ``/v1/versions``.
        version: Expected version.

    Examples:
        >>> vm = {'entry': 'a', 'version': 3, 'state': 'live'}
        >>> body = {'entries': [vm], 'listed': ['a', 'b']}
        >>> list_lagging(body, 3), list_lagging(body, 4)
        (['b'], ['a', 'b'])
    """
    reached = {
        vm['entry']
        for vm in versions['entries']
        if vm['version'] >= version and vm['state'] != 'suspected'
    }
    lagging = {
        vm['entry']
        for vm in versions['entries']
        if vm['version'] < version and vm['state'] != 'suspected'
    }
    return sorted(lagging | (set(versions['listed']) - reached))


@attrs.define(kw_only=True)
class Publishing(options.Connection):
    """Options shared by commands that publish.

    Attributes:
        wait: Whether to wait until the version is active on every entry.
        wait_s: Time limit of the wait, in seconds.
        operator: Name to record in the history.
        publish_id: Identifier of an earlier attempt whose outcome is unknown.
        base: Version that the publish replaces.
    """

    wait: typing.Annotated[
        bool,
        cappa.Arg(long=True, help='Wait until in force on every entry.'),
    ] = False
    wait_s: typing.Annotated[
        float, cappa.Arg(long=True, help='Time limit of --wait, in seconds.')
    ] = 10.0
    operator: typing.Annotated[
        str | None,
        cappa.Arg(
            long=True, help='Name for the history; default: login name.'
        ),
    ] = None
    publish_id: typing.Annotated[
        str | None,
        cappa.Arg(
            long=True,
            help='Publish id of an earlier attempt whose outcome is unknown.',
        ),
    ] = None
    base: typing.Annotated[
        int | None,
        cappa.Arg(long=True, help='Version that the new one replaces.'),
    ] = None


@cappa.command(
    name='publish',
    invoke=publish,
    help='Publish the configuration in a file.',
    description='Example: bulrushctl publish configuration.json --wait '
    '--note "more slots"',
)
@attrs.define(kw_only=True)
class Publish(Publishing):
    """Arguments of ``publish``.

    Attributes:
        file: Path of the file.
        note: Reason for the change, recorded in the history.
    """

    file: files.FileArgument
    note: typing.Annotated[
        str | None, cappa.Arg(long=True, help='Reason, for the history.')
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
        version: Version whose content is published.
    """

    version: typing.Annotated[int, cappa.Arg(help='Version to return to.')]
