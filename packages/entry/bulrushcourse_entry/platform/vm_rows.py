"""Entries that the VMs of this system write to the store for each other."""

import json
import typing

import attrs

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
        MalformedValue: If it describes none.
    """
    try:
        fields = json.loads(row.value or b'null')
        return fleet.Vm(
            name=units.text(fields['name'], 'name'),
            incarnation=units.whole(fields['incarnation'], 'incarnation'),
            peer_address=_address(fields['peer_address'], 'peer_address'),
            caller_address=units.address(
                fields['caller_address'], 'caller_address'
            ),
            region=units.text(fields['region'], 'region'),
            failure_domain=units.text(
                fields['failure_domain'], 'failure_domain'
            ),
        )
    except units.MalformedValue:
        raise
    except (KeyError, TypeError, ValueError) as error:
        raise units.MalformedValue(f'{error!r}') from error


def _address(value: typing.Any, what: str) -> str:
    # A VM without a listener for the others has no address for them.
    return '' if value == '' else units.address(value, what)
