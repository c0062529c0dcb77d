"""Encoding of what orders the statements of upstreams about themselves.

VMs of earlier versions ignore these fields and send none.
"""

import typing

import attrs

from bulrushcourse_domain.upstreams import latest_words
from bulrushcourse_domain.upstreams import stated_words
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_wire import fields as checks

_STANDINGS = {standing.value: standing for standing in stated_words.Standing}
MAX_STATED = stated_words.MAX_STATED


def encode_numbers(
    changed: typing.Iterable[upstreams.Upstream],
) -> list[int]:
    """Return two numbers for each row in a delta, empty if all are 0.

    Args:
        changed: The rows.
    """
    numbers = [n for row in changed for n in (row.seq, row.first_seq)]
    return numbers if any(numbers) else []


def add_numbers(
    changed: tuple[upstreams.Upstream, ...], value: typing.Any
) -> tuple[upstreams.Upstream, ...]:
    """Return the rows of a delta with their numbers.

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
        attrs.evolve(row, seq=seq, first_seq=first_seq)
        for row, seq, first_seq in zip(
            changed, numbers[::2], numbers[1::2], strict=True
        )
    )


def encode_stated(
    stated: typing.Iterable[stated_words.StatedWord],
) -> list[tuple[str, int, int, str]]:
    """Return the words by which a VM holds rows back.

    Args:
        stated: The words.
    """
    return [
        (entry.name, entry.word.born, entry.word.seq, entry.standing.value)
        for entry in stated
    ]


def decode_stated(value: typing.Any) -> tuple[stated_words.StatedWord, ...]:
    """Return the words in a field; see ``encode_stated``.

    Args:
        value: The field.

    Raises:
        ValueError: If a field has another type or is out of range.
    """
    found = []
    for entry in checks.items(value, MAX_STATED):
        name, born, seq, standing = checks.items(entry, 4)
        word = latest_words.Word(checks.integer(born), checks.integer(seq))
        found.append(
            stated_words.StatedWord(
                checks.text(name), word, _STANDINGS[standing]
            )
        )
    return tuple(found)
