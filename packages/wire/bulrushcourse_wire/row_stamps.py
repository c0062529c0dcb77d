"""Encoding of what orders the rows of upstreams.

VMs of earlier versions ignore these fields and send none.
"""

import typing

import attrs

from bulrushcourse_domain.upstreams import newer_states
from bulrushcourse_domain.upstreams import row_order
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_wire import fields as checks

_STATES = {state.value: state for state in newer_states.State}


def encode_numbers(
    changed: typing.Iterable[upstreams.Upstream],
) -> list[int]:
    """Return two sequence numbers for each row, empty if all are 0.

    Args:
        changed: The rows of a delta.
    """
    numbers = [
        n for row in changed for n in (row.sequence, row.first_sequence)
    ]
    return numbers if any(numbers) else []


def add_numbers(
    changed: tuple[upstreams.Upstream, ...], value: typing.Any
) -> tuple[upstreams.Upstream, ...]:
    """Return the rows of a delta with their sequence numbers.

    Args:
        changed: The rows without them.
        value: See ``encode_numbers``.

    Raises:
        ValueError: If a field has another type or is out of range.
    """
    if not value:
        return changed
    numbers = [
        checks.integer(n) for n in checks.items(value, 2 * len(changed))
    ]
    return tuple(
        attrs.evolve(row, sequence=sequence, first_sequence=first_sequence)
        for row, sequence, first_sequence in zip(
            changed, numbers[::2], numbers[1::2], strict=True
        )
    )


def encode_states(
    states: typing.Iterable[newer_states.NewerState],
) -> list[tuple[str, int, int, str]]:
    """Return the fields of states because of which rows are held back.

    Args:
        states: The states.
    """
    return [
        (entry.name, entry.stamp.born, entry.stamp.sequence, entry.state.value)
        for entry in states
    ]


def decode_states(value: typing.Any) -> tuple[newer_states.NewerState, ...]:
    """Return the states in a field; see ``encode_states``.

    Args:
        value: The field.

    Raises:
        ValueError: If a field has another type or is out of range.
        KeyError: If a state is unknown.
    """
    found = []
    for entry in checks.items(value, newer_states.MAX_STATES):
        name, born, sequence, state = checks.items(entry, 4)
        stamp = row_order.Stamp(checks.integer(born), checks.integer(sequence))
        found.append(
            newer_states.NewerState(checks.text(name), stamp, _STATES[state])
        )
    return tuple(found)
