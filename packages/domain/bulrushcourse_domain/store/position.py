"""Positions in the changes of the platform's store."""

import attrs


@attrs.frozen(order=True)
class Position:
    """A version of the store within an era.

    The store gives versions out again after it has come back from a copy, so
    that versions of different eras cannot be compared. Positions of a later
    era are later, whatever their versions.

    Attributes:
        era: Era of the store, 0 if it states none.
        version: Version of the store.

    Examples:
        >>> Position(2, 40) > Position(1, 700)
        True
    """

    era: int = 0
    version: int = 0

    def __bool__(self) -> bool:
        """Return whether anything was read at this position."""
        return self != START


START = Position()
