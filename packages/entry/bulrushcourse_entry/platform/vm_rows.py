"""Rows by which the VMs of this system announce themselves to each other."""

import json
import typing

import attrs

from bulrushcourse_domain import ranges
from bulrushcourse_domain.fleet import fleet
from bulrushcourse_entry.platform import rows
from bulrushcourse_entry.platform import units

TABLE = 'vms'


def encode(vm: fleet.Vm) -> bytes:
    """Return the content of a VM's row.

    Args:
        vm: The VM.
    """
    return json.dumps(attrs.asdict(vm)).encode()


def decode(row: rows.StoredRow) -> fleet.Vm:
    """Return the VM that a row describes.

    Args:
        row: The row.

    Raises:
        MalformedValue: If the row does not describe a VM.
    """
    try:
        fields = units.parse_json(row.value or b'null')
        return fleet.Vm(
            name=units.non_empty_string(fields['name'], 'name'),
            incarnation=units.integer(fields['incarnation'], 'incarnation'),
            peer_address=_optional_address(
                fields['peer_address'], 'peer_address'
            ),
            caller_address=units.address(
                fields['caller_address'], 'caller_address'
            ),
            region=units.non_empty_string(fields['region'], 'region'),
            failure_domain=units.non_empty_string(
                fields['failure_domain'], 'failure_domain'
            ),
            cores=units.number(
                fields.get('cores', 0.0), 'cores', 0.0, ranges.MAX_CORES
            ),
        )
    except units.MalformedValue:
        raise
    except units.DECODING_ERRORS as error:
        raise units.MalformedValue(f'{error!r:.200}') from error


def _optional_address(value: typing.Any, field: str) -> str:
    # A VM without a peer listener has an empty address.
    return '' if value == '' else units.address(value, field)
