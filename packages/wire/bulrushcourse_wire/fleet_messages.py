"""Encoding of the reports between VMs of a fleet, as msgpack maps."""

import typing

import attrs
import msgpack

from bulrushcourse_domain import ranges
from bulrushcourse_domain.accounts import key_permission
from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.fleet import links
from bulrushcourse_domain.store import position as positions
from bulrushcourse_domain.upstreams import newer_states
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_domain.waiting import pressure as pressures
from bulrushcourse_wire import directory_deltas
from bulrushcourse_wire import era_messages
from bulrushcourse_wire import evidence_messages
from bulrushcourse_wire import fields as checks
from bulrushcourse_wire import packing
from bulrushcourse_wire import pressure_counts
from bulrushcourse_wire import row_stamps

# Fractions are encoded as whole hundredths, which take a third of the bytes of
# floating-point numbers.
FIXED_POINT_SCALE = 100
# Ages of heartbeats are encoded as tenths of a second in one byte each.
AGE_SCALE = 10
MILLISECONDS = 1000
MAX_AGE_S = 25.0
MAX_VMS = 10_000
MAX_SERVICES = 10_000
MAX_REGIONS = 1_000
MAX_FACTS = 10_000
# Empty lists and maps take a byte each and 64 bytes in memory. In a report,
# lists and maps have over four bytes on average.
MIN_CONTAINER_BYTES = 4
# A short report may have more of them.
MIN_CONTAINERS = 100
_MAX_SHORT_ID = (1 << 32) - 1
_MAX_COUNT = (1 << 31) - 1
_PHASES = tuple(fleet.Phase)
_PHASE_POSITIONS = {phase: n for n, phase in enumerate(_PHASES)}
_RELATIONS = {relation.value: relation for relation in links.Relation}


class MalformedReport(ValueError):
    """A report cannot be decoded."""


@attrs.frozen
class Scope:
    """Work of one VM, or the sum over several.

    Attributes:
        source: Name of the VM or of the group.
        in_flight: Requests in flight, by short identifier of the upstream.
        demand: Work that arrives, in slots by region and service.
        pressure: Recent requests and those of them that found no room, by
            service and priority.
    """

    source: str
    in_flight: typing.Mapping[int, int] = attrs.field(factory=dict)
    demand: typing.Mapping[str, typing.Mapping[str, float]] = attrs.field(
        factory=dict
    )
    pressure: pressures.Counts = attrs.field(factory=dict)


@attrs.frozen
class Heartbeats:
    """Last heartbeats of the VMs of a roster, in its order.

    Attributes:
        ages: Time since each heartbeat in tenths of a second, at most
            ``MAX_AGE_S``.
        phases: Position of each VM's phase among all phases.
    """

    ages: bytes = b''
    phases: bytes = b''

    def ages_s(self) -> typing.Iterator[float]:
        """Return the time since each heartbeat in seconds."""
        return (age / AGE_SCALE for age in self.ages)

    def phase_values(self) -> typing.Iterator[fleet.Phase]:
        """Return the phase of each VM."""
        return (_PHASES[position] for position in self.phases)


def encode_heartbeats(
    heartbeats: typing.Iterable[tuple[float, fleet.Phase]],
) -> Heartbeats:
    """Return heartbeats in their compact form.

    Args:
        heartbeats: Time since each heartbeat in seconds, and its phase.

    Examples:
        >>> list(encode_heartbeats([(1.5, fleet.Phase.READY)]).ages)
        [15]
    """
    ages, phases = bytearray(), bytearray()
    for age_s, phase in heartbeats:
        ages.append(_encode_age(age_s))
        phases.append(_PHASE_POSITIONS[phase])
    return Heartbeats(bytes(ages), bytes(phases))


