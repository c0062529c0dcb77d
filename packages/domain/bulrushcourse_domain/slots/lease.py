"""The lease of a pool in the table, as one entry sees it."""

import enum
import math

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.slots import timing


class LeaseWriteResult(enum.Enum):
    """What the writer knows about the result of a write of the lease row."""

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
        renewal: Identifier of the write that made this version.
    """

    version: int = 0
    entry: str = ''
    holder: str = ''
    renewal: str = ''


@attrs.frozen
class LeaseWrite:
    """A compare-and-set of the lease row.

    Attributes:
        expected: Version that the row must have for the write to apply.
        entry: Name of the writing entry.
        holder: Incarnation that will hold the lease; empty to release it.
        renewal: Identifier of the write, by which its writer recognises it
            if the response is lost.
    """

    expected: int
    entry: str
    holder: str
    renewal: str


@attrs.define
class PoolLease:
    """Observes, acquires, renews and releases the lease of one pool.

    Attributes:
        clock: Source of time.
        entry: Name of this entry.
        incarnation: Identifier of this run of the entry.
        durations: Durations of leases and promises.
        row: Last row that was read; ``None`` before the first read, and
            after a write with a known result until the next read.
        row_seen_at: Clock seconds at which that version was first read.
        valid_until: Clock seconds at which this entry's lease expires.
        pending: Write of which the result is unknown.
        sent_at: Clock seconds just before the last write was sent.
        write_count: Number of writes so far.
    """

    clock: clocks.Clock
    entry: str
    incarnation: str
    durations: timing.OwnershipDurations = timing.OwnershipDurations()
    row: LeaseRow | None = None
    row_seen_at: float = math.inf
    valid_until: float = -math.inf
    pending: LeaseWrite | None = None
    sent_at: float = -math.inf
    write_count: int = 0

    def is_held(self) -> bool:
        """Return whether this entry holds the lease by its own clock."""
        return self.clock.monotonic() < self.valid_until

    def may_be_held(self) -> bool:
        """Return whether the lease is held if the pending write committed."""
        pending_until = self.sent_at + self.durations.lease_s
        pending = self.pending is not None
        now = self.clock.monotonic()
        return self.is_held() or (pending and now < pending_until)

    def observe(self, row: LeaseRow) -> None:
        """Update the state from a row that was read.

        Args:
            row: The row; version 0 if it is absent.
        """
        if self.row is not None and row.version < self.row.version:
            return
        if row != self.row:
            self.row_seen_at = self.clock.monotonic()
        self.row = row
        pending = self.pending
        if pending is not None and row.renewal == pending.renewal:
            self._confirm()
        elif pending is not None and row.version > pending.expected:
            self.pending = None
        if row.holder != self.incarnation:
            self.valid_until = -math.inf

    def free_for_s(self) -> float:
        """Return for how many seconds the lease has been free for this entry.

        Negative if it is not free. A released lease is free from the time at
        which the release was read. Another entry's lease is free once its
        row has not changed for the lease duration plus a margin for clock
        drift.
        """
        now = self.clock.monotonic()
        if self.row is None:
            return -math.inf
        if self.row.holder in ('', self.incarnation):
            return now - self.row_seen_at
        return (
            now
            - self.row_seen_at
            - self.durations.with_drift_margin(self.durations.lease_s)
        )

    def plan_write(self, holder: str) -> LeaseWrite:
        """Return a write based on the last row read, to be sent immediately.

        If it commits, the lease is valid from now, not from the response.

        Args:
            holder: This incarnation, or empty to release the lease.
        """
        self.write_count += 1
        renewal = f'{self.incarnation}-{self.write_count}'
        write = LeaseWrite(self.row.version, self.entry, holder, renewal)
        self.sent_at = self.clock.monotonic()
        self.pending = write if holder else None
        if not holder:
            self.valid_until = -math.inf
        return write

    def record_write_result(
        self, write: LeaseWrite, result: LeaseWriteResult
    ) -> None:
        """Record the result of a write.

        Args:
            write: The write.
            result: What is known about it. After ``UNKNOWN`` the next row
                read shows whether the write was applied.
        """
        if result is not LeaseWriteResult.UNKNOWN:
            # The version of the row is unknown until the next read.
            self.row = None
        if write != self.pending:
            return
        if result is LeaseWriteResult.COMMITTED:
            self._confirm()
        elif result is LeaseWriteResult.CONFLICT:
            self.pending = None

    def _confirm(self) -> None:
        self.valid_until = self.sent_at + self.durations.lease_s
        self.pending = None
