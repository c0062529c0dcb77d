"""Which of the words of an upstream about itself is the latest.

The load that it answers: rows that the store performs seconds after they were
written, or once more, beside upstreams that start again under their names.
"""

import collections
import enum
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.upstreams import upstream as upstreams

MAX_REMEMBERED = 4000
# Two rows of an earlier process may be performed one right after the other. A
# process that lives writes rows at each heartbeat.
MIN_PROGRESS_S = 1.0


@attrs.frozen(order=True)
class Word:
    """What orders the statements of an upstream about itself.

    Attributes:
        born: Start of its process in Unix milliseconds, 0 if unknown.
        seq: Number of the statement of that process, 0 if unknown.
    """

    born: int
    seq: int

    @property
    def is_ordered(self) -> bool:
        """Whether it can be compared with others."""
        return bool(self.born and self.seq)


class Relation(enum.Enum):
    """How a row is related to the latest word that is known.

    Attributes:
        LATER: It is the latest word now.
        EARLIER: It was written before by the same process.
        RESUMED: The process wrote it after its row had been removed, or just
            before that.
        EARLIER_START: Another process wrote it, which states an earlier start.
    """

    LATER = 'later'
    EARLIER = 'earlier'
    RESUMED = 'resumed'
    EARLIER_START = 'earlier-start'


@attrs.frozen
class Departure:
    """The last word that was known of an upstream when it was removed.

    Attributes:
        word: The word.
        is_certain: Whether the row was removed, rather than having expired in
            an outage of the store or become unreadable.
    """

    word: Word
    is_certain: bool


@attrs.frozen
class Doubt:
    """A row that is believed if its process writes another one.

    Attributes:
        word: Its word.
        at: When it was first seen, in monotonic seconds.
    """

    word: Word
    at: float


def word_of(upstream: upstreams.Upstream) -> Word:
    """Return the word in a row.

    Args:
        upstream: The row.
    """
    return Word(upstream.born, upstream.seq)


def compare(
    word: Word, known: Word | None, departure: Departure | None
) -> Relation:
    """Return how a word is related to what is known of its upstream.

    Args:
        word: The word.
        known: Word of the listed upstream, ``None`` if it is not listed.
        departure: How it was removed, ``None`` if it was not.

    Examples:
        >>> compare(Word(9, 7), Word(9, 8), None)
        <Relation.EARLIER: 'earlier'>
        >>> compare(Word(9, 9), None, Departure(Word(9, 8), True))
        <Relation.RESUMED: 'resumed'>
        >>> compare(Word(10, 1), None, Departure(Word(9, 8), True))
        <Relation.LATER: 'later'>
    """
    latest = known or (departure.word if departure else None)
    if latest is None or not (word.is_ordered and latest.is_ordered):
        return Relation.LATER
    if word.born != latest.born:
        is_later = word.born > latest.born
        return Relation.LATER if is_later else Relation.EARLIER_START
    if known is not None:
        return Relation.LATER if word >= known else Relation.EARLIER
    if not departure.is_certain:
        return Relation.LATER if word >= latest else Relation.EARLIER
    return Relation.RESUMED if word > latest else Relation.EARLIER


