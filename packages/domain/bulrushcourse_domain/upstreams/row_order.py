"""Which row of an upstream is newer than what is known of it.

The load that it answers: rows that the store applies seconds after they were
sent, or once more, beside upstreams that start again under their names.
"""

import collections
import enum
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.upstreams import upstream as upstreams

MAX_TOMBSTONES = 4000
# Two rows of an earlier process may be applied one right after the other. A
# process that runs writes a row at each heartbeat.
MIN_PROGRESS_S = 1.0


@attrs.frozen(order=True)
class Stamp:
    """What orders the rows of an upstream.

    Attributes:
        born: Start of its process in Unix milliseconds, 0 if unknown.
        sequence: Sequence number within the process, 0 if unknown.
    """

    born: int
    sequence: int

    @property
    def is_complete(self) -> bool:
        """Whether it can be compared with others."""
        return bool(self.born and self.sequence)


class Relation(enum.Enum):
    """How a row is related to what is known of its upstream.

    Attributes:
        NEWER: It is at least as new.
        STALE: The same process has written a later one.
        REAPPEARED: The upstream was removed, and the process wrote the row
            after its last known one.
        OLDER_PROCESS: It is that of a process with an earlier start.
    """

    NEWER = 'newer'
    STALE = 'stale'
    REAPPEARED = 'reappeared'
    OLDER_PROCESS = 'older-process'


@attrs.frozen
class Tombstone:
    """What is remembered of an upstream that was removed.

    Attributes:
        stamp: Stamp of its last known row.
        is_certain: Whether the row was removed, rather than having expired in
            an outage of the store or become unreadable.
    """

    stamp: Stamp
    is_certain: bool


@attrs.frozen
class PendingRow:
    """A row that is applied if its process writes another one.

    Attributes:
        stamp: Its stamp.
        at: When it was first seen, in monotonic seconds.
    """

    stamp: Stamp
    at: float


def stamp_of(row: upstreams.Upstream) -> Stamp:
    """Return the stamp of a row.

    Args:
        row: The row.
    """
    return Stamp(row.born, row.sequence)


def compare(
    stamp: Stamp, known: Stamp | None, tombstone: Tombstone | None
) -> Relation:
    """Return how a row is related to what is known of its upstream.

    Args:
        stamp: Stamp of the row.
        known: Stamp of the listed upstream, ``None`` if it is not listed.
        tombstone: What is remembered of it, ``None`` for nothing.

    Examples:
        >>> compare(Stamp(9, 7), Stamp(9, 8), None)
        <Relation.STALE: 'stale'>
        >>> compare(Stamp(9, 9), None, Tombstone(Stamp(9, 8), True))
        <Relation.REAPPEARED: 'reappeared'>
        >>> compare(Stamp(10, 1), None, Tombstone(Stamp(9, 8), True))
        <Relation.NEWER: 'newer'>
    """
    latest = known or (tombstone.stamp if tombstone else None)
    if latest is None or not (stamp.is_complete and latest.is_complete):
        return Relation.NEWER
    if stamp.born != latest.born:
        is_newer = stamp.born > latest.born
        return Relation.NEWER if is_newer else Relation.OLDER_PROCESS
    if known is not None:
        return Relation.NEWER if stamp >= known else Relation.STALE
    if not tombstone.is_certain:
        return Relation.NEWER if stamp >= latest else Relation.STALE
    return Relation.REAPPEARED if stamp > latest else Relation.STALE


