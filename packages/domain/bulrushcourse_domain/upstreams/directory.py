"""The aggregate that knows which upstreams there are."""

import collections
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain import rendezvous
from bulrushcourse_domain.upstreams import upstream as upstreams

# Entries that lapsed during an outage of the store are back about two
# seconds after its return; the rest allows for one more reading.
LAPSE_GRACE_S = 2.3
# An outage for all lets most entries of a service lapse. Where fewer than this
# share are missing, the store was away for this VM only, and they left.
REMOVED_SHARE = 1 / 3
# An upstream that is cold longer than its last entry said is treated as
# cold for this much more, since entries are written every heartbeat.
WARMUP_MARGIN_S = 0.3
GONE_REMEMBERED = 200
# Upstreams that are preferred for an object; the second takes what the first
# has no room for.
PREFERRED = 2
# About 3 MB; more objects only cost their hashing again.
MOST_PREFERRED = 20_000


@attrs.frozen
class Change:
    """One difference between two readings.

    Attributes:
        upstream: The entry.
        kind: ``joined``, ``restarted``, ``draining`` or ``gone``.
    """

    upstream: upstreams.Upstream
    kind: str


@attrs.define
class UpstreamDirectory:
    """Entries of upstreams with the time they were learned.

    Attributes:
        clock: Source of time.
        version: Newest version of the store that was seen.
        read_at: Time of that reading.
        entries: Entries by name.
        cold_until: End of the warm-up, by name.
        evacuated: Failure domains that must get nothing.
        grace_until: Until when missing entries are kept.
        store_lost: Whether the last reading failed.
        changed_in: Version of the store in which a change was noticed.
        gone_in: The same for entries that are gone.
        usable_by: Usable upstreams by service and region; made anew after
            each change, since every request asks for them.
        preferred_by: Preferred upstreams by service, region and object,
            likewise.
    """

    clock: clocks.Clock
    version: int = 0
    read_at: float = float('-inf')
    entries: dict[str, upstreams.Upstream] = attrs.field(factory=dict)
    cold_until: dict[str, float] = attrs.field(factory=dict)
    evacuated: frozenset[str] = frozenset()
    grace_until: float = float('-inf')
    store_lost: bool = False
    changed_in: dict[str, int] = attrs.field(factory=dict)
    gone_in: dict[str, int] = attrs.field(factory=dict)
    usable_by: dict[tuple[str, str], tuple[upstreams.Upstream, ...]] = (
        attrs.field(factory=dict)
    )
    preferred_by: dict[tuple[str, str, str], tuple[str, ...]] = attrs.field(
        factory=dict
    )

    def mark_store_unavailable(self) -> None:
        """Note that a reading failed, so that entries may lapse unseen."""
        self.store_lost = True

    def apply_snapshot(
        self, snapshot: upstreams.Snapshot
    ) -> tuple[Change, ...]:
        """Take over a reading unless a newer one is known.

        Args:
            snapshot: All entries, from the store.

        Returns:
            What changed.
        """
        if snapshot.version < self.version:
            return ()
        now = self.clock.monotonic()
        if self.store_lost:
            self.store_lost = False
            self.grace_until = now + LAPSE_GRACE_S
        self.version = snapshot.version
        self.read_at = now
        listed = {u.name: u for u in snapshot.upstreams}
        changes = list(self._lapsed(listed, now))
        for found in listed.values():
            changes.extend(self._merge(found, now))
        return tuple(changes)

    def _lapsed(
        self, listed: typing.Mapping[str, upstreams.Upstream], now: float
    ) -> typing.Iterator[Change]:
        missing = [n for n in self.entries if n not in listed]
        if now < self.grace_until:
            missing = self._removed(missing)
        for name in missing:
            yield self._drop(name)

    def _removed(self, missing: list[str]) -> list[str]:
        """Return missing entries that did not lapse in an outage."""
        known = collections.Counter(u.service for u in self.entries.values())
        lost = collections.Counter(self.entries[n].service for n in missing)
        return [
            name
            for name in missing
            for service in [self.entries[name].service]
            if lost[service] <= known[service] * REMOVED_SHARE
        ]

    def _note_change(self) -> None:
        self.usable_by.clear()
        self.preferred_by.clear()

    def _drop(self, name: str) -> Change:
        self._note_change()
        self.cold_until.pop(name, None)
        self.changed_in.pop(name, None)
        self.gone_in[name] = self.version
        if len(self.gone_in) > GONE_REMEMBERED:
            self.gone_in.pop(next(iter(self.gone_in)))
        return Change(self.entries.pop(name), 'gone')

    def _merge(
        self, found: upstreams.Upstream, now: float
    ) -> typing.Iterator[Change]:
        known = self.entries.get(found.name)
        if known == found:
            return
        self._note_change()
        self.entries[found.name] = found
        self.changed_in[found.name] = self.version
        self.gone_in.pop(found.name, None)
        if found.cold_for_s > 0:
            self.cold_until[found.name] = (
                now + found.cold_for_s + WARMUP_MARGIN_S
            )
        if known is None:
            yield Change(found, 'joined')
        elif known.born != found.born:
            yield Change(found, 'restarted')
        if found.draining and (known is None or not known.draining):
            yield Change(found, 'draining')

    def delta_since(self, base: int) -> upstreams.DirectoryDelta:
        """Return what changed after a version of the store.

        Args:
            base: The version.
        """
        return upstreams.DirectoryDelta(
            base=base,
            version=self.version,
            changed=tuple(
                self.entries[name]
                for name, version in self.changed_in.items()
                if version > base
            ),
            gone=tuple(n for n, v in self.gone_in.items() if v > base),
            age_s=max(0.0, self.clock.monotonic() - self.read_at),
        )

    def apply_delta(
        self, delta: upstreams.DirectoryDelta
    ) -> tuple[Change, ...]:
        """Take over what another VM has read, if it adds to what is known.

        Args:
            delta: Changes since a version.

        Returns:
            What changed.
        """
        if delta.base > self.version or delta.version < self.version:
            return ()
        now = self.clock.monotonic()
        self.version = delta.version
        self.read_at = max(self.read_at, now - delta.age_s)
        changes = [self._drop(n) for n in delta.gone if n in self.entries]
        for found in delta.changed:
            changes.extend(self._merge(found, now))
        return tuple(changes)

    def evacuate(
        self, failure_domains: frozenset[str], warmup_s: float
    ) -> frozenset[str]:
        """Set the failure domains that must get nothing.

        Those that are taken back count as cold, since an upstream that had
        no work may have become cold.

        Args:
            failure_domains: All failure domains under evacuation.
            warmup_s: Longest warm-up of a service.

        Returns:
            The failure domains that were taken back.
        """
        returned = self.evacuated - failure_domains
        self.evacuated = failure_domains
        self._note_change()
        until = self.clock.monotonic() + warmup_s + WARMUP_MARGIN_S
        for entry in self.entries.values():
            if entry.failure_domain in returned:
                self.mark_cold(entry.name, until)
        return returned

    def mark_cold(self, name: str, until: float) -> None:
        """Treat an upstream as cold at least until a time.

        Args:
            name: Name of the upstream.
            until: Time on the directory's clock.
        """
        self.cold_until[name] = max(until, self.cold_until.get(name, until))

    def is_cold(self, name: str) -> bool:
        """Return whether an upstream is in its warm-up.

        Args:
            name: Name of the upstream.
        """
        until = self.cold_until.get(name)
        if until is None:
            return False
        if until <= self.clock.monotonic():
            del self.cold_until[name]
            return False
        return True

    def usable(
        self, service: str, region: str = ''
    ) -> tuple[upstreams.Upstream, ...]:
        """Return the upstreams of a service that may get new requests.

        Args:
            service: Name of the service.
            region: Region that they must be in, empty for any.
        """
        key = service, region
        if key not in self.usable_by:
            self.usable_by[key] = tuple(
                entry
                for entry in self.entries.values()
                if entry.service == service
                and not entry.draining
                and entry.failure_domain not in self.evacuated
                and region in ('', entry.region)
            )
        return self.usable_by[key]

    def preferred(
        self, service: str, region: str, object_key: str
    ) -> tuple[str, ...]:
        """Return the upstreams that should handle an object, best first.

        Every VM finds the same ones, so that requests for an object meet
        where it was handled lately.

        Args:
            service: Name of the service.
            region: Region that they must be in, empty for any.
            object_key: Identifier of the object.
        """
        key = service, region, object_key
        if key not in self.preferred_by:
            if len(self.preferred_by) >= MOST_PREFERRED:
                self.preferred_by.clear()
            names = [u.name for u in self.usable(service, region)]
            self.preferred_by[key] = rendezvous.first(
                object_key, names, PREFERRED
            )
        return self.preferred_by[key]
