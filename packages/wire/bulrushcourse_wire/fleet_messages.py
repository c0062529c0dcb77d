"""Encoding of the reports between VMs of a fleet, as msgpack maps."""

import typing
import zlib

import attrs
import msgpack

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.upstreams import upstream as upstreams

# Fractions are encoded as whole hundredths, which take a third of the bytes of
# floating-point numbers.
FIXED_POINT_SCALE = 100
# Bounds the memory that a configuration of another VM takes when decompressed.
MAX_CONFIGURATION_BYTES = 16 << 20


class MalformedReport(ValueError):
    """A report cannot be decoded."""


@attrs.frozen
class Report:
    """Report that a VM sends to another several times a second.

    Attributes:
        vm: The sender, ``None`` in later reports of the same stream.
        phase: Phase of the sender.
        configuration_version: Version of the active configuration.
        in_flight: The sender's number of requests in flight, by upstream.
        slowness: Slowness and its age in seconds, by upstream.
        demand: Work that arrives at the sender, in slots by service.
        losses: Fingerprints of requests during which an upstream was lost,
            each with the upstream.
        operators_version: Store version that ``evacuated`` was read at.
        evacuated: Failure domains that must receive no requests.
        directory_delta: Changes of the upstream directory, ``None`` if there
            are none.
        vms: VMs known to the sender, for a receiver that knows fewer.
        vms_known: Number of VMs known to the sender.
        configuration: Compressed configuration, for a receiver with an older
            one.
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
    """Return the encoded report.

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
            upstream: (
                round(value * FIXED_POINT_SCALE),
                round(age_s * FIXED_POINT_SCALE),
            )
            for upstream, (value, age_s) in report.slowness.items()
        },
        'd': {
            s: round(n * FIXED_POINT_SCALE) for s, n in report.demand.items()
        },
        'l': report.losses,
        'e': report.evacuated,
        'k': report.vms_known,
        'm': [attrs.astuple(vm) for vm in report.vms],
        'b': report.configuration,
    }
    if report.directory_delta is not None:
        fields['n'] = _encode_delta(report.directory_delta)
    return msgpack.packb({key: v for key, v in fields.items() if v})


def decode(content: bytes) -> Report:
    """Return the report in a byte string.

    Args:
        content: The encoded report.

    Raises:
        MalformedReport: If it cannot be decoded.
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
                upstream: (value / FIXED_POINT_SCALE, age / FIXED_POINT_SCALE)
                for upstream, (value, age) in fields.get('s', {}).items()
            },
            demand={
                s: n / FIXED_POINT_SCALE
                for s, n in fields.get('d', {}).items()
            },
            losses=[(f, u) for f, u in fields.get('l', [])],
            operators_version=fields.get('o', 0),
            evacuated=fields.get('e', []),
            directory_delta=_decode_delta(delta) if delta else None,
            vms=[fleet.Vm(*vm) for vm in fields.get('m', [])],
            vms_known=fields.get('k', 0),
            configuration=fields.get('b', b''),
        )
    except Exception as error:
        # msgpack raises many unrelated types on bad input.
        raise MalformedReport(repr(error)) from error


def pack_content(content: bytes) -> bytes:
    """Compress a configuration for a report.

    A configuration of 1,400 routes is sent to each VM that is behind, and
    its text is repetitive.

    Args:
        content: The configuration.

    Examples:
        >>> len(pack_content(b'route' * 1000)) < 50
        True
    """
    return zlib.compress(content)


def unpack_content(packed: bytes) -> bytes:
    """Return the decompressed configuration of a report.

    Args:
        packed: The compressed configuration.

    Raises:
        MalformedReport: If it is damaged or too long.

    Examples:
        >>> unpack_content(pack_content(b'routes'))
        b'routes'
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(packed, MAX_CONFIGURATION_BYTES)
    except zlib.error as error:
        raise MalformedReport(repr(error)) from error
    if not decompressor.eof:
        raise MalformedReport('the configuration is truncated or too long')
    return content


def _encode_delta(delta: upstreams.DirectoryDelta) -> list[typing.Any]:
    changed = [attrs.astuple(entry) for entry in delta.changed]
    age_ms = int(delta.age_s * 1000)
    return [delta.base, delta.version, changed, list(delta.gone), age_ms]


def _decode_delta(fields: list[typing.Any]) -> upstreams.DirectoryDelta:
    base, version, changed, removed, age_ms = fields
    return upstreams.DirectoryDelta(
        base,
        version,
        tuple(upstreams.Upstream(*entry) for entry in changed),
        tuple(removed),
        age_ms / 1000,
    )
