"""Which entries read the stored configuration often."""

import typing

from bulrushcourse_domain.membership import member

# One more than needed, so that a dead reader delays no version.
READERS_PER_REGION = 2


def designate_readers(
    members: typing.Iterable[member.Sighting], region: str
) -> frozenset[str]:
    """Return the names of a region's readers.

    Entries whose views differ for a moment may both read; that costs reads,
    not correctness.

    Args:
        members: Entries that are live.
        region: Name of the region.

    Examples:
        >>> live = [
        ...     member.Sighting(name, name, name, 'north') for name in 'cab'
        ... ]
        >>> sorted(designate_readers(live, 'north'))
        ['a', 'b']
    """
    names = sorted(found.entry for found in members if found.region == region)
    return frozenset(names[:READERS_PER_REGION])
