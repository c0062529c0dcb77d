"""What calls to the platform's store yield, and how they fail."""

import attrs

from bulrushcourse_domain.store import position as positions
from bulrushcourse_domain.store import store_era as store_eras
from bulrushcourse_entry.platform import store_pages

StoredRow = store_pages.StoredRow
StoreUnavailable = store_pages.StoreUnavailable


class StoreSilent(StoreUnavailable):
    """A call to the store got no answer in time."""


class OversizedAnswer(StoreUnavailable):
    """An answer of the store has more bytes or elements than a page may."""


class OutdatedAnswer(StoreUnavailable):
    """An answer is of an earlier era of the store, or states none."""


class HistoryLost(Exception):
    """The changes since a version are not to be had in one answer."""


class StoreReturned(HistoryLost):
    """The store has returned from a copy and given out versions again."""


@attrs.frozen
class EraVerdict:
    """What an answer of the store is, by the era that it states.

    Attributes:
        verdict: What it is.
        era: Era of this VM after it.
        before: Era of this VM before it.
        stated: What the answer states, ``None`` if it is no era.
    """

    verdict: store_eras.Verdict
    era: int
    before: int
    stated: int | None


@attrs.frozen
class RowBatch:
    """Rows returned by one query.

    Attributes:
        version: Store version up to which the rows include all changes.
        rows: The rows.
        started: Local time before the query was sent, monotonic seconds.
        store_s: Time of the store that the rows are not older than, in
            seconds; ``None`` if it stated none.
        is_complete: Whether no changes up to the version are missing.
        era: Era of the store, 0 if it states none.
    """

    version: int
    rows: tuple[StoredRow, ...]
    started: float = float('-inf')
    store_s: float | None = None
    is_complete: bool = True
    era: int = 0

    @property
    def position(self) -> positions.Position:
        """Position in the store's changes that the rows include."""
        return positions.Position(self.era, self.version)