@attrs.define
class LatestWords:
    """Tells rows that are the latest word of their upstream from late ones.

    Words of one process are ordered by their numbers, and processes of one
    name by their starts. Two cases are open: a process whose clock was set
    back seems to have started earlier, and one that was silent writes again
    after its row was removed, as its last row does that is performed once
    more. Both are believed once a further row follows, which late ones lack.

    Attributes:
        clock: Source of time.
        departed: Upstreams that were removed, by name; the earliest first.
        doubted: Rows that may turn out to be the latest word, by name.
        held_back: Names of the upstreams whose row is not applied.

    Examples:
        >>> words = LatestWords(clocks.ManualClock())
        >>> ready = upstreams.Upstream('u', 's', '', 'd', 'r', born=9, seq=7)
        >>> draining = attrs.evolve(ready, draining=True, seq=8)
        >>> words.may_apply(draining, ready), words.may_apply(ready, draining)
        (True, False)
    """

    clock: clocks.Clock
    departed: collections.OrderedDict[str, Departure] = attrs.field(
        factory=collections.OrderedDict
    )
    doubted: dict[str, Doubt] = attrs.field(factory=dict)
    held_back: set[str] = attrs.field(factory=set)

    def may_apply(
        self, row: upstreams.Upstream, known: upstreams.Upstream | None
    ) -> bool:
        """Return whether a row may replace what is known of its upstream.

        Args:
            row: The row.
            known: What is known, ``None`` for an upstream that is not listed.
        """
        relation = compare(
            word_of(row),
            word_of(known) if known else None,
            self.departed.get(row.name),
        )
        is_applied = _RULES[relation](self, row)
        if not is_applied:
            self.held_back.add(row.name)
        return is_applied

    def _accept(self, row: upstreams.Upstream) -> bool:
        return True

    def _reject(self, row: upstreams.Upstream) -> bool:
        return False

    def _has_resumed(self, row: upstreams.Upstream) -> bool:
        """Return whether a removed process has written two more rows.

        Another VM may have seen the first of them.
        """
        left_at = self.departed[row.name].word.seq
        doubt = self._doubt(row)
        return doubt.word.seq < row.seq or left_at < row.first_seq < row.seq

    def _has_progressed(self, row: upstreams.Upstream) -> bool:
        """Return whether a process goes on that states an earlier start."""
        doubt = self._doubt(row)
        elapsed_s = self.clock.monotonic() - doubt.at
        return doubt.word.seq < row.seq and elapsed_s >= MIN_PROGRESS_S

    def _doubt(self, row: upstreams.Upstream) -> Doubt:
        """Return the doubt about a row's process, a new one if there is none.

        Args:
            row: The row.
        """
        doubt = self.doubted.get(row.name)
        if doubt is None or doubt.word.born != row.born:
            doubt = Doubt(word_of(row), self.clock.monotonic())
            self.doubted[row.name] = doubt
        return doubt

    def record_departure(
        self, upstream: upstreams.Upstream, is_certain: bool = True
    ) -> None:
        """Record that an upstream was removed.

        Args:
            upstream: What was known of it.
            is_certain: See ``Departure``.
        """
        self.forget_doubt(upstream.name)
        self.departed[upstream.name] = Departure(word_of(upstream), is_certain)
        self.departed.move_to_end(upstream.name)
        if len(self.departed) > MAX_REMEMBERED:
            self.departed.popitem(last=False)

    def may_be_there(self, name: str) -> bool:
        """Return whether a removed upstream may be there all the same.

        Args:
            name: Its name.
        """
        departure = self.departed.get(name)
        return departure is not None and not departure.is_certain

    def record_presence(self, row: upstreams.Upstream) -> None:
        """Forget what was held against an upstream whose row is applied.

        Args:
            row: The row.
        """
        self.departed.pop(row.name, None)
        self.forget_doubt(row.name)

    def first_seq_of(self, row: upstreams.Upstream) -> int:
        """Return the number of the first row that was seen of a process.

        Args:
            row: A later row, which is applied.
        """
        doubt = self.doubted.get(row.name)
        if doubt is not None and doubt.word.born == row.born:
            return doubt.word.seq
        return row.first_seq or row.seq

    def forget_missing(self, present: typing.Container[str]) -> None:
        """Forget the rows that are held back and have been removed.

        Args:
            present: Names of all upstreams with a row.
        """
        for name in [n for n in self.held_back if n not in present]:
            self.forget_doubt(name)

    def forget_doubt(self, name: str) -> None:
        """Forget a row that is held back no longer.

        Args:
            name: Name of its upstream.
        """
        self.doubted.pop(name, None)
        self.held_back.discard(name)


_RULES: typing.Mapping[
    Relation, typing.Callable[[LatestWords, upstreams.Upstream], bool]
] = {
    Relation.LATER: LatestWords._accept,
    Relation.EARLIER: LatestWords._reject,
    Relation.RESUMED: LatestWords._has_resumed,
    Relation.EARLIER_START: LatestWords._has_progressed,
}
