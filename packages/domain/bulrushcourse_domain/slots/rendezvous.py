"""Preferred owners of pools by rendezvous hashing."""

import typing

import xxhash


def rank_entries(pool: str, entries: typing.Iterable[str]) -> tuple[str, ...]:
    """Return entries in their order of preference for a pool.

    An entry that joins or leaves changes only the pools that prefer it.

    Args:
        pool: Name of the pool, ``region/service``.
        entries: Names of the entries of the pool's region.

    Examples:
        >>> full = rank_entries('ro-nord/catalog', ['a', 'b', 'c'])
        >>> rest = rank_entries('ro-nord/catalog', full[1:])
        >>> rest == full[1:]
        True
    """

    def weight(entry: str) -> tuple[int, str]:
        name = f'{pool}\x00{entry}'.encode()
        return xxhash.xxh64_intdigest(name), entry

    return tuple(sorted(set(entries), key=weight, reverse=True))
