"""The directory of registered upstreams, kept up to date from the store."""

import typing

import attrs

from bulrushcourse_domain.store import position as positions
from bulrushcourse_domain.upstreams import listed_upstreams
from bulrushcourse_domain.upstreams import upstream as upstreams

Change = upstreams.Change
WARMUP_MARGIN_S = listed_upstreams.WARMUP_MARGIN_S


@attrs.define
class UpstreamDirectory(listed_upstreams.ListedUpstreams):
    """Registered upstreams, as of a position in the store.

    Attributes:
        read_at: Time when the position was read.
        exact_position: Latest position at which the upstreams were those of
            the rows: none was kept, and no row was held back. Changes that
            other VMs send must begin there, since a later position may lack
            the removal of a kept upstream.
        is_settled: Whether the position was applied after the return of the
            store had settled, so that no row was held back.
        has_diverged: Whether changes from another VM led to other upstreams
            than the sender has. Only a complete directory is applied then.
    """

    read_at: float = float('-inf')
    exact_position: positions.Position = positions.START
    is_settled: bool = True
    has_diverged: bool = False

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
        if self._is_outdated(snapshot.position):
            return ()
        now = self.clock.monotonic()
        self.expiry.record_answer(now)
        changes = list(self.remove_expired())
        self._advance(snapshot.position, now)
        self.read_at = now
        self.has_diverged = False
        listed = {u.name: u for u in snapshot.upstreams}
        changes.extend(self._drop_missing(listed, now, snapshot.unreadable))
        self.order.discard_missing(listed)
        for upstream in listed.values():
            changes.extend(self.merge(upstream, now))
        self._update_exact_position()
        return tuple(changes)

    def _is_outdated(self, position: positions.Position) -> bool:
        return position < self.position or position.era < self.store_era.era

    def _advance(self, position: positions.Position, read_at: float) -> None:
        if position.era != self.position.era or not self.position:
            self.history.restart_at(position)
        if 0 < self.position.era < position.era:
            in_use = (u.name for u in self.by_name.values() if not u.draining)
            self.expiry.record_return(in_use, read_at, self._settled_at())
        self.position = position
        self.is_settled = not self.store_era.is_settling()

    def _settled_at(self) -> float:
        if self.store_era.remaining_s() is None:
            return float('inf')
        return self.store_era.settled_at

    def _drop_missing(
        self,
        listed: typing.Container[str],
        now: float,
        unreadable: typing.Container[str],
    ) -> typing.Iterator[Change]:
        missing = [n for n in self.by_name if n not in listed]
        before = frozenset(self.expiry.kept_until)
        left = self.expiry.keep_missing(self.by_name, missing, now)
        for name in missing:
            if name in left:
                yield self.remove(name, name not in unreadable)
            elif name not in before:
                yield Change(self.by_name[name], 'kept')
        self.candidates.clear_caches()

    def remove_expired(self) -> tuple[Change, ...]:
        """Remove the kept upstreams whose time has passed.

        Returns:
            The changes that it made.
        """
        ended = self.expiry.ended(self.clock.monotonic())
        changes = tuple(self.remove(name, False) for name in ended)
        self._update_exact_position()
        return changes

    def _update_exact_position(self) -> None:
        if self.expiry.kept_until or self.has_diverged or not self.is_settled:
            return
        if self.exact_position.era != self.position.era:
            # Rows may have been held back at earlier positions of this era.
            self.history.restart_at(self.position)
        self.exact_position = self.position

    def delta_since(
        self, base: positions.Position
    ) -> upstreams.DirectoryDelta:
        """Return the changes after a position in the store.

        Args:
            base: Exact position of the receiver.
        """
        now = self.clock.monotonic()
        # What changed since the base is not known while rows of this era are
        # held back. After a divergence, receivers compare the digest.
        is_history_known = (
            self.exact_position.era == self.position.era or self.has_diverged
        )
        if not is_history_known or not self.history.covers(base):
            base = positions.START
        gone = self.history.removed_since(base)
        return upstreams.DirectoryDelta(
            base=base,
            position=self.position,
            changed=tuple(
                self.by_name[name] for name in self.history.changed_since(base)
            ),
            gone=gone,
            age_s=max(0.0, now - self.read_at),
            kept=self.expiry.remaining(now),
            digest=self.listed_digest(),
            possibly_present=tuple(filter(self.order.may_be_present, gone)),
        )

    def apply_delta(
        self, delta: upstreams.DirectoryDelta
    ) -> tuple[Change, ...]:
        """Apply a delta from another VM, unless its base is too late.

        One at an earlier position only removes what its sender holds back.

        Args:
            delta: Changes since a position in the store.

        Returns:
            The changes that it made.
        """
        if self._is_outdated(delta.position):
            return self._drop_held_back(delta)
        if delta.base > self.exact_position:
            return ()
        now = self.clock.monotonic()
        read_at = now - delta.age_s
        self.expiry.record_answer(read_at)
        is_informed = self._has_settled_rows(delta.position.era)
        self._advance(delta.position, read_at)
        self.read_at = max(self.read_at, read_at)
        changes = list(self._remove_gone(delta, now))
        changes.extend(self._merge_changed(delta, now, is_informed))
        changes.extend(self._adopt_kept(delta.kept, now))
        self._compare_digest(delta.digest)
        self._update_exact_position()
        return tuple(changes)

    def _drop_held_back(
        self, delta: upstreams.DirectoryDelta
    ) -> tuple[Change, ...]:
        """Remove upstreams whose rows the sender of a delta holds back.

        A row that may come from the copy was in the store at the sender's
        position as well. If a complete directory lacks it, its sender knows
        that the upstream left.
        """
        era = self.store_era
        read = delta.position
        if (
            delta.base
            or read.era < era.era
            or read.version < era.first_version
        ):
            return ()
        present = {upstream.name for upstream in delta.changed}
        present.update(self.expiry.kept_until)
        held_back = [
            name
            for name, upstream in self.by_name.items()
            if name not in present and era.may_come_from_copy(upstream.version)
        ]
        if held_back:
            self.is_settled = False
            self.exact_position = positions.START
        return tuple(self.remove(name) for name in held_back)

    def _has_settled_rows(self, era: int) -> bool:
        """Return whether rows were applied after a return had settled."""
        is_return_known = self.store_era.remaining_s() is not None
        return is_return_known and self.is_settled and self.position.era == era

    def _merge_changed(
        self, delta: upstreams.DirectoryDelta, now: float, is_informed: bool
    ) -> typing.Iterator[Change]:
        """Add or replace the upstreams that a delta names.

        A sender that learned late of a return may keep upstreams that left
        long ago. This directory lacks those if it is informed, that is, has
        had rows from after the return had settled.
        """
        for upstream in delta.changed:
            has_row = upstream.name not in delta.kept
            if has_row or upstream.name in self.by_name or not is_informed:
                yield from self.merge(upstream, now, has_row)

    def _remove_gone(
        self, delta: upstreams.DirectoryDelta, now: float
    ) -> typing.Iterator[Change]:
        for name in delta.gone:
            self.order.discard_pending(name)
            if name in self.by_name:
                yield self.remove(name, name not in delta.possibly_present)
            else:
                self.returned.record_departure(name)
        if not delta.base:
            self.has_diverged = False
            self.history.restart_at(delta.position)
            yield from self._drop_unnamed(delta, now)

    def _drop_unnamed(
        self, delta: upstreams.DirectoryDelta, now: float
    ) -> typing.Iterator[Change]:
        """Remove the upstreams that a complete directory does not name.

        Its sender may not have met those that joined in the lost seconds.
        """
        named = {upstream.name for upstream in delta.changed}
        self.order.discard_missing(named)
        for name in [n for n in self.by_name if n not in named]:
            if not self.expiry.awaits(name, now):
                yield self.remove(name)
                continue
            if name not in self.expiry.kept_until:
                yield Change(self.by_name[name], 'kept')
            self.expiry.keep_awaited(name)

    def _compare_digest(self, stated: int | None) -> None:
        """Compare the upstreams with those of the sender of a delta.

        While a return settles, VMs hold back different rows.
        """
        if not self.is_settled or stated in (None, self.listed_digest()):
            return
        # Upstreams may have come and gone, or left and come back, between two
        # queries of the sender.
        self.has_diverged = True
        self.exact_position = positions.START

    def _adopt_kept(
        self, kept: typing.Mapping[str, float], now: float
    ) -> list[Change]:
        """Keep what the sender of a delta keeps.

        It has rows for the others, unless they joined since the exact position
        and it never had them.
        """
        resolved = [
            name
            for name in self.expiry.kept_until
            if name not in kept and not self.expiry.awaits(name, now)
        ]
        changes = []
        for name in resolved:
            if self.history.changed_in[name] > self.exact_position:
                changes.append(self.remove(name))
            self.expiry.release(name)
        for name, remaining_s in kept.items():
            if name not in self.by_name:
                continue
            if name not in self.expiry.kept_until:
                changes.append(Change(self.by_name[name], 'kept'))
            self.expiry.keep(name, now + remaining_s)
        self.candidates.clear_caches()
        return changes
