"""The aggregate that decides how much of a cap this entry may use."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.limits import floor_binding as floors
from bulrushcourse_domain.limits import lease_monitor
from bulrushcourse_domain.limits import ledger as ledgers

RENEWAL_S = 5.0


@attrs.frozen
class Attempt:
    """A write whose outcome is not known yet.

    Attributes:
        expected: Version of the row that the write expects.
        sent_at: Clock seconds before the write was sent.
        elastic: Elastic units per second usable once it is committed.
        floor: Floor units per second reserved once it is committed.
    """

    expected: int
    sent_at: float
    elastic: int
    floor: int


@attrs.define
class ShareLedger:
    """Holds one entry's shares of one limit.

    The caller reads the row, passes it to ``observe``, writes what
    ``propose`` returns and reports the answer. Shares shrink before the
    write is sent and grow only after its commit is known.

    Attributes:
        clock: Source of time; it counts suspended time.
        holder: Identifier of this incarnation, unique for good.
        binding: Binding of the floor share to this VM.
        terms: Newest terms known, of the configuration or the row.
        monitor: Observation of the other holders.
        ledger: The row as it was last read.
        version: Version of the row as it was last read, 0 if absent.
        reserved: Floor that the row reserves for this seat; ``None`` while
            this incarnation has not read the row.
        elastic: Elastic units per second usable until ``expires``.
        expires: Clock seconds when the lease ends.
        attempts: Writes without a known outcome by renewal.
        sent: Number of writes sent.
    """

    clock: clocks.Clock
    holder: str
    binding: floors.FloorBinding
    terms: ledgers.Terms
    monitor: lease_monitor.LeaseMonitor
    ledger: ledgers.Ledger | None = None
    version: int = 0
    reserved: int | None = None
    elastic: int = 0
    expires: float = float('-inf')
    attempts: dict[str, Attempt] = attrs.field(factory=dict)
    sent: int = 0

    def configure(self, terms: ledgers.Terms) -> None:
        """Take up the terms of a configuration if they are newer.

        Args:
            terms: Terms of the configuration in force.
        """
        if terms.version > self.terms.version:
            self.terms = terms

    def update_vm_list(self, seats: typing.Mapping[str, str]) -> None:
        """Take up an answer of the platform's list, asked after the row.

        Args:
            seats: Seat of each listed VM by the VM's identifier.
        """
        self.binding.update_vm_list(seats)
        if not self.binding.listed:
            # Observers take the shares of a VM that is not listed.
            self.elastic = 0
        self.monitor.update_vm_list(seats, self.ledger)

    @property
    def floor(self) -> int:
        """Floor units per second that this entry may use now."""
        if not self.is_bound:
            return 0
        due = self.terms.floor(self.binding.seat)
        return due if self.reserved is None else min(due, self.reserved)

    @property
    def usable(self) -> int:
        """Units per second that this entry may use now."""
        held = self.clock.monotonic() < self.expires
        return self.floor + (self.elastic if held else 0)

    def observe(self, ledger: ledgers.Ledger | None, version: int) -> None:
        """Take up the row as it was read.

        A write whose answer was lost is recognised by its renewal. Writes
        that expect an older version can no longer take effect.

        Args:
            ledger: Content of the row, ``None`` if absent.
            version: Version of the row, 0 if absent.
        """
        self.ledger, self.version = ledger, version
        if ledger is None:
            return
        self.configure(ledger.terms)
        self.monitor.update_ledger(ledger)
        lease = ledger.leases.get(self.holder)
        if lease is None:
            self.elastic = 0
        elif lease.renewal in self.attempts:
            self._adopt(self.attempts.pop(lease.renewal))
        self.attempts = {
            renewal: attempt
            for renewal, attempt in self.attempts.items()
            if attempt.expected >= version
        }
        reserved = ledger.floors.get(self.binding.seat, 0)
        alive = [attempt.floor for attempt in self.attempts.values()]
        self.reserved = min([reserved, *alive])

    def is_due(self, demand: int) -> bool:
        """Return whether this entry has something to write.

        Args:
            demand: Units per second that this entry could use.
        """
        if self.ledger is None:
            return True
        base = self.ledger.under(self.terms)
        kept = self.monitor.reclaim(base).with_floors_raised()
        reserved = base.floors.get(self.binding.seat, 0)
        return (
            kept != self.ledger
            or self.holder in base.leases
            or (self.binding.listed and demand > self.floor)
            or (self.is_bound and reserved > self.floor)
        )

    @property
    def is_bound(self) -> bool:
        """Whether the floor share is bound to this VM."""
        return self.binding.is_usable(self.terms.work_limit_s)

    def propose(self, demand: int, in_use: int) -> ledgers.Ledger:
        """Return the row to write, expected at the version last read.

        Args:
            demand: Units per second that this entry could use.
            in_use: Units per second that admitted work still takes up.
        """
        base = (self.ledger or ledgers.Ledger(self.terms)).under(self.terms)
        base = self.monitor.reclaim(base).with_floors_raised()
        reserved = base.floors.get(self.binding.seat, 0)
        floor = reserved
        if self.is_bound:
            floor = min(reserved, self.terms.floor(self.binding.seat))
        own_floor = floor if self.is_bound else 0
        target, share = self._shares(base, demand, in_use, own_floor)
        renewal = self._note_attempt(target, floor)
        wanted = max(0, demand - own_floor) if self.binding.listed else 0
        lease = ledgers.Lease(
            self.binding.vm_id,
            self.binding.seat,
            share,
            wanted,
            renewal,
            self.terms.work_limit_s,
        )
        return base.with_floor(self.binding.seat, floor).with_lease(
            self.holder, lease if share or wanted else None
        )

    def confirm_write(self, renewal: str) -> None:
        """Take up that a write took effect.

        Args:
            renewal: The write, ``last_renewal`` when it was proposed.
        """
        attempt = self.attempts.pop(renewal, None)
        if attempt is not None:
            self._adopt(attempt)

    def reject_write(self, renewal: str) -> None:
        """Take up that a write met another version and had no effect.

        Args:
            renewal: The write, ``last_renewal`` when it was proposed.
        """
        self.attempts.pop(renewal, None)

    @property
    def last_renewal(self) -> str:
        """Identifier of the write proposed last."""
        return f'{self.holder}/{self.sent}'

    def _shares(
        self, base: ledgers.Ledger, demand: int, in_use: int, floor: int
    ) -> tuple[int, int]:
        """Return usable elastic units and those that the row must state.

        Admitted work keeps its part of the cap in the row until it has
        ended, so that nobody takes it up before.
        """
        old = base.leases.get(self.holder)
        reserved = base.floors.get(self.binding.seat, 0)
        over = reserved - floor if self.is_bound else 0
        room = (old.share if old else 0) + over + base.free
        wanted = max(0, demand - floor) if self.binding.listed else 0
        demands = {h: lease.demand for h, lease in base.leases.items()}
        demands[self.holder] = wanted
        fair = ledgers.fair_shares(base.elastic, demands)[self.holder]
        target = min(fair, room)
        return target, min(room, max(target, in_use - floor))

    def _note_attempt(self, target: int, floor: int) -> str:
        """Shrink shares to what is proposed and remember when."""
        self.elastic = min(self.elastic, target)
        if self.reserved is not None:
            self.reserved = min(self.reserved, floor)
        self.sent += 1
        self.attempts[self.last_renewal] = Attempt(
            self.version, self.clock.monotonic(), target, floor
        )
        return self.last_renewal

    def _adopt(self, attempt: Attempt) -> None:
        """Count the lease from before its write was sent."""
        self.elastic = attempt.elastic
        self.reserved = attempt.floor
        self.expires = attempt.sent_at + lease_monitor.LEASE_S


def open_ledger(
    clock: clocks.Clock,
    holder: str,
    vm_id: str,
    seat: str,
    terms: ledgers.Terms,
) -> ShareLedger:
    """Return the shares of an incarnation that has read nothing yet.

    Args:
        clock: Source of time.
        holder: Identifier of the incarnation, unique for good.
        vm_id: The platform's identifier of its VM.
        seat: Name of its seat.
        terms: Terms of the configuration in force.

    Examples:
        >>> clock = clocks.ManualClock()
        >>> terms = ledgers.Terms(1, 100, ('a', 'b'), 5.0)
        >>> shares = open_ledger(clock, 'vm-1/1', 'vm-1', 'a', terms)
        >>> shares.update_vm_list({'vm-1': 'a'})
        >>> row = shares.propose(demand=60, in_use=0)
        >>> shares.usable
        0
        >>> shares.confirm_write(shares.last_renewal)
        >>> shares.usable, row.free
        (50, 0)
        >>> clock.advance(5.1)
        >>> shares.usable
        75
    """
    return ShareLedger(
        clock,
        holder,
        floors.FloorBinding(clock, vm_id, seat),
        terms,
        lease_monitor.LeaseMonitor(clock),
    )