@attrs.define
class RowOrder:
    """Decides which rows are newer than what is known of their upstreams.

    Rows of one process are ordered by their sequence numbers, and processes
    of one name by their starts. Two cases are open: a process whose clock was
    set back seems to have started earlier, and one that was silent writes
    again after its row was removed, as its last row does that the store
    applies once more. Both are applied once a further row follows.

    Attributes:
        clock: Source of time.
        tombstones: Upstreams that were removed, by name; the earliest first.
        pending: Rows that are applied if another one follows, by name.
        held_back: Names of the upstreams of which a row was not applied that
            would change whether they get requests.

    Examples:
        >>> order = RowOrder(clocks.ManualClock())
        >>> ready = upstreams.Upstream(
        ...     'u', 's', '', 'd', 'r', born=9, sequence=7
        ... )
        >>> draining = attrs.evolve(ready, draining=True, sequence=8)
        >>> order.may_apply(draining, ready), order.may_apply(ready, draining)
        (True, False)
    """

    clock: clocks.Clock
    tombstones: collections.OrderedDict[str, Tombstone] = attrs.field(
        factory=collections.OrderedDict
    )
    pending: dict[str, PendingRow] = attrs.field(factory=dict)
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
            stamp_of(row),
            stamp_of(known) if known else None,
            self.tombstones.get(row.name),
        )
        is_applied = _RULES[relation](self, row)
        if not is_applied and (known is None or known.digest != row.digest):
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
        removed_at = self.tombstones[row.name].stamp.sequence
        first_sequence = self._pending_row(row).stamp.sequence
        return (
            first_sequence < row.sequence
            or removed_at < row.first_sequence < row.sequence
        )

    def _has_progressed(self, row: upstreams.Upstream) -> bool:
        """Return whether a process with an earlier start goes on writing."""
        first = self._pending_row(row)
        elapsed_s = self.clock.monotonic() - first.at
        return (
            first.stamp.sequence < row.sequence and elapsed_s >= MIN_PROGRESS_S
        )

    def _pending_row(self, row: upstreams.Upstream) -> PendingRow:
        """Return the first pending row of the process of a row."""
        pending = self.pending.get(row.name)
        if pending is None or pending.stamp.born != row.born:
            pending = PendingRow(stamp_of(row), self.clock.monotonic())
            self.pending[row.name] = pending
        return pending

    def record_removal(
        self, upstream: upstreams.Upstream, is_certain: bool = True
    ) -> None:
        """Record that an upstream was removed.

        Args:
            upstream: What was known of it.
            is_certain: See ``Tombstone``.
        """
        self.discard_pending(upstream.name)
        self.tombstones[upstream.name] = Tombstone(
            stamp_of(upstream), is_certain
        )
        self.tombstones.move_to_end(upstream.name)
        if len(self.tombstones) > MAX_TOMBSTONES:
            self.tombstones.popitem(last=False)

    def may_be_present(self, name: str) -> bool:
        """Return whether a removed upstream may be there all the same.

        Args:
            name: Its name.
        """
        tombstone = self.tombstones.get(name)
        return tombstone is not None and not tombstone.is_certain

    def record_applied(self, row: upstreams.Upstream) -> None:
        """Forget what stood against an upstream whose row is applied.

        Args:
            row: The row.
        """
        self.tombstones.pop(row.name, None)
        self.discard_pending(row.name)

    def first_sequence_of(self, row: upstreams.Upstream) -> int:
        """Return the lowest sequence number that was seen of a process.

        Args:
            row: A row of the process, which is applied.
        """
        pending = self.pending.get(row.name)
        if pending is not None and pending.stamp.born == row.born:
            return pending.stamp.sequence
        return row.first_sequence or row.sequence

    def discard_missing(self, present: typing.Container[str]) -> None:
        """Forget the rows that were held back and have been removed.

        Args:
            present: Names of all upstreams with a row.
        """
        for name in [n for n in self.held_back if n not in present]:
            self.discard_pending(name)

    def discard_pending(self, name: str) -> None:
        """Forget a row that is held back no longer.

        Args:
            name: Name of its upstream.
        """
        self.pending.pop(name, None)
        self.held_back.discard(name)


_RULES: typing.Mapping[
    Relation, typing.Callable[[RowOrder, upstreams.Upstream], bool]
] = {
    Relation.NEWER: RowOrder._accept,
    Relation.STALE: RowOrder._reject,
    Relation.REAPPEARED: RowOrder._has_resumed,
    Relation.OLDER_PROCESS: RowOrder._has_progressed,
}
