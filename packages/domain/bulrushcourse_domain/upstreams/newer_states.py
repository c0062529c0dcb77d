"""States of upstreams that are newer than their rows in the store."""

import enum
import typing

import attrs

from bulrushcourse_domain.upstreams import row_order
from bulrushcourse_domain.upstreams import upstream as upstreams

# Rows are held back for seconds, and few at a time.
MAX_STATES = 200


class State(enum.Enum):
    """State of an upstream."""

    GONE = 'g'
    DRAINING = 'd'
    READY = 'r'


_STATES = {True: State.DRAINING, False: State.READY}


@attrs.frozen
class NewerState:
    """State because of which a VM holds a row back.

    Attributes:
        name: Name of the upstream.
        stamp: Stamp of the row that stated it, or of the last known row.
        state: The state.
    """

    name: str
    stamp: row_order.Stamp
    state: State


def of_held_back(
    order: row_order.RowOrder,
    listed: typing.Mapping[str, upstreams.Upstream],
) -> tuple[NewerState, ...]:
    """Return the states because of which rows are held back.

    Args:
        order: Which rows are held back.
        listed: The listed upstreams by name.
    """
    found = []
    for name in sorted(order.held_back)[:MAX_STATES]:
        upstream = listed.get(name)
        if upstream is not None:
            stamp = row_order.stamp_of(upstream)
            found.append(NewerState(name, stamp, _STATES[upstream.draining]))
        elif name in order.tombstones:
            stamp = order.tombstones[name].stamp
            found.append(NewerState(name, stamp, State.GONE))
    return tuple(found)


def overrules(newer: NewerState, known: upstreams.Upstream) -> bool:
    """Return whether a state at another VM is newer than a listed upstream.

    The row of an upstream that was removed may be its last one, which the
    store applied once more. It stands if the process has written another one
    since.

    Args:
        newer: The state at the other VM.
        known: The listed upstream.

    Examples:
        >>> row = upstreams.Upstream(
        ...     'u', 's', '', 'd', 'r', born=9, sequence=8, first_sequence=8
        ... )
        >>> gone = NewerState('u', row_order.Stamp(9, 7), State.GONE)
        >>> (
        ...     overrules(gone, row),
        ...     overrules(gone, attrs.evolve(row, sequence=9)),
        ... )
        (True, False)
    """
    stamp = row_order.stamp_of(known)
    if not (stamp.is_complete and newer.stamp.is_complete):
        return False
    if newer.stamp.born != known.born:
        return newer.stamp.born > known.born
    if newer.state is not State.GONE:
        return newer.stamp > stamp
    has_resumed = newer.stamp.sequence < known.first_sequence < known.sequence
    return not has_resumed
