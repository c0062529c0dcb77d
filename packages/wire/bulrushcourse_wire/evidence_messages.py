"""Encoding of evidence about crash-inducing requests, as part of reports.

Losses are encoded twice: in the first field as by all versions, without ages,
and by their ages in the second field, which earlier versions ignore.
"""

import typing

import attrs

from bulrushcourse_domain.quarantine import evidence as evidences
from bulrushcourse_wire import fields as checks

Evidence = evidences.Evidence
Kind = evidences.Kind

LOSSES = 'l'
DATED = 'd'
AGE_SCALE = 10
_KINDS = {kind.value: kind for kind in Kind}
_MAX_AGE = 1 << 31
_ROUNDING = 1e-6


@attrs.frozen
class AgedEvidence:
    """Evidence as it travels between VMs, whose clocks differ.

    Attributes:
        kind: What it states.
        fingerprint: Hash of the request's content, or empty.
        upstream: Incarnation of the upstream, or empty.
        stamp: See ``Evidence``; 0 if the sender does not state it.
        age_s: Time since the observation in seconds, ``None`` if the sender
            does not state it.
    """

    kind: Kind
    fingerprint: str
    upstream: str
    stamp: int = 0
    age_s: float | None = None


def encode(
    evidence: typing.Iterable[AgedEvidence],
) -> dict[str, typing.Any]:
    """Return the fields of a report.

    Args:
        evidence: The evidence.
    """
    losses, others = [], []
    dated: list[tuple[int, int]] = []
    for entry in evidence:
        # Rounded down: a loss must not seem older than the answer before it.
        age = int((entry.age_s or 0.0) * AGE_SCALE + _ROUNDING)
        if entry.kind is Kind.LOSS:
            losses.append((entry.fingerprint, entry.upstream))
            dated.append((entry.stamp, age))
        else:
            name = entry.fingerprint or entry.upstream
            others.append((entry.kind.value, name, entry.stamp, age))
    return {LOSSES: losses, DATED: (dated, others) if dated or others else ()}


def decode(
    losses: list[typing.Any], dated: typing.Any
) -> tuple[AgedEvidence, ...]:
    """Return the evidence in the fields of a report.

    An entry that is odd is left out, so that the others are not lost with it.

    Args:
        losses: First field.
        dated: Second field, ``None`` from an earlier version.
    """
    ages: typing.Any = []
    others: typing.Any = []
    if type(dated) is list and len(dated) == 2:
        ages, others = (v if type(v) is list else [] for v in dated)
    found = []
    for number, entry in enumerate(losses):
        stamp_and_age = ages[number] if number < len(ages) else None
        found.append(_attempt(_decode_loss, entry, stamp_and_age))
    for entry in others[: checks.MAX_ITEMS]:
        found.append(_attempt(_decode_other, entry))
    return tuple(entry for entry in found if entry is not None)


def _attempt(
    decoder: typing.Callable[..., AgedEvidence], *values: typing.Any
) -> AgedEvidence | None:
    try:
        return decoder(*values)
    except (ValueError, TypeError, KeyError):
        return None


def _decode_loss(entry: typing.Any, stamp_and_age: typing.Any) -> AgedEvidence:
    fingerprint, upstream = entry
    loss = AgedEvidence(
        Kind.LOSS, checks.text(fingerprint), checks.text(upstream)
    )
    if stamp_and_age is None:
        return loss
    stamp, age = stamp_and_age
    return attrs.evolve(
        loss, stamp=checks.integer(stamp), age_s=_decode_age(age)
    )


def _decode_other(entry: typing.Any) -> AgedEvidence:
    kind, name, stamp, age = entry
    names_upstream = _KINDS[kind] in (Kind.SURVIVAL, Kind.PRESENCE)
    return AgedEvidence(
        _KINDS[kind],
        '' if names_upstream else checks.text(name),
        checks.text(name) if names_upstream else '',
        checks.integer(stamp),
        _decode_age(age),
    )


def _decode_age(value: typing.Any) -> float:
    return checks.integer(value, _MAX_AGE) / AGE_SCALE
