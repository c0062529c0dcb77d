"""Encoding of the era of the platform's store in reports between VMs."""

import math
import typing

import attrs

from bulrushcourse_domain.store import position as positions
from bulrushcourse_domain.store import store_era as store_eras
from bulrushcourse_wire import fields as checks

MILLISECONDS = 1000
# Longer times in which a return of the store settles are mistakes.
MAX_SETTLING_MS = 60_000
# Stands for no known version, and for no known return.
UNKNOWN = -1


@attrs.frozen
class KnownEra:
    """What a VM knows of the era of the store; see ``StoreEra``.

    Attributes:
        era: The newest known era, 0 if none was stated.
        first_version: Lowest version known of the time after the return,
            infinite if none is known.
        settling_s: For how long lost rows may still be missing, in seconds;
            ``None`` if it knows of no return in the era.
    """

    era: int = 0
    first_version: float = math.inf
    settling_s: float | None = None


def describe(store_era: store_eras.StoreEra) -> KnownEra:
    """Return what other VMs are told of the era.

    Args:
        store_era: The era as this VM knows it.
    """
    return KnownEra(
        store_era.era, store_era.first_version, store_era.remaining_s()
    )


def encode_era(known: KnownEra) -> list[int]:
    """Return the fields of what a VM knows, empty if it knows no era.

    Args:
        known: What it knows.

    Examples:
        >>> encode_era(KnownEra(2, settling_s=1.5))
        [2, -1, 1500]
    """
    if not known.era:
        return []
    version, settling_s = known.first_version, known.settling_s
    return [
        known.era,
        UNKNOWN if math.isinf(version) else int(version),
        UNKNOWN
        if settling_s is None
        else round(min(MAX_SETTLING_MS, settling_s * MILLISECONDS)),
    ]


def decode_era(value: typing.Any) -> KnownEra:
    """Return what a VM knows of the era.

    Args:
        value: See ``encode_era``; empty from VMs of earlier versions.

    Raises:
        ValueError: If it has another type or is out of range.
    """
    if value == []:
        return KnownEra()
    era, version, settling_ms = checks.items(value, 3)
    return KnownEra(
        checks.integer(era, store_eras.MAX_ERA),
        math.inf if version == UNKNOWN else checks.integer(version),
        None
        if settling_ms == UNKNOWN
        else checks.integer(settling_ms, MAX_SETTLING_MS) / MILLISECONDS,
    )


def decode_position(
    era: typing.Any, version: typing.Any
) -> positions.Position:
    """Return the position in two fields of a message.

    Args:
        era: Era of the store.
        version: Version of the store.

    Raises:
        ValueError: If one has another type or is out of range.
    """
    return positions.Position(
        checks.integer(era, store_eras.MAX_ERA), checks.integer(version)
    )
