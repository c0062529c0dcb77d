"""Polling of the stored configuration."""

import asyncio
import typing

import attrs
import reactivex
from reactivex import subject
from returns import result

from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import in_force
from bulrushcourse_entry import events
from bulrushcourse_entry.platform import table as platform_table
from bulrushcourse_wire import documents

CURRENT_ROW = 'configuration/current'
POLL_INTERVAL_S = 0.5


@attrs.define(eq=False)
class ConfigurationPoll:
    """Puts newer stored configurations in force.

    Attributes:
        table: The platform's table service.
        held: Configuration in force.
        changes: Each configuration that is put in force.
    """

    table: platform_table.Table
    held: in_force.ConfigurationInForce
    changes: reactivex.Subject = attrs.field(factory=subject.Subject)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                row = await self.table.get(CURRENT_ROW)
            except platform_table.TableUnavailable:
                row = None
            if row is not None and row.value['version'] > self.held.version:
                self.accept(row.value['version'], row.value['document'])
            await asyncio.sleep(POLL_INTERVAL_S)

    def accept(self, version: int, document: str) -> bool:
        """Check a document and put it in force if it is newer.

        Args:
            version: Version of the document.
            document: JSON text of the objects.
        """
        parsed = documents.parse_configuration(version, document)
        if isinstance(parsed, result.Failure):
            events.emit(
                events.Event.CONFIGURATION_REFUSED,
                version=version,
                findings=[str(found) for found in parsed.failure()],
            )
            return False
        return self.offer(parsed.unwrap())

    def offer(self, candidate: configuration_set.ConfigurationSet) -> bool:
        """Put a checked configuration in force if it is newer.

        Args:
            candidate: The configuration.
        """
        if not self.held.offer(candidate):
            return False
        events.emit(
            events.Event.CONFIGURATION_IN_FORCE, version=candidate.version
        )
        self.changes.on_next(candidate)
        return True

    def dump(self) -> dict[str, typing.Any]:
        """Return the version in force for a state dump."""
        return {'version': self.held.version, 'refused': self.held.refused}
