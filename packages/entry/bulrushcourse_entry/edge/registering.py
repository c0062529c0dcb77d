"""The task that registers this VM and forgets VMs that were removed."""

import asyncio
import typing

import attrs

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import event_log as event_logs
from bulrushcourse_entry.edge import knowledge as knowledges
from bulrushcourse_entry.edge import reading
from bulrushcourse_entry.platform import rows
from bulrushcourse_entry.platform import units
from bulrushcourse_entry.platform import vm_rows

CLEANUP_INTERVAL_S = 30.0


@attrs.define(eq=False)
class VmRegistrar:
    """Makes this VM known to the others and learns of them.

    Attributes:
        store: The platform's store.
        known: What this process believes.
        event_log: Log.
        reachability: Whether the store answers.
        met: Called with each VM that was learned.
    """

    store: rows.RowStore
    known: knowledges.Knowledge
    event_log: event_logs.EventLog
    reachability: reading.Reachability
    met: typing.Callable[[fleet.Vm], None]

    async def run(self) -> None:
        """Register this VM, then forget VMs that were removed."""
        await self._register()
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            for name in self.known.fleet.remove_expired():
                self.event_log.log_change(
                    events.Event.MEMBER_CHANGED, vm=name, state='removed'
                )
                self.known.removed.on_next(name)
                if self.known.reads_for_all:
                    await self._remove_row(name)

    async def _remove_row(self, name: str) -> None:
        try:
            await self.store.remove(vm_rows.TABLE, name)
        except rows.StoreUnavailable as error:
            # The next VM that starts learns of it once more and drops it.
            self.reachability.note(False, str(error))

    async def _register(self) -> None:
        """Write the entry, then read all entries, until both succeeded."""
        while True:
            try:
                me = self.known.fleet.local_vm
                await self.store.write(
                    vm_rows.TABLE, me.name, vm_rows.encode(me)
                )
                listed = await self.store.read(vm_rows.TABLE)
                break
            except rows.StoreUnavailable as error:
                self.reachability.note(False, str(error))
                self.event_log.log_change(
                    events.Event.VM_ROW_NOT_WRITTEN, reason=str(error)
                )
                await asyncio.sleep(reading.PAUSE_AFTER_FAILURE_S)
        self.reachability.note(True)
        for row in listed.rows:
            try:
                self.met(vm_rows.decode(row))
            except units.MalformedValue as error:
                self.event_log.log_change(
                    events.Event.ROW_MALFORMED, row=row.key, reason=str(error)
                )