@attrs.frozen
class Report:
    """Report that a VM sends to another several times a second.

    Attributes:
        vm: The sender, ``None`` in later reports of the same stream.
        relation: What the receiver is to the sender.
        phase: Phase of the sender.
        configuration_version: Version of the active configuration.
        store_era: What the sender knows of the era of the store.
        directory_position: Exact position of the sender's directory.
        directory_age_s: Time since its latest position was read.
        scopes: Work of the sender and of the VMs that it relays for.
        slowness: Slowness and its age in seconds, by short identifier of the
            upstream.
        roster: Name and incarnation of the VMs whose heartbeats follow,
            ``None`` if they are those of the report before it.
        heartbeats: Heartbeats of the roster.
        evidence: Evidence about crash-inducing requests, with its age in
            seconds.
        leaving: Incarnations of upstreams that said that they are leaving.
        operators_position: Position that ``evacuated`` was read at.
        evacuated: Failure domains that must receive no requests, by their
            rows at that position.
        evacuations_held: Those without a row that the store may have lost.
        directory_delta: Changes of the upstream directory, ``None`` if there
            are none.
        upstream_states: States because of which the sender holds rows back.
        vms: VMs that are new to the sender, and all of them for a receiver
            that knows fewer.
        vms_known: Number of VMs known to the sender.
        configuration: Compressed configuration, for a receiver with an older
            one.
        key_proof: Proof that a configuration is the newest one, ``None``
            if the receiver has it or keys need none.
    """

    vm: fleet.Vm | None
    relation: links.Relation
    phase: fleet.Phase
    configuration_version: int = 0
    store_era: era_messages.KnownEra = era_messages.KnownEra()
    directory_position: positions.Position = positions.START
    directory_age_s: float = MAX_AGE_S
    scopes: tuple[Scope, ...] = ()
    slowness: typing.Mapping[int, tuple[float, float]] = attrs.field(
        factory=dict
    )
    roster: tuple[tuple[str, int], ...] | None = None
    heartbeats: Heartbeats = Heartbeats()
    evidence: tuple[evidence_messages.AgedEvidence, ...] = ()
    leaving: tuple[str, ...] = ()
    operators_position: positions.Position = positions.START
    evacuated: tuple[str, ...] = ()
    evacuations_held: tuple[str, ...] = ()
    directory_delta: upstreams.DirectoryDelta | None = None
    upstream_states: tuple[newer_states.NewerState, ...] = ()
    vms: tuple[fleet.Vm, ...] = ()
    vms_known: int = 0
    configuration: bytes = b''
    key_proof: key_permission.Proof | None = None


def encode(report: Report) -> bytes:
    """Return the encoded report.

    Args:
        report: The report.
    """
    content = {
        'v': attrs.astuple(report.vm) if report.vm else None,
        'r': report.relation.value,
        'p': report.phase.value,
        'c': report.configuration_version,
        'u': report.directory_position.version,
        't': _encode_age(report.directory_age_s),
        'o': report.operators_position.version,
        'f': [_encode_scope(scope) for scope in report.scopes],
        's': {
            upstream: (
                round(value * FIXED_POINT_SCALE),
                round(age_s * FIXED_POINT_SCALE),
            )
            for upstream, (value, age_s) in report.slowness.items()
        },
        'a': report.heartbeats.ages,
        'h': report.heartbeats.phases,
        **evidence_messages.encode(report.evidence),
        'x': report.leaving,
        'e': report.evacuated,
        'k': report.vms_known,
        'm': [attrs.astuple(vm) for vm in report.vms],
        'b': report.configuration,
        # VMs of versions without this field ignore it.
        'z': pressure_counts.encode(
            {s.source: s.pressure for s in report.scopes}
        ),
        **_encode_eras(report),
        # VMs of versions without this field ignore it.
        'ns': row_stamps.encode_states(report.upstream_states),
    }
    content = {key: value for key, value in content.items() if value}
    if report.key_proof is not None:
        # VMs of versions without this field ignore it.
        content['i'] = _encode_proof(report.key_proof)
    if report.roster is not None:
        content['w'] = report.roster
    if report.directory_delta is not None:
        content.update(directory_deltas.encode(report.directory_delta))
    return msgpack.packb(content)


def _encode_eras(report: Report) -> dict[str, typing.Any]:
    """Return fields that VMs of versions without them ignore."""
    return {
        'se': era_messages.encode_era(report.store_era),
        'ue': report.directory_position.era,
        'oe': report.operators_position.era,
        'eh': report.evacuations_held,
    }


def _encode_age(seconds: float) -> int:
    return round(min(MAX_AGE_S, max(0.0, seconds)) * AGE_SCALE)


def _encode_proof(proof: key_permission.Proof) -> tuple[int, int]:
    return proof.version, round(proof.store_s * MILLISECONDS)


def _decode_proof(value: typing.Any) -> key_permission.Proof:
    version, milliseconds = checks.items(value, 2)
    return key_permission.Proof(
        checks.integer(milliseconds) / MILLISECONDS, checks.integer(version)
    )


def _encode_scope(scope: Scope) -> tuple[typing.Any, ...]:
    demand = {
        region: {
            service: round(slots * FIXED_POINT_SCALE)
            for service, slots in services.items()
        }
        for region, services in scope.demand.items()
    }
    return scope.source, scope.in_flight, demand


