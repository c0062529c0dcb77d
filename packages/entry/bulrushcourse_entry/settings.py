"""Settings of an entry: loading from a JSON file and validation."""

import pathlib
import typing

import attrs
from returns import result

from bulrushcourse_domain import findings
from bulrushcourse_wire import documents


@attrs.frozen
class Listen:
    """Addresses that an entry listens on, each ``ip:port``.

    Attributes:
        callers: HTTP listener for callers.
        operators: HTTP listener for operators.
        peers: Listener for streams of other entries.
    """

    callers: str
    operators: str
    peers: str


@attrs.frozen
class Platform:
    """Base URLs of the platform's services.

    Attributes:
        table: Table service.
        objects: Object store.
        vms: List of VMs.
    """

    table: str
    objects: str
    vms: str


@attrs.frozen
class Settings:
    """Settings of one entry process.

    Attributes:
        entry: Name of the configured entry that the process runs as.
        vm_id: The platform's identifier of this VM.
        region: Region of this VM.
        failure_domain: Failure domain of this VM.
        listen: Addresses to listen on.
        platform: The platform's services.
        peers: Peer addresses ``ip:port`` by entry name, used until the VM
            list is known.
        peer_secret_file: File with the secret that entries share.
        operator_token_file: File with the operators' bearer token.
        statsd: ``ip:port`` of the statsd server; empty for none.
        answer_max_age_s: Time for which callers may cache a look-up answer.
        stop_limit_s: Maximum duration of a graceful shutdown.
        log_level: ``debug``, ``info``, ``warning`` or ``error``.
    """

    entry: str
    vm_id: str
    region: str
    failure_domain: str
    listen: Listen
    platform: Platform
    peer_secret_file: str
    operator_token_file: str
    peers: dict[str, str] = attrs.field(factory=dict)
    statsd: str = ''
    answer_max_age_s: int = 5
    stop_limit_s: int = 60
    log_level: str = 'info'


_LOG_LEVELS = ('debug', 'info', 'warning', 'error')


def load_settings(
    path: str,
) -> result.Result[Settings, tuple[findings.Finding, ...]]:
    """Return the settings in a file, or all findings against it.

    Args:
        path: Path of the JSON file.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError):
        return result.Failure(
            (
                findings.Finding(
                    path,
                    'unreadable',
                    'cannot be read',
                    'a readable JSON file in UTF-8',
                ),
            )
        )
    return documents.parse_document(text, Settings).bind(check_settings)


def check_settings(
    settings: Settings,
) -> result.Result[Settings, tuple[findings.Finding, ...]]:
    """Return the settings if all rules hold, else all findings.

    Args:
        settings: Settings whose fields have the right types.
    """
    rules = (_check_addresses, _check_names, _check_secrets, _check_ranges)
    found = [finding for rule in rules for finding in rule(settings)]
    if found:
        return result.Failure(findings.sort_findings(found))
    return result.Success(settings)


def read_secret(path: str) -> bytes:
    """Return the secret in a file, empty if it cannot be read.

    Args:
        path: Path of the file; white space around the secret is dropped.
    """
    try:
        return pathlib.Path(path).read_bytes().strip()
    except OSError:
        return b''


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``.

    Args:
        address: A checked address.

    Examples:
        >>> split_address('127.0.0.1:80')
        ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(':')
    return host, int(port)


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(':')
    return bool(host) and port.isdigit() and 0 < int(port) < 65536


def _check_addresses(
    settings: Settings,
) -> typing.Iterator[findings.Finding]:
    addresses = {
        'listen.callers': settings.listen.callers,
        'listen.operators': settings.listen.operators,
        'listen.peers': settings.listen.peers,
    }
    addresses |= {
        f'peers[{name}]': address for name, address in settings.peers.items()
    }
    if settings.statsd:
        addresses['statsd'] = settings.statsd
    for place, address in addresses.items():
        if not _is_address(address):
            yield findings.Finding(
                place, 'address', f'is {address!r}', 'ip:port'
            )


def _check_names(settings: Settings) -> typing.Iterator[findings.Finding]:
    for place in ('entry', 'vm_id', 'region', 'failure_domain'):
        if not getattr(settings, place):
            yield findings.Finding(
                place, 'empty', 'is empty', 'at least one character'
            )


def _check_secrets(settings: Settings) -> typing.Iterator[findings.Finding]:
    for place in ('peer_secret_file', 'operator_token_file'):
        if not read_secret(getattr(settings, place)):
            yield findings.Finding(
                place,
                'secret',
                'cannot be read or is empty',
                'a readable file with at least one character',
            )


def _check_ranges(settings: Settings) -> typing.Iterator[findings.Finding]:
    for place in ('answer_max_age_s', 'stop_limit_s'):
        value = getattr(settings, place)
        if value <= 0:
            yield findings.Finding(
                place, 'range', f'is {value}', 'a positive number of seconds'
            )
    if settings.log_level not in _LOG_LEVELS:
        yield findings.Finding(
            'log_level',
            'choice',
            f'is {settings.log_level!r}',
            f'one of {", ".join(_LOG_LEVELS)}',
        )
