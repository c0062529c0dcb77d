"""What a VM tells others of upstreams whose rows it holds back."""

import enum
import typing

import attrs

from bulrushcourse_domain.upstreams import latest_words
from bulrushcourse_domain.upstreams import upstream as upstreams

# Rows are held back for seconds, and few at a time.
MAX_STATED = 200


class Standing(enum.Enum):
    """What an upstream's latest word says of it."""

    GONE = 'g'
    DRAINING = 'd'
    READY = 'r'


@attrs.frozen
class StatedWord:
    """The word by which a VM holds a row back.

    Attributes:
        name: Name of the upstream.
        word: Its latest word, as far as the VM knows.
        standing: What it says.
    """

    name: str
    word: latest_words.Word
    standing: Standing


def state(
    words: latest_words.LatestWords,
    listed: typing.Mapping[str, upstreams.Upstream],
) -> tuple[StatedWord, ...]:
    """Return the words by which rows are held back now.

    Args:
        words: Which rows are held back.
        listed: The listed upstreams by name.
    """
    stated = []
    for name in sorted(words.held_back)[:MAX_STATED]:
        upstream = listed.get(name)
        if upstream is not None:
            standing = _STANDINGS[upstream.draining]
            word = latest_words.word_of(upstream)
            stated.append(StatedWord(name, word, standing))
        elif name in words.departed:
            word = words.departed[name].word
            stated.append(StatedWord(name, word, Standing.GONE))
    return tuple(stated)


_STANDINGS = {True: Standing.DRAINING, False: Standing.READY}


def overrules(stated: StatedWord, known: upstreams.Upstream) -> bool:
    """Return whether another VM's word is later than a listed row.

    The row of an upstream that was removed may be its last one, performed once
    more. It stands if the process has written another one since.

    Args:
        stated: The word.
        known: The listed row.

    Examples:
        >>> row = upstreams.Upstream(
        ...     'u', 's', '', 'd', 'r', born=9, seq=8, first_seq=8
        ... )
        >>> gone = StatedWord('u', latest_words.Word(9, 7), Standing.GONE)
        >>> overrules(gone, row), overrules(gone, attrs.evolve(row, seq=9))
        (True, False)
    """
    word = latest_words.word_of(known)
    if not (word.is_ordered and stated.word.is_ordered):
        return False
    if stated.word.born != known.born:
        return stated.word.born > known.born
    if stated.standing is not Standing.GONE:
        return stated.word > word
    has_resumed = stated.word.seq < known.first_seq < known.seq
    return not has_resumed
