"""Upstreams whose rows may have been lost in an outage of the store."""

import collections
import typing

import attrs

from bulrushcourse_domain.upstreams import upstream as upstreams

# Rows that expired during an outage of the store, or that the copy lacks which
# it came back from, are written again about two seconds after its end; the
# remainder allows for one more query.
EXPIRY_GRACE_S = 2.3
# An outage for all VMs lets most rows of a service expire. If at most this
# share of them is missing, only this VM was cut off from the store, and the
# missing upstreams have left.
MAX_REMOVED_SHARE = 1 / 3
# Nothing can be written during an outage, so that the time of lost rows
# stands still in it, for at most this long in all after a return: upstreams
# may leave meanwhile.
MAX_PAUSE_S = 20.0


@attrs.define
class RowExpiry:
    """Decides which upstreams are kept although their rows are missing.

    A kept upstream is used until its time has passed or its row is back. The
    time counts from the first query that the store answered, whether this VM
    or another one sent it, so that an old failure of this VM's own queries
    keeps nothing. The time of rows that the copy of a return lacks stands
    still in an outage. If the store returns again after it, their time begins
    again.

    Attributes:
        failed_at: Time of the last failed query, ``None`` if one was answered
            since then.
        outage_at: Time of the first failed query of that outage.
        paused_s: Time for which earlier outages since the latest return have
            stopped the time of lost rows.
        grace_until: Time until which missing upstreams are kept.
        awaited: Names of the upstreams without a row in this era of the store,
            which have probably joined since the copy was taken.
        awaited_until: Time until which those are kept.
        kept_until: Time until which each kept upstream is used, by name,
            without the present outage.
        lost: Names of the kept upstreams whose row a copy lacks, rather than
            having expired.

    Examples:
        >>> expiry = RowExpiry()
        >>> expiry.record_failure(10.0)
        >>> expiry.record_answer(12.0)
        >>> expiry.grace_until
        14.3
    """

    failed_at: float | None = None
    outage_at: float = float('inf')
    paused_s: float = 0.0
    grace_until: float = float('-inf')
    awaited: set[str] = attrs.field(factory=set)
    awaited_until: float = float('-inf')
    kept_until: dict[str, float] = attrs.field(factory=dict)
    lost: set[str] = attrs.field(factory=set)

    def record_return(
        self,
        known: typing.Iterable[str],
        now: float,
        settled_at: float = float('inf'),
    ) -> None:
        """Record the first answer of a store that came back from a copy.

        Failures before it have no other effect: rows that are there and are
        removed later are those of upstreams that left.

        Args:
            known: Names of the upstreams in use.
            now: Time of the answer in seconds.
            settled_at: Time when the return has settled, infinite if it is
                not known. Rows that are missing later have been removed.
        """
        was_away = now < self.grace_until
        self.failed_at = None
        self.outage_at = float('inf')
        self.paused_s = 0.0
        self.grace_until = float('-inf')
        self.awaited = set(known)
        self.awaited_until = min(now + EXPIRY_GRACE_S, settled_at)
        for name in self.lost & self.awaited if was_away else ():
            if self.kept_until[name] > now:
                self.kept_until[name] = self.awaited_until

    def awaits(self, name: str, now: float) -> bool:
        """Return whether the row of an upstream may still be written again.

        Args:
            name: Name of the upstream.
            now: Current time in seconds.
        """
        until = self._end(self.awaited_until, now)
        return now < until and name in self.awaited

    def keep_awaited(self, name: str) -> None:
        """Keep an upstream whose row may still be written again.

        Args:
            name: Name of the upstream.
        """
        if name not in self.kept_until:
            self.lost.add(name)
        self.keep(name, self.awaited_until)

    def _pause_s(self, now: float) -> float:
        return max(0.0, min(now - self.outage_at, MAX_PAUSE_S - self.paused_s))

    def _end(self, end: float, now: float) -> float:
        """Return an end for lost rows, later by the present outage."""
        return end + self._pause_s(now) if end > self.outage_at else end

    def end_of(self, name: str, now: float) -> float:
        """Return until when a kept upstream is used if no outage goes on.

        Args:
            name: Name of the upstream.
            now: Current time in seconds.
        """
        end = self.kept_until[name]
        return self._end(end, now) if name in self.lost else end

    def _ends(self, now: float) -> dict[str, float]:
        return {name: self.end_of(name, now) for name in self.kept_until}

    def _end_outage(self, now: float) -> None:
        self.kept_until = self._ends(now)
        self.awaited_until = self._end(self.awaited_until, now)
        self.paused_s += self._pause_s(now)
        self.outage_at = float('inf')

    def record_failure(self, now: float) -> None:
        """Record a failed query; rows may expire from now on.

        Args:
            now: Current time in seconds.
        """
        if self.failed_at is None:
            self.outage_at = now
        self.failed_at = now

    def record_answer(self, read_at: float) -> None:
        """Record a query that was answered, possibly that of another VM.

        Args:
            read_at: Time of the answer in seconds.
        """
        if self.failed_at is not None and read_at >= self.failed_at:
            self._end_outage(read_at)
            self.failed_at = None
            self.grace_until = read_at + EXPIRY_GRACE_S

    def keep_missing(
        self,
        known: typing.Mapping[str, upstreams.Upstream],
        missing: typing.Collection[str],
        now: float,
    ) -> frozenset[str]:
        """Keep missing upstreams whose rows may be lost; return the others.

        Args:
            known: All known upstreams by name, also the missing ones.
            missing: Names of those without a row.
            now: Current time in seconds.
        """
        awaited = {name for name in missing if self.awaits(name, now)}
        for name in awaited:
            self.keep_awaited(name)
        others = [name for name in missing if name not in awaited]
        return self._keep_expired(known, others, now)

    def _keep_expired(
        self,
        known: typing.Mapping[str, upstreams.Upstream],
        missing: typing.Collection[str],
        now: float,
    ) -> frozenset[str]:
        if now >= self.grace_until:
            return frozenset(missing)
        counts = collections.Counter(u.service for u in known.values())
        absent = collections.Counter(known[name].service for name in missing)
        left = set()
        for name in missing:
            service = known[name].service
            if absent[service] <= counts[service] * MAX_REMOVED_SHARE:
                left.add(name)
            else:
                self.keep(name, self.grace_until)
        return frozenset(left)

    def keep(self, name: str, until: float) -> None:
        """Keep an upstream until a time, or a sooner one that was set before.

        Args:
            name: Name of the upstream.
            until: The time in seconds.
        """
        self.kept_until[name] = min(until, self.kept_until.get(name, until))

    def release(self, name: str) -> None:
        """Forget an upstream whose row is back, or that was removed.

        Args:
            name: Name of the upstream.
        """
        self.awaited.discard(name)
        self.lost.discard(name)
        self.kept_until.pop(name, None)

    def remaining(self, now: float) -> dict[str, float]:
        """Return for how long the kept upstreams are used, in seconds by name.

        Args:
            now: Current time in seconds.
        """
        return {n: max(0.0, end - now) for n, end in self._ends(now).items()}

    def next_end(self, now: float) -> float:
        """Return when the time of the next kept upstream passes.

        Args:
            now: Current time in seconds.
        """
        ends = (end for end in self._ends(now).values() if end > now)
        return min(ends, default=float('inf'))

    def ended(self, now: float) -> tuple[str, ...]:
        """Return the names of the kept upstreams whose time has passed.

        Args:
            now: Current time in seconds.
        """
        return tuple(n for n, end in self._ends(now).items() if end <= now)