def decode(content: bytes) -> Report:
    """Return the report in a byte string.

    Args:
        content: The encoded report.

    Raises:
        MalformedReport: If it cannot be decoded, or a field has another type
            or is out of range.
    """
    try:
        count = checks.ContainerCount(
            MIN_CONTAINERS + len(content) // MIN_CONTAINER_BYTES
        )
        fields = msgpack.unpackb(
            content,
            strict_map_key=False,
            list_hook=count.add,
            object_hook=count.add,
        )
        return _decode_fields(checks.mapping(fields, len(fields)))
    except Exception as error:
        # msgpack raises many unrelated types on bad input.
        raise MalformedReport(f'{error!r:.200}') from error


def _decode_fields(fields: dict[str, typing.Any]) -> Report:
    get = fields.get
    pressure = pressure_counts.decode(get('z', {}))
    return Report(
        vm=_decode_vm(fields['v']) if 'v' in fields else None,
        relation=_RELATIONS[fields['r']],
        phase=fleet.Phase(fields['p']),
        configuration_version=checks.integer(get('c', 0)),
        store_era=era_messages.decode_era(get('se', [])),
        directory_position=era_messages.decode_position(
            get('ue', 0), get('u', 0)
        ),
        directory_age_s=checks.integer(get('t', 0)) / AGE_SCALE,
        scopes=tuple(
            _decode_scope(*checks.items(scope, 3), pressure)
            for scope in checks.items(get('f', []), MAX_VMS)
        ),
        slowness={
            checks.integer(upstream, _MAX_SHORT_ID): (
                _fraction(value),
                _fraction(age),
            )
            for upstream, (value, age) in checks.mapping(
                get('s', {}), directory_deltas.MAX_UPSTREAMS
            ).items()
        },
        roster=_decode_roster(fields['w']) if 'w' in fields else None,
        heartbeats=_decode_heartbeats(get('a', b''), get('h', b'')),
        evidence=evidence_messages.decode(
            checks.items(get('l', []), MAX_FACTS), get('d')
        ),
        leaving=_texts(get('x', []), MAX_FACTS),
        operators_position=era_messages.decode_position(
            get('oe', 0), get('o', 0)
        ),
        evacuated=_texts(get('e', []), MAX_REGIONS),
        evacuations_held=_texts(get('eh', []), MAX_REGIONS),
        directory_delta=directory_deltas.decode(fields),
        upstream_states=row_stamps.decode_states(get('ns', [])),
        vms=tuple(
            _decode_vm(vm) for vm in checks.items(get('m', []), MAX_VMS)
        ),
        vms_known=checks.integer(get('k', 0)),
        configuration=checks.content(
            get('b', b''), packing.MAX_CONFIGURATION_BYTES
        ),
        key_proof=_decode_proof(fields['i']) if 'i' in fields else None,
    )


def _decode_heartbeats(ages: typing.Any, phases: typing.Any) -> Heartbeats:
    if max(checks.content(phases, MAX_VMS), default=0) >= len(_PHASES):
        raise checks.MalformedField('phase out of range')
    return Heartbeats(checks.content(ages, MAX_VMS), phases)


def _fraction(value: typing.Any) -> float:
    return checks.integer(value) / FIXED_POINT_SCALE


def _texts(value: typing.Any, maximum: int) -> tuple[str, ...]:
    return tuple(checks.text(item) for item in checks.items(value, maximum))


def _decode_scope(
    source: typing.Any,
    in_flight: typing.Any,
    demand: typing.Any,
    pressure: typing.Mapping[str, pressures.Counts],
) -> Scope:
    return Scope(
        checks.text(source),
        {
            checks.integer(upstream, _MAX_SHORT_ID): checks.integer(
                count, _MAX_COUNT
            )
            for upstream, count in checks.mapping(
                in_flight, directory_deltas.MAX_UPSTREAMS
            ).items()
        },
        {
            checks.text(region): {
                checks.text(service): _fraction(slots)
                for service, slots in checks.mapping(
                    services, MAX_SERVICES
                ).items()
            }
            for region, services in checks.mapping(demand, MAX_REGIONS).items()
        },
        pressure.get(source, {}),
    )


def _decode_roster(value: typing.Any) -> tuple[tuple[str, int], ...]:
    return tuple(
        (checks.text(name), checks.integer(incarnation))
        for name, incarnation in checks.items(value, MAX_VMS)
    )


def _decode_vm(value: typing.Any) -> fleet.Vm:
    name, incarnation, peers, callers, region, domain, cores = value
    if type(cores) not in (int, float) or not 0 <= cores <= ranges.MAX_CORES:
        raise checks.MalformedField('cores out of range')
    return fleet.Vm(
        checks.text(name),
        checks.integer(incarnation),
        checks.address(peers),
        checks.address(callers),
        checks.text(region),
        checks.text(domain),
        cores,
    )
