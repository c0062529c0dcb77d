"""Rendezvous hashing: the order in which names are preferred for a key.

All VMs that have the same names compute the same order, and adding or removing
a name affects only the keys that prefer it.
"""

import heapq
import math
import typing

import xxhash


def _digest(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f'{key}\x00{name}'.encode())


def rank(key: str, names: typing.Iterable[str]) -> tuple[str, ...]:
    """Return all names in their order of preference for a key.

    Args:
        key: Key to be assigned, such as the name of a pool.
        names: Names to choose from, such as those of entries.

    Examples:
        >>> full = rank('ro-nord/catalog', ['a', 'b', 'c'])
        >>> rest = rank('ro-nord/catalog', full[1:])
        >>> rest == full[1:]
        True
    """
    distinct = set(names)
    return top(key, distinct, len(distinct))


def top(key: str, names: typing.Iterable[str], count: int) -> tuple[str, ...]:
    """Return the most preferred names for a key, best first.

    Args:
        key: Key to be assigned.
        names: Distinct names to choose from.
        count: Largest number of names to return.

    Examples:
        >>> top('17', 'abc', 2) == rank('17', 'abc')[:2]
        True
    """
    return tuple(
        heapq.nlargest(count, names, key=lambda n: (_digest(key, n), n))
    )


def choose_weighted(key: str, weights: typing.Mapping[str, float]) -> str:
    """Return the preferred name for a key, with keys divided by weight.

    A small change of the weights moves few keys.

    Args:
        key: Key to be assigned.
        weights: Weight of each name; at least one is positive.

    Examples:
        >>> choose_weighted('17', {'a': 1.0, 'b': 0.0})
        'a'
    """

    def score(name: str) -> float:
        return -weights[name] / math.log(
            (_digest(key, name) + 1) / (2**64 + 2)
        )

    return max(weights, key=score)
