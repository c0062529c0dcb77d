"""Which VMs read a table of the store often, for all others."""

import typing

from bulrushcourse_domain import rendezvous

# One more than needed, so that a dead reader delays nothing.
READERS = 2


def designate_readers(
    table: str, names: typing.Iterable[str]
) -> frozenset[str]:
    """Return the names of the readers of a table.

    VMs whose views differ for a moment may both read; that costs reads, not
    correctness.

    Args:
        table: What is read.
        names: Names of the VMs that are live.

    Examples:
        >>> len(designate_readers('configuration', 'abc'))
        2
        >>> sorted(designate_readers('configuration', 'a'))
        ['a']
    """
    return frozenset(rendezvous.first(table, names, READERS))
