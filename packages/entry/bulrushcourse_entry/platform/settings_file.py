"""The settings file that the platform writes for each process."""

import pathlib
import tomllib
import typing

import attrs
from returns import result

from bulrushcourse_domain import findings
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.platform import units

PATH_VARIABLE = 'BULRUSHCOURSE_CONFIG'

# Fields of the table of bounds and the names of this project.
_BOUNDS: typing.Mapping[str, tuple[str, typing.Callable]] = {
    'drain': ('drain_s', units.seconds),
    'grace': ('stop_limit_s', units.seconds),
    'ttl_max': ('answer_max_age_s', units.seconds),
    'retry_budget_ratio': ('retry_ratio', float),
    'budget_window': ('retry_window_s', units.seconds),
    'retry_budget_extra': ('retry_extra', float),
    'warmup_excess': ('warmup_excess', float),
    'warmup_margin': ('warmup_margin', float),
    'max_shift': ('shift_share', float),
}


@attrs.define
class _Reader:
    """Reads fields and collects what is wrong with them."""

    found: list[findings.Finding] = attrs.field(factory=list)

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
        self.found.append(findings.Finding(place, code, message))


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
    """Check the content of a settings file and return it in own types.

    Args:
        document: The parsed file; unknown fields are ignored.
    """
    reader = _Reader()
    own = document.get('self', {})
    network = document.get('network', {})
    listen = network.get('listen', {})
    platform = document.get('platform', {})
    store = platform.get('platform', {})

    def address(value: typing.Any) -> str:
        return units.address(value, 'address')

    def text(value: typing.Any) -> str:
        return units.text(value, 'text')

    read = reader.read
    fields = {
        'vm': read(own, 'self.node_name', text),
        'region': read(own, 'self.region', text),
        'failure_domain': read(own, 'self.zone', text),
        'callers': read(listen, 'network.listen.front', address),
        'readiness': read(listen, 'network.listen.ready_addr', address, ''),
        'lookups': read(listen, 'network.listen.directory', address, ''),
        'peers': read(listen, 'network.listen.control', address, ''),
        'seeds': tuple(read(network, 'network.seeds', list, [])),
        'regions': read(network, 'network.zones', dict, {}),
        'store': read(store, 'platform.platform.address', address),
        'bounds': _bounds(reader, document.get('terms', {}).get('bounds', {})),
    }
    if reader.found:
        return result.Failure(findings.sort_findings(reader.found))
    return result.Success(edge_settings.EdgeSettings(**fields))


def _bounds(
    reader: _Reader, table: dict[str, typing.Any]
) -> edge_settings.Bounds:
    defaults = edge_settings.Bounds()
    return edge_settings.Bounds(
        **{
            own: reader.read(
                table,
                f'terms.bounds.{theirs}',
                convert,
                getattr(defaults, own),
            )
            for theirs, (own, convert) in _BOUNDS.items()
        }
    )
