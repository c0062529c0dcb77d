"""The task that makes this VM known to the others when it starts."""

import asyncio
import typing

import attrs

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import journal as journals
from bulrushcourse_entry.edge import knowledge as knowledges
from bulrushcourse_entry.edge import reading
from bulrushcourse_entry.platform import rows
from bulrushcourse_entry.platform import units
from bulrushcourse_entry.platform import vm_rows


@attrs.define(eq=False)
class VmRegistrar:
    """Makes this VM known to the others and learns of them.

    Attributes:
        store: The platform's store.
        known: What this process believes.
        journal: Log.
        reachability: Whether the store answers.
        met: Called with each VM that was learned.
    """

    store: rows.RowStore
    known: knowledges.Knowledge
    journal: journals.Journal
    reachability: reading.Reachability
    met: typing.Callable[[fleet.Vm], None]

    async def run(self) -> None:
        """Write the entry, then read all entries, until both succeeded."""
        while True:
            try:
                me = self.known.fleet.me
                await self.store.write(
                    vm_rows.TABLE, me.name, vm_rows.encode(me)
                )
                listed = await self.store.read(vm_rows.TABLE)
                break
            except rows.StoreUnavailable as error:
                self.reachability.note(False, str(error))
                self.journal.belief(
                    events.Event.VM_ROW_NOT_WRITTEN, reason=str(error)
                )
                await asyncio.sleep(reading.PAUSE_AFTER_FAILURE_S)
        self.reachability.note(True)
        for row in listed.rows:
            try:
                self.met(vm_rows.decode(row))
            except units.MalformedValue as error:
                self.journal.belief(
                    events.Event.ROW_MALFORMED, row=row.key, reason=str(error)
                )
