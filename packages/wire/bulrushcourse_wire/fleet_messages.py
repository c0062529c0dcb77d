"""Reports that the VMs of a fleet send each other, as msgpack maps."""

import typing
import zlib

import attrs
import msgpack

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.upstreams import upstream as upstreams

# Fractions travel as whole numbers of hundredths, which take a third of the
# bytes of floating-point numbers.
PARTS = 100
# Longest configuration that is taken from another VM.
MOST_CONTENT_BYTES = 16 << 20


class MalformedReport(ValueError):
    """A report cannot be read."""


@attrs.frozen
class Report:
    """What one VM tells another several times a second.

    Attributes:
        vm: The sender, ``None`` in later reports of the same stream.
        phase: What it says of itself.
        configuration_version: Version of the configuration in force.
        in_flight: Its requests in flight, by upstream.
        slowness: Slowness of upstreams and the age in seconds.
        demand: Work that arrives at it, in slots by service.
        losses: Fingerprints of requests that lost an upstream, with it.
        operators_version: Version of the store behind ``evacuated``.
        evacuated: Failure domains that must get nothing.
        directory_delta: Changes of the upstreams' entries, ``None`` without
            any.
        vms: VMs that it knows, for a receiver that knows fewer.
        vms_known: Number of VMs that it knows.
        configuration: Packed content of the configuration, for a receiver
            that has an older one.
    """

    vm: fleet.Vm | None
    phase: fleet.Phase
    configuration_version: int = 0
    in_flight: dict[str, int] = attrs.field(factory=dict)
    slowness: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    demand: dict[str, float] = attrs.field(factory=dict)
    losses: list[tuple[str, str]] = attrs.field(factory=list)
    operators_version: int = 0
    evacuated: list[str] = attrs.field(factory=list)
    directory_delta: upstreams.DirectoryDelta | None = None
    vms: list[fleet.Vm] = attrs.field(factory=list)
    vms_known: int = 0
    configuration: bytes = b''


def encode(report: Report) -> bytes:
    """Return a report as bytes.

    Args:
        report: The report.
    """
    fields = {
        'v': attrs.astuple(report.vm) if report.vm else None,
        'p': report.phase.value,
        'c': report.configuration_version,
        'o': report.operators_version,
        'f': report.in_flight,
        's': {
            upstream: (round(value * PARTS), round(age_s * PARTS))
            for upstream, (value, age_s) in report.slowness.items()
        },
        'd': {s: round(n * PARTS) for s, n in report.demand.items()},
        'l': report.losses,
        'e': report.evacuated,
        'k': report.vms_known,
        'm': [attrs.astuple(vm) for vm in report.vms],
        'b': report.configuration,
    }
    if report.directory_delta is not None:
        fields['n'] = _pack_delta(report.directory_delta)
    return msgpack.packb({key: v for key, v in fields.items() if v})


def decode(content: bytes) -> Report:
    """Return the report that bytes hold.

    Args:
        content: The bytes.

    Raises:
        MalformedReport: If they hold none.
    """
    try:
        fields = msgpack.unpackb(content)
        delta = fields.get('n')
        return Report(
            vm=fleet.Vm(*fields['v']) if 'v' in fields else None,
            phase=fleet.Phase(fields['p']),
            configuration_version=fields.get('c', 0),
            in_flight=fields.get('f', {}),
            slowness={
                upstream: (value / PARTS, age / PARTS)
                for upstream, (value, age) in fields.get('s', {}).items()
            },
            demand={s: n / PARTS for s, n in fields.get('d', {}).items()},
            losses=[(f, u) for f, u in fields.get('l', [])],
            operators_version=fields.get('o', 0),
            evacuated=fields.get('e', []),
            directory_delta=_unpack_delta(delta) if delta else None,
            vms=[fleet.Vm(*vm) for vm in fields.get('m', [])],
            vms_known=fields.get('k', 0),
            configuration=fields.get('b', b''),
        )
    except Exception as error:
        # msgpack raises many unrelated types on bad input.
        raise MalformedReport(repr(error)) from error


def pack_content(content: bytes) -> bytes:
    """Return a configuration as reports carry it.

    A configuration of 1,400 routes is sent to each VM that is behind, and
    its text repeats itself.

    Args:
        content: The configuration.

    Examples:
        >>> len(pack_content(b'route' * 1000)) < 50
        True
    """
    return zlib.compress(content)


def unpack_content(packed: bytes) -> bytes:
    """Return the configuration that a report carries.

    Args:
        packed: What the report carries.

    Raises:
        MalformedReport: If it is damaged or too long.

    Examples:
        >>> unpack_content(pack_content(b'routes'))
        b'routes'
    """
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(packed, MOST_CONTENT_BYTES)
    except zlib.error as error:
        raise MalformedReport(repr(error)) from error
    if not unpacker.eof:
        raise MalformedReport('the configuration is cut off or too long')
    return content


def _pack_delta(delta: upstreams.DirectoryDelta) -> list[typing.Any]:
    changed = [attrs.astuple(entry) for entry in delta.changed]
    age_ms = int(delta.age_s * 1000)
    return [delta.base, delta.version, changed, list(delta.gone), age_ms]


def _unpack_delta(fields: list[typing.Any]) -> upstreams.DirectoryDelta:
    base, version, changed, gone, age_ms = fields
    return upstreams.DirectoryDelta(
        base,
        version,
        tuple(upstreams.Upstream(*entry) for entry in changed),
        tuple(gone),
        age_ms / 1000,
    )
