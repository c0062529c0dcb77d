"""The era of the platform's store, and what may come from a copy.

Answers the load of a store that comes back from a copy some seconds old:
what it has lost is written again only in the time after that, and until then
its rows do not tell what has been acknowledged.
"""

import enum
import math

import attrs

from bulrushcourse_domain import clock as clocks

MAX_ERA = (1 << 53) - 1


class Verdict(enum.Enum):
    """What an answer of the store is, by the era that it states."""

    CURRENT = 'current'
    ENTERED = 'entered'
    EARLIER = 'earlier'
    UNUSABLE = 'unusable'


UNUSED = frozenset({Verdict.EARLIER, Verdict.UNUSABLE})


class Source(enum.Enum):
    """From where a VM learned of an era."""

    STORE = 'store'
    PEERS = 'peers'


@attrs.frozen
class EraChange:
    """A return of the store, as this VM learned of it.

    Attributes:
        before: Era before it.
        after: Era after it.
        source: From where it was learned.
    """

    before: int
    after: int
    source: Source


@attrs.define
class StoreEra:
    """Which era this VM is in, and whether lost rows may still be missing.

    Rows with a version up to ``first_version`` may come from the copy. Later
    ones were certainly written after the return.

    Attributes:
        clock: Source of time.
        settle_s: Time after a return in which lost rows are written again.
        era: The newest known era, 0 before any was stated.
        settled_at: Time when the latest return counts as settled, infinite
            and negative if this VM knows of none in this era.
        first_version: Lowest version that is known to have been the newest
            one at some time after the return, infinite if none is known.
        returns: Number of returns that this VM has learned of.

    Examples:
        >>> clock = clocks.ManualClock(10.0)
        >>> store_era = StoreEra(clock, settle_s=3.0)
        >>> [store_era.admit(e, v).value for e, v in ((1, 70), (2, 40))]
        ['current', 'entered']
        >>> store_era.may_come_from_copy(38), store_era.may_come_from_copy(41)
        (True, False)
        >>> store_era.admit(1, 71)
        <Verdict.EARLIER: 'earlier'>
        >>> clock.advance(3.0)
        >>> store_era.may_come_from_copy(38)
        False
    """

    clock: clocks.Clock
    settle_s: float
    era: int = 0
    settled_at: float = -math.inf
    first_version: float = math.inf
    returns: int = 0

    def admit(self, stated: int | None, version: int | None) -> Verdict:
        """Return what an answer of the store is; enter a later era.

        A store that has never stated an era may leave it out.

        Args:
            stated: Era that the answer states, ``None`` if there is none or
                it is no number.
            version: Newest version that it states, ``None`` for none.
        """
        if stated is None:
            return Verdict.UNUSABLE if self.era else Verdict.CURRENT
        if stated < self.era:
            return Verdict.EARLIER
        verdict = Verdict.CURRENT
        if stated > self.era:
            # The first statement tells of no return.
            verdict = Verdict.ENTERED if self.era else Verdict.CURRENT
            self._enter(stated, self.settle_s if self.era else 0.0)
        if version is not None:
            self.first_version = min(self.first_version, version)
        return verdict

    def admit_report(
        self, era: int, first_version: float, settling_s: float | None
    ) -> bool:
        """Adopt what another VM knows of the era.

        The VM that learned of a return first tells best when it has settled.
        Only an earlier time replaces a known one: VMs would prolong each
        other's otherwise, by the time of each report on its way.

        Args:
            era: Its era.
            first_version: Its ``first_version``.
            settling_s: Its remaining time until lost rows are written,
                ``None`` if it knows of no return in its era.

        Returns:
            Whether this VM learned of a return by it.
        """
        if not era or era < self.era:
            return False
        before = self.era
        if era > before:
            self._enter(era, self.settle_s if before else 0.0)
        was_known = self.settled_at > -math.inf
        if settling_s is not None:
            until = self.clock.monotonic() + min(settling_s, self.settle_s)
            self.settled_at = min(
                until, self.settled_at if was_known else until
            )
        self.first_version = min(self.first_version, first_version)
        return 0 < before < era or (not was_known and self.is_settling())

    def _enter(self, era: int, settle_s: float) -> None:
        self.returns += self.era > 0
        self.era = era
        self.first_version = math.inf
        self.settled_at = -math.inf
        if settle_s:
            self.settled_at = self.clock.monotonic() + settle_s

    def settling_s(self) -> float:
        """Return for how long lost rows may still be missing, in seconds."""
        return max(0.0, self.settled_at - self.clock.monotonic())

    def remaining_s(self) -> float | None:
        """Return the time until a return has settled, ``None`` without one."""
        return None if self.settled_at == -math.inf else self.settling_s()

    def is_settling(self) -> bool:
        """Return whether lost rows may still be missing."""
        return self.settling_s() > 0.0

    def may_come_from_copy(self, version: int) -> bool:
        """Return whether a row may be one of the copy, replaced since.

        Args:
            version: Version of the row.
        """
        return self.is_settling() and version <= self.first_version
