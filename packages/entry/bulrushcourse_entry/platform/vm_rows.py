"""Entries that the VMs of this system write to the store for each other."""

import json

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
        return fleet.Vm(**json.loads(row.value or b'null'))
    except (TypeError, ValueError) as error:
        raise units.MalformedValue(f'{error!r}') from error
