"""The directory of registered upstreams, kept up to date from the store."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.upstreams import address_bindings
from bulrushcourse_domain.upstreams import candidates as candidate_upstreams
from bulrushcourse_domain.upstreams import change_history
from bulrushcourse_domain.upstreams import cold_periods
from bulrushcourse_domain.upstreams import row_expiry
from bulrushcourse_domain.upstreams import upstream as upstreams

# An upstream counts as cold for this much longer than its row says, since rows
# are written only at each heartbeat.
WARMUP_MARGIN_S = 0.3


@attrs.frozen
class Change:
    """A change of one upstream between two versions of the store.

    Attributes:
        upstream: The upstream after the change, or before its removal.
        kind: ``joined``, ``restarted``, ``draining``, ``gone``, or ``kept``
            for one whose row is missing and may have expired in an outage.
    """

    upstream: upstreams.Upstream
    kind: str


@attrs.define
class UpstreamDirectory:
    """Registered upstreams, as of a version of the store.

    Attributes:
        clock: Source of time.
        version: Newest version of the store that was applied.
        read_at: Time when that version was read.
        by_name: Upstreams by name.
        cold: Upstreams that are warming up.
        addresses: Proofs that upstreams still have the addresses in their
            rows.
        expiry: Upstreams that are kept although their rows are missing.
        exact_version: Newest version in which no upstream was kept. Changes
            that other VMs send must begin there, since a later version may
            lack the removal of a kept upstream.
        digest: Exclusive or of the digests of all upstreams in ``by_name``.
        has_diverged: Whether changes from another VM led to other upstreams
            than the sender has. Only a complete directory is applied then.
        history: Versions in which upstreams were changed and removed.
        names: Names of the upstreams by their short identifiers.
        candidates: Upstreams that may get new requests.
    """

    clock: clocks.Clock
    version: int = 0
    read_at: float = float('-inf')
    by_name: dict[str, upstreams.Upstream] = attrs.field(factory=dict)
    expiry: row_expiry.RowExpiry = attrs.field(factory=row_expiry.RowExpiry)
    exact_version: int = 0
    digest: int = 0
    has_diverged: bool = False
    history: change_history.ChangeHistory = attrs.field(
        factory=change_history.ChangeHistory
    )
    names: dict[int, str] = attrs.field(factory=dict)
    cold: cold_periods.ColdPeriods = attrs.field(init=False)
    addresses: address_bindings.AddressBindings = attrs.field(init=False)
    candidates: candidate_upstreams.Candidates = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the parts that follow the upstreams of this directory."""
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

    def mark_store_unavailable(self) -> None:
        """Record a failed query of the store; rows may expire meanwhile."""
        self.expiry.record_failure(self.clock.monotonic())

    def apply_snapshot(
        self, snapshot: upstreams.Snapshot
    ) -> tuple[Change, ...]:
        """Apply a snapshot of the store unless a newer one was applied.

        Args:
            snapshot: All rows of the store.

        Returns:
            The changes that it made.
        """
        if snapshot.version < self.version:
            return ()
        now = self.clock.monotonic()
        self.expiry.record_answer(now)
        changes = list(self.remove_expired())
        if not self.version:
            self.history.restart_at(snapshot.version)
        self.version = snapshot.version
        self.read_at = now
        self.has_diverged = False
        listed = {u.name: u for u in snapshot.upstreams}
        changes.extend(self._drop_missing(listed, now))
        for upstream in listed.values():
            changes.extend(self._merge(upstream, now))
        self._update_exact_version()
        return tuple(changes)

    def _drop_missing(
        self, listed: typing.Mapping[str, upstreams.Upstream], now: float
    ) -> typing.Iterator[Change]:
        missing = [n for n in self.by_name if n not in listed]
        before = frozenset(self.expiry.kept_until)
        left = self.expiry.keep_missing(self.by_name, missing, now)
        for name in missing:
            if name in left:
                yield self._remove(name)
            elif name not in before:
                yield Change(self.by_name[name], 'kept')
        self.candidates.clear_caches()

    def remove_expired(self) -> tuple[Change, ...]:
        """Remove the kept upstreams whose time has passed.

        Returns:
            The changes that it made.
        """
        ended = self.expiry.ended(self.clock.monotonic())
        changes = tuple(self._remove(name) for name in ended)
        self._update_exact_version()
        return changes

    def _update_exact_version(self) -> None:
        if not self.expiry.kept_until and not self.has_diverged:
            self.exact_version = self.version

    def _listed_digest(self) -> int:
        """Return the digest of the upstreams that have a row."""
        digest = self.digest
        for name in self.expiry.kept_until:
            digest ^= self.by_name[name].digest
        return digest

    def _remove(self, name: str) -> Change:
        self.expiry.release(name)
        self.candidates.clear_caches()
        self.cold.discard(name)
        self.addresses.discard(name)
        self.history.record_removal(name, self.version)
        self.names.pop(upstreams.short_id(name), None)
        removed = self.by_name.pop(name)
        self.digest ^= removed.digest
        return Change(removed, 'gone')

    def _merge(
        self, upstream: upstreams.Upstream, now: float
    ) -> typing.Iterator[Change]:
        self.expiry.release(upstream.name)
        previous = self.by_name.get(upstream.name)
        if previous == upstream:
            return
        self.candidates.clear_caches()
        self.digest ^= upstream.digest
        if previous is not None:
            self.digest ^= previous.digest
        self.by_name[upstream.name] = upstream
        self.names[upstreams.short_id(upstream.name)] = upstream.name
        self.addresses.record_row(upstream)
        self.history.record_change(upstream.name, self.version)
        if upstream.cold_for_s > 0:
            self.cold.begin(
                upstream.name, now + upstream.cold_for_s + WARMUP_MARGIN_S
            )
        if previous is None:
            yield Change(upstream, 'joined')
        elif previous.born != upstream.born:
            yield Change(upstream, 'restarted')
        if upstream.draining and (previous is None or not previous.draining):
            yield Change(upstream, 'draining')

    def delta_since(self, base: int) -> upstreams.DirectoryDelta:
        """Return the changes after a version of the store.

        Args:
            base: Exact version of the receiver.
        """
        now = self.clock.monotonic()
        if not self.history.covers(base):
            base = 0
        return upstreams.DirectoryDelta(
            base=base,
            version=self.version,
            changed=tuple(
                self.by_name[name] for name in self.history.changed_since(base)
            ),
            gone=self.history.removed_since(base),
            age_s=max(0.0, now - self.read_at),
            kept={
                name: max(0.0, until - now)
                for name, until in self.expiry.kept_until.items()
            },
            digest=self._listed_digest(),
        )

    def apply_delta(
        self, delta: upstreams.DirectoryDelta
    ) -> tuple[Change, ...]:
        """Apply a delta from another VM.

        It is ignored if its base is newer than this directory's version or
        its version is older.

        Args:
            delta: Changes since a version of the store.

        Returns:
            The changes that it made.
        """
        if delta.base > self.exact_version or delta.version < self.version:
            return ()
        now = self.clock.monotonic()
        self.expiry.record_answer(now - delta.age_s)
        self.version = delta.version
        self.read_at = max(self.read_at, now - delta.age_s)
        gone = list(delta.gone)
        if not delta.base:
            self.has_diverged = False
            self.history.restart_at(delta.version)
            kept = {upstream.name for upstream in delta.changed}
            gone = [name for name in self.by_name if name not in kept]
        changes = [self._remove(n) for n in gone if n in self.by_name]
        for upstream in delta.changed:
            changes.extend(self._merge(upstream, now))
        changes.extend(self._adopt_kept(delta.kept, now))
        if delta.digest not in (None, self._listed_digest()):
            # Upstreams may have come and gone, or left and come back, between
            # two queries of the sender.
            self.has_diverged = True
            self.exact_version = 0
        self._update_exact_version()
        return tuple(changes)

    def _adopt_kept(
        self, kept: typing.Mapping[str, float], now: float
    ) -> list[Change]:
        """Keep what the sender of a delta keeps.

        It has rows for the others, unless they joined since the exact version
        and it never had them.
        """
        resolved = [n for n in self.expiry.kept_until if n not in kept]
        changes = []
        for name in resolved:
            if self.history.changed_in[name] > self.exact_version:
                changes.append(self._remove(name))
            self.expiry.release(name)
        for name, remaining_s in kept.items():
            if name not in self.by_name:
                continue
            if name not in self.expiry.kept_until:
                changes.append(Change(self.by_name[name], 'kept'))
            self.expiry.keep(name, now + remaining_s)
        self.candidates.clear_caches()
        return changes

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
