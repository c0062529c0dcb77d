"""Upstreams in use, and what has to follow each change of one."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.store import position as positions
from bulrushcourse_domain.store import store_era as store_eras
from bulrushcourse_domain.upstreams import address_bindings
from bulrushcourse_domain.upstreams import candidates as candidate_upstreams
from bulrushcourse_domain.upstreams import change_history
from bulrushcourse_domain.upstreams import cold_periods
from bulrushcourse_domain.upstreams import newer_states
from bulrushcourse_domain.upstreams import returned_rows
from bulrushcourse_domain.upstreams import row_expiry
from bulrushcourse_domain.upstreams import row_order
from bulrushcourse_domain.upstreams import upstream as upstreams

# An upstream counts as cold for this much longer than its row says, since rows
# are written only at each heartbeat.
WARMUP_MARGIN_S = 0.3


@attrs.define
class ListedUpstreams:
    """Upstreams in use, as of a position in the store.

    Attributes:
        clock: Source of time.
        store_era: The era of the store.
        position: Latest position in the store that was applied.
        by_name: Upstreams by name.
        cold: Upstreams that are warming up.
        addresses: Proofs that upstreams still have the addresses in their
            rows.
        expiry: Upstreams that are kept although their rows are missing.
        digest: Exclusive or of the digests of all upstreams in ``by_name``.
        history: Positions at which upstreams were changed and removed.
        names: Names of the upstreams by their short identifiers.
        returned: Decides which rows of a copy are held back.
        order: Decides which rows are newer than what is known.
        candidates: Upstreams that may get new requests.
    """

    clock: clocks.Clock
    store_era: store_eras.StoreEra
    position: positions.Position = positions.START
    by_name: dict[str, upstreams.Upstream] = attrs.field(factory=dict)
    expiry: row_expiry.RowExpiry = attrs.field(factory=row_expiry.RowExpiry)
    digest: int = 0
    history: change_history.ChangeHistory = attrs.field(
        factory=change_history.ChangeHistory
    )
    names: dict[int, str] = attrs.field(factory=dict)
    returned: returned_rows.ReturnedRows = attrs.field(init=False)
    order: row_order.RowOrder = attrs.field(init=False)
    cold: cold_periods.ColdPeriods = attrs.field(init=False)
    addresses: address_bindings.AddressBindings = attrs.field(init=False)
    candidates: candidate_upstreams.Candidates = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the parts that follow the upstreams of this directory."""
        self.returned = returned_rows.ReturnedRows(self.clock, self.store_era)
        self.order = row_order.RowOrder(self.clock)
        self.cold = cold_periods.ColdPeriods(self.clock)
        self.addresses = address_bindings.AddressBindings(self.clock)
        self.candidates = candidate_upstreams.Candidates(
            self.clock, self.by_name, self.expiry
        )

    def lists(self, upstream: upstreams.Upstream) -> bool:
        """Return whether an upstream's process is the present one of its name.

        Args:
            upstream: The upstream, as it was listed earlier.
        """
        present = self.by_name.get(upstream.name)
        return (
            present is not None and present.incarnation == upstream.incarnation
        )

    def listed_digest(self) -> int:
        """Return the digest of the upstreams that have a row."""
        digest = self.digest
        for name in self.expiry.kept_until:
            digest ^= self.by_name[name].digest
        return digest

    def remove(self, name: str, is_certain: bool = True) -> upstreams.Change:
        """Remove an upstream and return the change.

        Args:
            name: Name of the upstream.
            is_certain: See ``row_order.Tombstone``.
        """
        self.expiry.release(name)
        self.candidates.clear_caches()
        self.cold.discard(name)
        self.addresses.discard(name)
        self.history.record_removal(name, self.position)
        self.names.pop(upstreams.short_id(name), None)
        removed = self.by_name.pop(name)
        self.returned.record_departure(removed.incarnation)
        self.order.record_removal(removed, is_certain)
        self.digest ^= removed.digest
        return upstreams.Change(removed, 'gone')

    def merge(
        self, upstream: upstreams.Upstream, now: float, has_row: bool = True
    ) -> typing.Iterator[upstreams.Change]:
        """Add or replace an upstream, unless the row may be outdated.

        Args:
            upstream: The row.
            now: Current time in seconds.
            has_row: Whether it is in the store now, rather than kept by
                another VM.

        Yields:
            The changes that it made.
        """
        previous = self.by_name.get(upstream.name)
        if not (
            self.order.may_apply(upstream, previous)
            and self.returned.may_apply(upstream, previous, has_row)
        ):
            if has_row:
                self._hold_back(upstream, previous)
            return
        if has_row:
            self.expiry.release(upstream.name)
        elif previous is None:
            self.expiry.awaited.add(upstream.name)
        upstream = attrs.evolve(
            upstream, first_sequence=self._first_sequence(upstream, previous)
        )
        self.by_name[upstream.name] = upstream
        self.returned.record_presence(upstream)
        self.order.record_applied(upstream)
        if previous == upstream:
            return
        self._record_change(upstream, previous, now)
        if previous is None:
            yield upstreams.Change(upstream, 'joined')
        elif previous.born != upstream.born:
            yield upstreams.Change(upstream, 'restarted')
        if upstream.draining and (previous is None or not previous.draining):
            yield upstreams.Change(upstream, 'draining')

    def _first_sequence(
        self, row: upstreams.Upstream, previous: upstreams.Upstream | None
    ) -> int:
        if previous is not None and previous.born == row.born:
            return previous.first_sequence
        return self.order.first_sequence_of(row)

    def _record_change(
        self,
        upstream: upstreams.Upstream,
        previous: upstreams.Upstream | None,
        now: float,
    ) -> None:
        self.candidates.clear_caches()
        self.digest ^= upstream.digest
        if previous is not None:
            self.digest ^= previous.digest
            if previous.born != upstream.born:
                self.returned.record_departure(previous.incarnation)
        self.names[upstreams.short_id(upstream.name)] = upstream.name
        self.addresses.record_row(upstream)
        self.history.record_change(upstream.name, self.position)
        if upstream.cold_for_s > 0:
            self.cold.begin(
                upstream.name, now + upstream.cold_for_s + WARMUP_MARGIN_S
            )

    def _hold_back(
        self, row: upstreams.Upstream, previous: upstreams.Upstream | None
    ) -> None:
        if previous is None:
            return
        # Other VMs judge what they are sent by the version of the row.
        self.by_name[row.name] = attrs.evolve(previous, version=row.version)
        if previous.born == row.born:
            self.expiry.release(row.name)

    def states_of_held_back(self) -> tuple[newer_states.NewerState, ...]:
        """Return the states because of which rows are held back."""
        return newer_states.of_held_back(self.order, self.by_name)

    def apply_states(
        self, states: typing.Iterable[newer_states.NewerState]
    ) -> tuple[upstreams.Change, ...]:
        """Apply the states because of which another VM holds rows back.

        This VM may have started after they were written.

        Args:
            states: The states.

        Returns:
            The changes that they made.
        """
        changes: list[upstreams.Change] = []
        for newer in states:
            known = self.by_name.get(newer.name)
            if known is not None and newer_states.overrules(newer, known):
                changes.extend(self._overrule(known, newer))
        return tuple(changes)

    def _overrule(
        self, known: upstreams.Upstream, newer: newer_states.NewerState
    ) -> typing.Iterator[upstreams.Change]:
        if newer.state is newer_states.State.GONE:
            yield self.remove(known.name)
        elif newer.state is newer_states.State.DRAINING:
            draining = attrs.evolve(
                known,
                draining=True,
                born=newer.stamp.born,
                sequence=newer.stamp.sequence,
            )
            yield from self.merge(draining, self.clock.monotonic())

    def evacuate(
        self, failure_domains: frozenset[str], warmup_s: float
    ) -> frozenset[str]:
        """Set the failure domains that must get no requests.

        Upstreams of failure domains that are no longer evacuated count as
        cold, since they may have become cold without requests.

        Args:
            failure_domains: All failure domains under evacuation.
            warmup_s: Longest warm-up of any service.

        Returns:
            The failure domains that are no longer evacuated.
        """
        returned = self.candidates.evacuated - failure_domains
        self.candidates.evacuated = failure_domains
        self.candidates.clear_caches()
        until = self.clock.monotonic() + warmup_s + WARMUP_MARGIN_S
        for upstream in self.by_name.values():
            if upstream.failure_domain in returned:
                self.cold.extend(upstream.name, until)
        return returned
