"""Designated readers: VMs that poll a table of the store for all others."""

import random
import typing

from bulrushcourse_domain import rendezvous

# Two, so that the loss of one reader does not delay the others.
READERS = 2
# Rate at which all VMs together read a table again.
MAX_REREADS_PER_S = 400.0


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


def reread_pause_s(
    vm_count: int, is_reader: bool, rng: random.Random
) -> float:
    """Return the pause before a table is read again that all VMs read, s.

    Args:
        vm_count: Number of VMs.
        is_reader: Whether other VMs rely on this one.
        rng: Source of randomness, so that the VMs do not read together.

    Examples:
        >>> reread_pause_s(400, True, random.Random(1))
        0.0
        >>> 0.0 < reread_pause_s(400, False, random.Random(1)) < 1.0
        True
    """
    if is_reader:
        return 0.0
    return rng.uniform(0.0, vm_count / MAX_REREADS_PER_S)
