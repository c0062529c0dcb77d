"""Decoding of the rows by which upstreams announce themselves."""

import typing

from bulrushcourse_domain import ranges
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.platform import rows
from bulrushcourse_entry.platform import units

TABLE = 'servers'

# Whether an upstream in this state is leaving.
_DRAINING_BY_STATE = {'ready': False, 'draining': True}
# Prefix of the region of a failure domain that the settings don't name.
UNKNOWN_REGION = 'unknown'


def decode(
    row: rows.StoredRow, regions: typing.Mapping[str, str]
) -> upstreams.Upstream:
    """Return the upstream that a row describes.

    Args:
        row: The row.
        regions: Region of each failure domain.

    Raises:
        MalformedValue: If the row does not describe a usable upstream.
    """
    try:
        fields = units.parse_json(row.value or b'null')
        draining = _DRAINING_BY_STATE[fields['state']]
        domain = units.non_empty_string(fields['zone'], 'zone')
        slots = units.integer(fields['slots'], 'slots', 1, ranges.MAX_SLOTS)
        return upstreams.Upstream(
            name=units.non_empty_string(row.key, 'key'),
            service=units.non_empty_string(fields['service'], 'service'),
            address=units.address(fields['address'], 'address'),
            failure_domain=domain,
            # A failure domain may be called like a region that is a home.
            region=regions.get(domain, f'{UNKNOWN_REGION}:{domain}'),
            slots=slots,
            draining=draining,
            cold_for_s=units.capped_duration_s(
                fields.get('warmup_left', '0ms')
            ),
            born=units.integer(fields.get('born', 0), 'born'),
            version=row.version,
            sequence=units.integer(fields.get('seq', 0), 'seq'),
        )
    except units.MalformedValue:
        raise
    except units.DECODING_ERRORS as error:
        raise units.MalformedValue(f'{error!r:.200}') from error


def decode_all(
    batch: rows.RowBatch,
    regions: typing.Mapping[str, str],
    on_malformed: typing.Callable[
        [rows.StoredRow, units.MalformedValue], None
    ],
) -> upstreams.Snapshot:
    """Return the upstreams of a batch, without those of malformed rows.

    Args:
        batch: Rows of the upstreams' table.
        regions: Region of each failure domain.
        on_malformed: Called with each malformed row and the reason.
    """
    decoded, unreadable = [], set()
    for row in batch.rows:
        try:
            decoded.append(decode(row, regions))
        except units.MalformedValue as error:
            unreadable.add(row.key)
            on_malformed(row, error)
    return upstreams.Snapshot(
        batch.version, tuple(decoded), batch.era, frozenset(unreadable)
    )
