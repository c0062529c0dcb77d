"""Entries that upstreams write to the store."""

import json
import typing

from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.platform import rows
from bulrushcourse_entry.platform import units

TABLE = 'servers'

# Whether an entry in this state is about to leave.
_STATES = {'ready': False, 'draining': True}


def decode(
    row: rows.StoredRow, regions: typing.Mapping[str, str]
) -> upstreams.Upstream:
    """Return an entry in own types.

    Args:
        row: The row.
        regions: Region of each failure domain.

    Raises:
        MalformedValue: If it names no upstream that can be used.
    """
    try:
        fields = json.loads(row.value or b'null')
        draining = _STATES[fields['state']]
        domain = units.text(fields['zone'], 'zone')
        slots = units.whole(fields['slots'], 'slots')
        if slots < 1:
            raise units.MalformedValue(f'slots is {slots}')
        return upstreams.Upstream(
            name=units.text(row.key, 'key'),
            service=units.text(fields['service'], 'service'),
            address=units.address(fields['address'], 'address'),
            failure_domain=domain,
            region=regions.get(domain, domain),
            slots=slots,
            draining=draining,
            cold_for_s=units.seconds(fields.get('warmup_left', '0ms')),
            born=units.whole(fields.get('born', 0), 'born'),
            version=row.version,
        )
    except units.MalformedValue:
        raise
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise units.MalformedValue(f'{error!r}') from error


def decode_all(
    batch: rows.RowBatch,
    regions: typing.Mapping[str, str],
    report: typing.Callable[[rows.StoredRow, units.MalformedValue], None],
) -> upstreams.Snapshot:
    """Return all entries of a batch; malformed ones are left out.

    Args:
        batch: Rows of the upstreams' table.
        regions: Region of each failure domain.
        report: Called with each row that is left out and the reason.
    """
    found = []
    for row in batch.rows:
        try:
            found.append(decode(row, regions))
        except units.MalformedValue as error:
            report(row, error)
    return upstreams.Snapshot(batch.version, tuple(found))
