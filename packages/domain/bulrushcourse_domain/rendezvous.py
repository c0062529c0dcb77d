"""Rendezvous hashing: who of several is preferred for a key.

All VMs that know the same names compute the same order, and a name that comes
or goes changes only the keys that prefer it.
"""

import heapq
import math
import typing

import xxhash


def _digest(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f'{key}\x00{name}'.encode())


def rank(key: str, names: typing.Iterable[str]) -> tuple[str, ...]:
    """Return names in their order of preference for a key.

    Args:
        key: What is to be placed, such as a pool.
        names: Names to choose from, such as entries.

    Examples:
        >>> full = rank('ro-nord/catalog', ['a', 'b', 'c'])
        >>> rest = rank('ro-nord/catalog', full[1:])
        >>> rest == full[1:]
        True
    """
    found = set(names)
    return first(key, found, len(found))


def first(
    key: str, names: typing.Iterable[str], count: int
) -> tuple[str, ...]:
    """Return the names that are preferred most for a key.

    Args:
        key: What is to be placed.
        names: Different names to choose from.
        count: How many to return at most.

    Examples:
        >>> first('17', 'abc', 2) == rank('17', 'abc')[:2]
        True
    """
    return tuple(
        heapq.nlargest(count, names, key=lambda n: (_digest(key, n), n))
    )


def choose_weighted(key: str, weights: typing.Mapping[str, float]) -> str:
    """Return the preferred name; each gets its share of all keys.

    A small change of the weights moves few keys.

    Args:
        key: What is to be placed.
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
