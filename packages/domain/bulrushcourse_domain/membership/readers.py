"""Designated readers: VMs that poll a table of the store for all others."""

import typing

from bulrushcourse_domain import rendezvous

# Two, so that the loss of one reader does not delay the others.
READERS = 2


def designate_readers(
    table: str, names: typing.Iterable[str]
) -> frozenset[str]:
    """Return the names of the designated readers of a table.

    While the membership views of VMs differ, more VMs may read; that only adds
    reads to the store.

    Args:
        table: Name of the table.
        names: Names of the live VMs.

    Examples:
        >>> len(designate_readers('configuration', 'abc'))
        2
        >>> sorted(designate_readers('configuration', 'a'))
        ['a']
    """
    return frozenset(rendezvous.top(table, names, READERS))
