"""Rows of a store that came back from a copy, against what is known since."""

import collections

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.store import store_era as store_eras
from bulrushcourse_domain.upstreams import upstream as upstreams

# Copies are at most some 10 s old, and what they lack is written again within
# seconds.
REMEMBERED_S = 30.0
MAX_REMEMBERED = 4000


@attrs.define
class ReturnedRows:
    """Decides which rows may be older than what this VM has learned.

    While a return of the store settles, a row that may come from the copy is
    no proof that an upstream is there, or that it is not leaving.

    Attributes:
        clock: Source of time.
        store_era: The era of the store.
        departed: Time at which each process left, by incarnation, or by name
            if another VM told only that; the earliest first.

    Examples:
        >>> clock = clocks.ManualClock(10.0)
        >>> store_era = store_eras.StoreEra(clock, settle_s=3.0)
        >>> rows = ReturnedRows(clock, store_era)
        >>> row = upstreams.Upstream('u', 's', '', 'd', 'r', version=7)
        >>> rows.record_departure(row.incarnation)
        >>> rows.may_apply(row, None)
        True
        >>> _ = store_era.admit(1, 70), store_era.admit(2, 40)
        >>> rows.may_apply(row, None)
        False
    """

    clock: clocks.Clock
    store_era: store_eras.StoreEra
    departed: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )

    def record_departure(self, process: str) -> None:
        """Record that a process has left.

        Args:
            process: Its incarnation, or its name if that is all that is known.
        """
        now = self.clock.monotonic()
        self.departed[process] = now
        self.departed.move_to_end(process)
        while self.departed:
            oldest = next(iter(self.departed))
            if (
                now - self.departed[oldest] <= REMEMBERED_S
                and len(self.departed) <= MAX_REMEMBERED
            ):
                break
            del self.departed[oldest]

    def record_presence(self, upstream: upstreams.Upstream) -> None:
        """Forget that the process of an applied row has left.

        Args:
            upstream: The row.
        """
        if not self.departed:
            return
        self.departed.pop(upstream.incarnation, None)
        self.departed.pop(upstream.name, None)

    def may_apply(
        self,
        row: upstreams.Upstream,
        known: upstreams.Upstream | None,
        has_row: bool = True,
    ) -> bool:
        """Return whether a row may replace what is known of an upstream.

        Args:
            row: The row.
            known: What is known of the upstream of that name.
            has_row: Whether it is in the store now, rather than kept by
                another VM. Its version is one of an earlier era otherwise.
        """
        is_certain = not (
            self.store_era.may_come_from_copy(row.version)
            if has_row
            else self.store_era.is_settling()
        )
        if is_certain:
            return True
        if row.incarnation in self.departed or row.name in self.departed:
            return False
        if known is None or row.born > known.born:
            return True
        # Draining may have been announced after the copy was taken.
        return row.born == known.born and (row.draining or not known.draining)
