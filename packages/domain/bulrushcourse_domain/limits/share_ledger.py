"""The aggregate that decides how much of a limit this entry may use."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.limits import floor_binding as floors
from bulrushcourse_domain.limits import lease_monitor
from bulrushcourse_domain.limits import ledger as ledgers

RENEWAL_S = 5.0


@attrs.frozen
class PendingWrite:
    """A write of which the outcome is unknown.

    Attributes:
        expected: Version that the row must have for the write to apply.
        sent_at: Clock seconds just before the write was sent.
        elastic: Elastic units per second usable after the commit.
        floor: Floor units per second reserved after the commit.
    """

    expected: int
    sent_at: float
    elastic: int
    floor: int


@attrs.define
class ShareLedger:
    """One entry's shares of one limit.

    The caller reads the row, passes it to ``observe``, writes what
    ``propose`` returns and passes the result to ``confirm_write`` or
    ``reject_write``. Shares shrink before the write is sent and grow only
    after its commit is known.

    Attributes:
        clock: Source of time that also advances while the VM is suspended.
        holder: Identifier of this incarnation, never reused.
        binding: Binding of the floor share to this VM.
        terms: Newest terms of the configuration or the row.
        monitor: Observes the other holders.
        ledger: The row as it was last read.
        version: Version of the row as it was last read, 0 if absent.
        reserved_floor: Floor units per second that the row reserves for this
            entry; ``None`` until this incarnation has read the row.
        elastic: Elastic units per second usable until ``expires_at``.
        expires_at: Clock seconds at which the lease expires.
        pending_writes: Writes of unknown outcome, by renewal.
        write_count: Number of writes proposed.
    """

    clock: clocks.Clock
    holder: str
    binding: floors.FloorBinding
    terms: ledgers.Terms
    monitor: lease_monitor.LeaseMonitor
    ledger: ledgers.Ledger | None = None
    version: int = 0
    reserved_floor: int | None = None
    elastic: int = 0
    expires_at: float = float('-inf')
    pending_writes: dict[str, PendingWrite] = attrs.field(factory=dict)
    write_count: int = 0

    def configure(self, terms: ledgers.Terms) -> None:
        """Apply the terms of a configuration if they are newer.

        Args:
            terms: Terms of the configuration.
        """
        if terms.version > self.terms.version:
            self.terms = terms

    def update_vm_list(self, entries_by_vm: typing.Mapping[str, str]) -> None:
        """Apply the platform's VM list, requested after the row was read.

        Args:
            entries_by_vm: Entry of each listed VM by the VM's identifier.
        """
        self.binding.update_vm_list(entries_by_vm)
        if not self.binding.is_listed:
            # Observers reclaim the shares of a VM that is not listed.
            self.elastic = 0
        self.monitor.update_vm_list(entries_by_vm, self.ledger)

    @property
    def floor(self) -> int:
        """Floor units per second that this entry may use now."""
        if not self.is_bound:
            return 0
        floor = self.terms.floor_share(self.binding.entry)
        return (
            floor
            if self.reserved_floor is None
            else min(floor, self.reserved_floor)
        )

    @property
    def usable(self) -> int:
        """Units per second that this entry may use now."""
        is_leased = self.clock.monotonic() < self.expires_at
        return self.floor + (self.elastic if is_leased else 0)

    def observe(self, ledger: ledgers.Ledger | None, version: int) -> None:
        """Update the shares from the row as it was read.

        A committed write of which the response was lost is recognised by its
        renewal. Pending writes that expect an older version can no longer
        be applied.

        Args:
            ledger: Content of the row, ``None`` if absent.
            version: Version of the row, 0 if absent.
        """
        self.ledger, self.version = ledger, version
        if ledger is None:
            return
        self.configure(ledger.terms)
        self.monitor.observe_ledger(ledger)
        lease = ledger.leases.get(self.holder)
        if lease is None:
            self.elastic = 0
        elif lease.renewal in self.pending_writes:
            self._apply_write(self.pending_writes.pop(lease.renewal))
        self.pending_writes = {
            renewal: write
            for renewal, write in self.pending_writes.items()
            if write.expected >= version
        }
        reserved = ledger.floors.get(self.binding.entry, 0)
        pending = [write.floor for write in self.pending_writes.values()]
        self.reserved_floor = min([reserved, *pending])

    def is_due(self, demand: int) -> bool:
        """Return whether this entry has something to write.

        Args:
            demand: Units per second that this entry needs.
        """
        if self.ledger is None:
            return True
        base = self.ledger.with_terms(self.terms)
        updated = self.monitor.reclaim(base).with_floors_raised()
        reserved = base.floors.get(self.binding.entry, 0)
        return (
            updated != self.ledger
            or self.holder in base.leases
            or (self.binding.is_listed and demand > self.floor)
            or (self.is_bound and reserved > self.floor)
        )

    @property
    def is_bound(self) -> bool:
        """Whether the floor share is bound to this VM."""
        return self.binding.is_usable(self.terms.work_limit_s)

    def propose(self, demand: int, in_use: int) -> ledgers.Ledger:
        """Return the row to write if the row still has the version last read.

        Args:
            demand: Units per second that this entry needs.
            in_use: Units per second that admitted requests still use.
        """
        base = (self.ledger or ledgers.Ledger(self.terms)).with_terms(
            self.terms
        )
        base = self.monitor.reclaim(base).with_floors_raised()
        reserved = base.floors.get(self.binding.entry, 0)
        floor = reserved
        if self.is_bound:
            floor = min(reserved, self.terms.floor_share(self.binding.entry))
        own_floor = floor if self.is_bound else 0
        target, share = self._elastic_shares(base, demand, in_use, own_floor)
        renewal = self._record_pending_write(target, floor)
        extra_demand = (
            max(0, demand - own_floor) if self.binding.is_listed else 0
        )
        lease = ledgers.Lease(
            self.binding.vm_id,
            self.binding.entry,
            share,
            extra_demand,
            renewal,
            self.terms.work_limit_s,
        )
        return base.with_floor(self.binding.entry, floor).with_lease(
            self.holder, lease if share or extra_demand else None
        )

    def confirm_write(self, renewal: str) -> None:
        """Apply the shares of a write that was committed.

        Args:
            renewal: Identifier of the write: ``last_renewal`` when it was
                proposed.
        """
        write = self.pending_writes.pop(renewal, None)
        if write is not None:
            self._apply_write(write)

    def reject_write(self, renewal: str) -> None:
        """Discard a write that failed because the row had another version.

        Args:
            renewal: Identifier of the write: ``last_renewal`` when it was
                proposed.
        """
        self.pending_writes.pop(renewal, None)

    @property
    def last_renewal(self) -> str:
        """Identifier of the write that was proposed last."""
        return f'{self.holder}/{self.write_count}'

    def _elastic_shares(
        self, base: ledgers.Ledger, demand: int, in_use: int, floor: int
    ) -> tuple[int, int]:
        """Return the usable elastic units and those to write to the row.

        The row includes the units of admitted requests until these have
        ended, so that no other holder uses them before.
        """
        old = base.leases.get(self.holder)
        reserved = base.floors.get(self.binding.entry, 0)
        released_floor = reserved - floor if self.is_bound else 0
        available = (old.share if old else 0) + released_floor + base.free
        extra_demand = max(0, demand - floor) if self.binding.is_listed else 0
        demands = {h: lease.demand for h, lease in base.leases.items()}
        demands[self.holder] = extra_demand
        fair = ledgers.fair_shares(base.elastic, demands)[self.holder]
        target = min(fair, available)
        return target, min(available, max(target, in_use - floor))

    def _record_pending_write(self, target: int, floor: int) -> str:
        """Reduce the shares to those proposed and record the pending write."""
        self.elastic = min(self.elastic, target)
        if self.reserved_floor is not None:
            self.reserved_floor = min(self.reserved_floor, floor)
        self.write_count += 1
        self.pending_writes[self.last_renewal] = PendingWrite(
            self.version, self.clock.monotonic(), target, floor
        )
        return self.last_renewal

    def _apply_write(self, write: PendingWrite) -> None:
        """Apply a committed write; its lease starts when it was sent."""
        self.elastic = write.elastic
        self.reserved_floor = write.floor
        self.expires_at = write.sent_at + lease_monitor.LEASE_S


def build_ledger(
    clock: clocks.Clock,
    holder: str,
    vm_id: str,
    entry: str,
    terms: ledgers.Terms,
) -> ShareLedger:
    """Return the shares of an incarnation that has not read the row yet.

    Args:
        clock: Source of time.
        holder: Identifier of the incarnation, never reused.
        vm_id: The platform's identifier of its VM.
        entry: Name of its entry.
        terms: Terms of the active configuration.

    Examples:
        >>> clock = clocks.ManualClock()
        >>> terms = ledgers.Terms(1, 100, ('a', 'b'), 5.0)
        >>> shares = build_ledger(clock, 'vm-1/1', 'vm-1', 'a', terms)
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
        floors.FloorBinding(clock, vm_id, entry),
        terms,
        lease_monitor.LeaseMonitor(clock),
    )
