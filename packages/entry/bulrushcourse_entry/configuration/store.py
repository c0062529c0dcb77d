"""Storage of configurations in the platform's table."""

import attrs
from returns import result

from bulrushcourse_domain.configuration import publication
from bulrushcourse_entry import events
from bulrushcourse_entry.platform import table as platform_table
from bulrushcourse_wire import publications

CURRENT_ROW = 'configuration/current'
HISTORY_PREFIX = 'configuration/history/'


@attrs.frozen
class StoredCurrent:
    """The newest publication and the version of its row.

    Attributes:
        row_version: Row version that the next write must expect.
        publication: The publication, ``None`` if there is none or its
            document is malformed.
        version: Its configuration version, 0 if there is none.
    """

    row_version: int
    publication: publication.Publication | None
    version: int


@attrs.define
class ConfigurationStore:
    """Reads and writes publications.

    Attributes:
        table: The platform's table service.
        last_read: Cache of the last parsed publication. Designated readers
            poll twice a second, and parsing an unchanged document takes longer
            than the read itself.
    """

    table: platform_table.Table
    last_read: StoredCurrent = StoredCurrent(0, None, 0)

    async def read_current(self) -> StoredCurrent:
        """Return the newest publication.

        Raises:
            TableUnavailable: If the table did not answer, or the row is
                malformed.
        """
        row = await self.table.get(CURRENT_ROW)
        if row is None:
            return StoredCurrent(0, None, 0)
        version = _version(row)
        if not version:
            raise platform_table.TableUnavailable(f'{CURRENT_ROW}: malformed')
        # A table that returned from a copy gives versions out again.
        if (row.version, version) != (
            self.last_read.row_version,
            self.last_read.version,
        ):
            self.last_read = StoredCurrent(row.version, _parse(row), version)
        return self.last_read

    async def read_history(
        self, version: int
    ) -> publication.Publication | None:
        """Return an earlier publication, ``None`` if it is not stored.

        Args:
            version: Its version.

        Raises:
            TableUnavailable: If the table did not answer.
        """
        row = await self.table.get(f'{HISTORY_PREFIX}{version}')
        return None if row is None else _parse(row)

    async def write(
        self, published: publication.Publication, row_version: int
    ) -> platform_table.WriteResult:
        """Store a publication as the newest, together with its history row.

        Args:
            published: The publication.
            row_version: Version that the current row must have.
        """
        value = publications.render_publication(published)
        history_row = f'{HISTORY_PREFIX}{published.version}'
        return await self.table.transact(
            (
                platform_table.Write(CURRENT_ROW, value, row_version),
                platform_table.Write(history_row, value, 0),
            )
        )


def _version(row: platform_table.Row) -> int:
    """Return the version in a row, 0 if the row is malformed."""
    found = row.value.get('version') if isinstance(row.value, dict) else None
    return found if isinstance(found, int) else 0


def _parse(
    row: platform_table.Row,
) -> publication.Publication | None:
    parsed = publications.parse_publication(row.value)
    if isinstance(parsed, result.Failure):
        events.emit(
            events.Event.CONFIGURATION_REFUSED,
            version=_version(row),
            findings=[str(found) for found in parsed.failure()],
        )
        return None
    return parsed.unwrap()
