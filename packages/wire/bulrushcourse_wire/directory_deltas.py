"""Encoding of changes of the upstream directory in reports between VMs."""

import typing

import attrs

from bulrushcourse_domain import ranges
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_wire import era_messages
from bulrushcourse_wire import fields as checks

MAX_UPSTREAMS = 100_000
MAX_DIGEST = (1 << 32) - 1
# Longer times for which an upstream without a row is used are mistakes.
MAX_KEPT_MS = 60_000
# Sequence numbers travel in a field of their own, see ``row_stamps``.
_IS_SENT = attrs.filters.exclude('seq', 'first_seq')


def encode_delta(delta: upstreams.DirectoryDelta) -> list[typing.Any]:
    """Return the fields of a delta.

    Args:
        delta: The delta.
    """
    changed = [attrs.astuple(e, filter=_IS_SENT) for e in delta.changed]
    age_ms = int(delta.age_s * 1000)
    return [
        delta.base.version,
        delta.position.version,
        changed,
        list(delta.gone),
        age_ms,
    ]


def encode_eras(delta: upstreams.DirectoryDelta) -> list[int]:
    """Return the eras of a delta's base and position, empty if both are 0.

    Args:
        delta: The delta.
    """
    eras = [delta.base.era, delta.position.era]
    return eras if any(eras) else []


def encode_kept(delta: upstreams.DirectoryDelta) -> dict[str, int]:
    """Return for how many milliseconds upstreams without a row are used.

    Args:
        delta: The delta.
    """
    return {name: int(left_s * 1000) for name, left_s in delta.kept.items()}


def decode_delta(
    fields: typing.Any,
    kept: typing.Any = None,
    digest: typing.Any = None,
    eras: typing.Any = None,
) -> upstreams.DirectoryDelta:
    """Return the delta in the fields of a message.

    Args:
        fields: The fields.
        kept: See ``encode_kept``.
        digest: Digest of the upstreams, ``None`` if there is none.
        eras: See ``encode_eras``.

    Raises:
        ValueError: If a field has another type or is out of range.
    """
    base, version, changed, removed, age_ms = checks.items(fields, 5)
    base_era, era = checks.items(eras or [0, 0], 2)
    return upstreams.DirectoryDelta(
        era_messages.decode_position(base_era, base),
        era_messages.decode_position(era, version),
        tuple(
            _decode_upstream(entry)
            for entry in checks.items(changed, MAX_UPSTREAMS)
        ),
        tuple(
            checks.text(name) for name in checks.items(removed, MAX_UPSTREAMS)
        ),
        checks.integer(age_ms) / 1000,
        {
            checks.text(name): checks.integer(left_ms, MAX_KEPT_MS) / 1000
            for name, left_ms in checks.mapping(
                kept or {}, MAX_UPSTREAMS
            ).items()
        },
        None if digest is None else checks.integer(digest, MAX_DIGEST),
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
