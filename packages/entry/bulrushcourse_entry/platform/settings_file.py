"""Decoding of the settings file that the platform writes for a process."""

import pathlib
import tomllib
import typing

import attrs
from returns import result

from bulrushcourse_domain import findings
from bulrushcourse_domain import ranges
from bulrushcourse_domain.accounts import key_permission
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.platform import units

PATH_VARIABLE = 'BULRUSHCOURSE_CONFIG'

_MAX_MEMORY_MB = 1 << 30
_MAX_DESCRIPTORS = 1 << 30


def _flag(value: typing.Any) -> bool:
    if not isinstance(value, bool):
        raise units.MalformedValue(f'{value!r:.50} is not true or false')
    return value


def _revoke_s(value: typing.Any) -> float:
    seconds = units.capped_duration_s(value)
    if seconds <= key_permission.MARGIN_S:
        raise units.MalformedValue(
            f'{value!r:.50} is not more than {key_permission.MARGIN_S:g}s'
        )
    return seconds


# Fields of the bounds table: the platform's name, this project's name and the
# conversion.
_BOUNDS: typing.Mapping[str, tuple[str, typing.Callable]] = {
    'contact': ('reconnect_s', units.capped_duration_s),
    'drain': ('drain_s', units.capped_duration_s),
    'config_apply': ('apply_s', units.capped_duration_s),
    'grace': ('stop_limit_s', units.capped_duration_s),
    'addr_reuse': ('address_reuse_s', units.capped_duration_s),
    'ttl_max': ('answer_max_age_s', units.capped_duration_s),
    'retry_budget_ratio': ('retry_ratio', float),
    'budget_window': ('retry_window_s', units.capped_duration_s),
    'retry_budget_extra': ('retry_extra', float),
    'warmup_excess': ('warmup_excess', float),
    'warmup_margin': ('warmup_margin', float),
    'max_shift': ('shift_share', float),
    'strict_revoke': ('strict_revoke', _flag),
    'revoke': ('revoke_s', _revoke_s),
    'quota_window': ('quota_window_s', units.capped_duration_s),
    'quota_excess': ('quota_excess', float),
    'quota_margin': ('quota_margin', float),
}


@attrs.define
class _FieldReader:
    """Reads fields and collects findings on missing and malformed ones."""

    collected: list[findings.Finding] = attrs.field(factory=list)

    def read(
        self,
        table: typing.Any,
        place: str,
        convert: typing.Callable[[typing.Any], typing.Any],
        default: typing.Any = None,
    ) -> typing.Any:
        name = place.rpartition('.')[2]
        if not isinstance(table, dict) or name not in table:
            if default is None:
                self._report(place, 'missing', 'is missing')
            return default
        try:
            return convert(table[name])
        except (ValueError, TypeError) as error:
            self._report(place, 'malformed', str(error))
            return default

    def _report(self, place: str, code: str, message: str) -> None:
        self.collected.append(findings.Finding(place, code, message))


def load(
    path: str,
) -> result.Result[edge_settings.EdgeSettings, tuple[findings.Finding, ...]]:
    """Read and check the settings of a process.

    Args:
        path: Path of the file.
    """
    try:
        document = tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as error:
        return result.Failure(
            (findings.Finding(path, 'unreadable', str(error)),)
        )
    return decode(document)


def decode(
    document: dict[str, typing.Any],
) -> result.Result[edge_settings.EdgeSettings, tuple[findings.Finding, ...]]:
    """Check a parsed settings file and convert it to this project's types.

    All findings are returned, not only the first one.

    Args:
        document: The parsed file; unknown fields are ignored.
    """
    reader = _FieldReader()
    identity = document.get('self', {})
    network = document.get('network', {})
    listen = network.get('listen', {})
    platform = document.get('platform', {})
    store = platform.get('platform', {})

    def address(value: typing.Any) -> str:
        return units.address(value, 'address')

    def text(value: typing.Any) -> str:
        return units.non_empty_string(value, 'text')

    read = reader.read
    fields = {
        'vm': read(identity, 'self.node_name', text),
        'region': read(identity, 'self.region', text),
        'failure_domain': read(identity, 'self.zone', text),
        'callers': read(listen, 'network.listen.front', address),
        'readiness': read(listen, 'network.listen.ready_addr', address, ''),
        'lookups': read(listen, 'network.listen.directory', address, ''),
        'peers': read(listen, 'network.listen.control', address, ''),
        'seeds': tuple(read(network, 'network.seeds', list, [])),
        'regions': read(network, 'network.zones', dict, {}),
        'store': read(store, 'platform.platform.address', address),
        'cores': _cores(reader, identity.get('limits')),
        'memory_bytes': read(
            identity.get('limits'), 'self.limits.memory_mb', _memory_bytes, 0
        ),
        'max_descriptors': read(
            identity.get('limits'), 'self.limits.max_fds', _descriptors, 0
        ),
        'bounds': _bounds(reader, document.get('terms', {}).get('bounds', {})),
    }
    if reader.collected:
        return result.Failure(findings.sort_findings(reader.collected))
    return result.Success(edge_settings.EdgeSettings(**fields))


def _cores(reader: _FieldReader, limits: typing.Any) -> float:
    def factor(value: typing.Any) -> float:
        return units.number(value, 'factor', 0.0, ranges.MAX_CORES)

    share = reader.read(limits, 'self.limits.cpu_share', factor, 0.0)
    return share * reader.read(limits, 'self.limits.cpu_cores', factor, 1.0)


def _memory_bytes(memory_mb: typing.Any) -> int:
    return units.integer(memory_mb, 'memory_mb', 1, _MAX_MEMORY_MB) << 20


def _descriptors(max_fds: typing.Any) -> int:
    return units.integer(max_fds, 'max_fds', 1, _MAX_DESCRIPTORS)


def _bounds(
    reader: _FieldReader, table: dict[str, typing.Any]
) -> edge_settings.Bounds:
    defaults = edge_settings.Bounds()
    return edge_settings.Bounds(
        **{
            internal: reader.read(
                table,
                f'terms.bounds.{external}',
                convert,
                getattr(defaults, internal),
            )
            for external, (internal, convert) in _BOUNDS.items()
        }
    )
