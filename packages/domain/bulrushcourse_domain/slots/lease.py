"""The lease of a pool in the table, as one entry sees it."""

import enum
import math

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.slots import timing


class LeaseWriteResult(enum.Enum):
    """What is known of a write of the lease row."""

    COMMITTED = 'committed'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


@attrs.frozen
class LeaseRow:
    """The lease row of a pool.

    Attributes:
        version: Version of the row, 0 if it is absent.
        entry: Name of the entry that holds the lease.
        holder: Incarnation that holds the lease; empty if it was released.
        renewal: Identifier of the write.
    """

    version: int = 0
    entry: str = ''
    holder: str = ''
    renewal: str = ''


@attrs.frozen
class LeaseWrite:
    """A compare-and-set of the lease row.

    Attributes:
        expected: Version that the row must have.
        entry: Name of the writing entry.
        holder: Incarnation that is to hold the lease; empty to release it.
        renewal: Identifier of the write, by which its writer recognises it
            after a lost answer.
    """

    expected: int
    entry: str
    holder: str
    renewal: str


@attrs.define
class PoolLease:
    """Observes, takes and renews the lease of one pool.

    Attributes:
        clock: Source of time.
        entry: Name of this entry.
        incarnation: Identifier of this run of the entry.
        times: Durations.
        row: Last row seen; ``None`` until it is read.
        row_since: Clock seconds at which that row was first seen.
        valid_until: Clock seconds at which this entry's lease ends.
        pending: Write whose result is not known.
        sent_at: Clock seconds before the last write was sent.
        writes: Number of writes so far.
    """

    clock: clocks.Clock
    entry: str
    incarnation: str
    times: timing.OwnershipTimes = timing.OwnershipTimes()
    row: LeaseRow | None = None
    row_since: float = math.inf
    valid_until: float = -math.inf
    pending: LeaseWrite | None = None
    sent_at: float = -math.inf
    writes: int = 0

    def is_held(self) -> bool:
        """Return whether this entry holds the lease by its own clock."""
        return self.clock.monotonic() < self.valid_until

    def may_become_held(self) -> bool:
        """Return whether the lease is held or a write may prove it so."""
        pending_until = self.sent_at + self.times.lease_s
        pending = self.pending is not None
        now = self.clock.monotonic()
        return self.is_held() or (pending and now < pending_until)

    def observe(self, row: LeaseRow) -> None:
        """Take over a row that was read.

        Args:
            row: The row; one of version 0 if it is absent.
        """
        if self.row is not None and row.version < self.row.version:
            return
        if self.row is None or row.version != self.row.version:
            self.row_since = self.clock.monotonic()
        self.row = row
        pending = self.pending
        if pending is not None and row.renewal == pending.renewal:
            self._confirm()
        elif pending is not None and row.version > pending.expected:
            self.pending = None
        if row.holder != self.incarnation:
            self.valid_until = -math.inf

    def unchanged_for(self) -> float:
        """Return how long the lease has been free, negative if it is not.

        A released lease is free from when that was seen. The lease of
        another entry is free once its renewal stayed unchanged for the
        lease time, as measured by the slowest clock.
        """
        now = self.clock.monotonic()
        if self.row is None:
            return -math.inf
        if self.row.holder in ('', self.incarnation):
            return now - self.row_since
        return now - self.row_since - self.times.outlast(self.times.lease_s)

    def write(self, holder: str) -> LeaseWrite:
        """Return a write of the row last seen and count the lease from now.

        Args:
            holder: This incarnation, or empty to release the lease.
        """
        self.writes += 1
        renewal = f'{self.incarnation}-{self.writes}'
        planned = LeaseWrite(self.row.version, self.entry, holder, renewal)
        self.sent_at = self.clock.monotonic()
        self.pending = planned if holder else None
        if not holder:
            self.valid_until = -math.inf
        return planned

    def finish(self, write: LeaseWrite, result: LeaseWriteResult) -> None:
        """Take over the result of a write.

        Args:
            write: The write.
            result: What is known of it. After ``UNKNOWN`` the next row read
                tells whether the write took effect.
        """
        if result is not LeaseWriteResult.UNKNOWN:
            # The version after the write is not known until it is read.
            self.row = None
        if write != self.pending:
            return
        if result is LeaseWriteResult.COMMITTED:
            self._confirm()
        elif result is LeaseWriteResult.CONFLICT:
            self.pending = None

    def _confirm(self) -> None:
        self.valid_until = self.sent_at + self.times.lease_s
        self.pending = None
