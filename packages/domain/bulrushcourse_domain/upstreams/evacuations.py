"""Evacuated failure domains, across returns of the store from a copy."""

import typing

import attrs

from bulrushcourse_domain.store import position as positions
from bulrushcourse_domain.store import store_era as store_eras


@attrs.define
class Evacuations:
    """Failure domains that must get no requests, by the operators' rows.

    An evacuation that was in force before a return stays in force until its
    row is read again, until its end is read, or until the return has settled.
    One that the copy names is in force as well, since this VM may have missed
    it.

    Attributes:
        store_era: Which era of the store this VM is in.
        position: Latest position at which a set of rows was adopted.
        stored: Failure domains with a row at that position.
        held: Failure domains without a row whose evacuation may be lost.
        ended: Failure domains whose evacuation has ended in this era.

    Examples:
        >>> from bulrushcourse_domain import clock as clocks
        >>> clock = clocks.ManualClock()
        >>> store_era = store_eras.StoreEra(clock, settle_s=3.0)
        >>> evacuations = Evacuations(store_era)
        >>> _ = store_era.admit(1, 70)
        >>> evacuations.adopt(positions.Position(1, 70), ['a1'])
        >>> _ = store_era.admit(2, 40)
        >>> evacuations.adopt(positions.Position(2, 40), [])
        >>> evacuations.in_force()
        frozenset({'a1'})
        >>> clock.advance(3.0)
        >>> evacuations.in_force()
        frozenset()
    """

    store_era: store_eras.StoreEra
    position: positions.Position = positions.START
    stored: frozenset[str] = frozenset()
    held: frozenset[str] = frozenset()
    ended: frozenset[str] = frozenset()

    def adopt(
        self,
        position: positions.Position,
        stored: typing.Iterable[str],
        held: typing.Iterable[str] = (),
    ) -> None:
        """Adopt a set of rows, unless a later one was adopted.

        Args:
            position: Position at which this VM or another one has read it.
            stored: Failure domains with a row.
            held: Those that the other VM holds without a row.
        """
        if position.era > self.position.era:
            self.held |= self.stored
            self.ended = frozenset()
        if position >= self.position:
            self.position, self.stored = position, frozenset(stored)
        if position.era == self.store_era.era:
            self.held |= frozenset(held)
        self.held -= self.stored | self.ended

    def end(self, domain: str) -> None:
        """Record that the row of an evacuation was removed.

        Args:
            domain: The failure domain.
        """
        self.ended |= {domain}
        self.held -= {domain}

    def in_force(self) -> frozenset[str]:
        """Return the failure domains that must get no requests."""
        if not self.store_era.is_settling():
            self.held = frozenset()
        return self.stored | self.held
