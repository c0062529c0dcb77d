"""Encoding of changes of the upstream directory in reports between VMs."""

import typing

import attrs

from bulrushcourse_domain import ranges
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_wire import era_messages
from bulrushcourse_wire import fields as checks
from bulrushcourse_wire import row_stamps

MAX_UPSTREAMS = 100_000
MAX_DIGEST = (1 << 32) - 1
# Longer times for which an upstream without a row is used are mistakes.
MAX_KEPT_MS = 60_000
# Sequence numbers travel in a field of their own, see ``row_stamps``.
_IS_SENT = attrs.filters.exclude('sequence', 'first_sequence')


def encode(delta: upstreams.DirectoryDelta) -> dict[str, typing.Any]:
    """Return the fields of a report that carry a delta.

    VMs of earlier versions know the first field, and ignore the others.

    Args:
        delta: The delta.
    """
    changed = [attrs.astuple(e, filter=_IS_SENT) for e in delta.changed]
    eras = [delta.base.era, delta.position.era]
    others = {
        'q': {name: int(s * 1000) for name, s in delta.kept.items()},
        'ne': eras if any(eras) else [],
        'nw': row_stamps.encode_numbers(delta.changed),
        'gu': delta.possibly_present,
    }
    return {
        'n': [
            delta.base.version,
            delta.position.version,
            changed,
            list(delta.gone),
            int(delta.age_s * 1000),
        ],
        'g': delta.digest,
        **{name: value for name, value in others.items() if value},
    }


def decode(
    fields: typing.Mapping[str, typing.Any],
) -> upstreams.DirectoryDelta | None:
    """Return the delta in the fields of a report, ``None`` without one.

    Args:
        fields: The fields.

    Raises:
        ValueError: If a field has another type or is out of range.
    """
    if 'n' not in fields:
        return None
    get = fields.get
    base, version, changed, removed, age_ms = checks.items(fields['n'], 5)
    base_era, era = checks.items(get('ne') or [0, 0], 2)
    digest = get('g')
    kept = checks.mapping(get('q') or {}, MAX_UPSTREAMS)
    rows = tuple(
        _decode_upstream(entry)
        for entry in checks.items(changed, MAX_UPSTREAMS)
    )
    return upstreams.DirectoryDelta(
        era_messages.decode_position(base_era, base),
        era_messages.decode_position(era, version),
        row_stamps.add_numbers(rows, get('nw')),
        _decode_names(removed),
        checks.integer(age_ms) / 1000,
        {
            checks.text(name): checks.integer(left_ms, MAX_KEPT_MS) / 1000
            for name, left_ms in kept.items()
        },
        None if digest is None else checks.integer(digest, MAX_DIGEST),
        _decode_names(get('gu') or []),
    )


def _decode_names(value: typing.Any) -> tuple[str, ...]:
    return tuple(
        checks.text(name) for name in checks.items(value, MAX_UPSTREAMS)
    )


def _decode_upstream(entry: typing.Any) -> upstreams.Upstream:
    (
        name,
        service,
        address,
        domain,
        region,
        slots,
        draining,
        cold_for_s,
        born,
        version,
    ) = checks.items(entry, 10)
    if type(draining) is not bool or not (
        type(cold_for_s) in (int, float)
        and 0 <= cold_for_s <= ranges.MAX_DURATION_S
    ):
        raise checks.MalformedField('draining or cold_for_s out of range')
    if checks.integer(slots, ranges.MAX_SLOTS) < 1:
        raise checks.MalformedField('no slots')
    return upstreams.Upstream(
        checks.text(name),
        checks.text(service),
        checks.address(address),
        checks.text(domain),
        checks.text(region),
        slots,
        draining,
        cold_for_s,
        checks.integer(born),
        checks.integer(version),
    )
