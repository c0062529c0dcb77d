"""The task that registers this VM and discards VMs that were removed."""

import asyncio
import contextlib
import typing

import attrs

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_entry.edge.store import store_readers
from bulrushcourse_entry.platform import rows
from bulrushcourse_entry.platform import units
from bulrushcourse_entry.platform import vm_rows

CLEANUP_INTERVAL_S = 30.0
# Rate at which all VMs together write their rows after the store has lost
# them. Later VMs find those that have a row, and learn of the others by them.
MAX_REWRITES_PER_S = 40.0
# Longest pause between writes whose answers are refused.
MAX_PAUSE_S = 16.0


@attrs.define(eq=False)
class VmRegistrar:
    """Registers this VM in the store and adds the registered VMs.

    Attributes:
        store: The platform's store.
        state: The process state.
        event_log: Log.
        reachability: Whether the store answers.
        on_vm_found: Called with each VM that has a row in the store.
        returned: Set when the store may have lost the row.
    """

    store: rows.RowStore
    state: process_state.ProcessState
    event_log: event_logs.EventLog
    reachability: store_readers.StoreReachability
    on_vm_found: typing.Callable[[fleet.Vm], None]
    returned: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Subscribe to returns of the store from a copy."""
        self.state.store_returns.subscribe(lambda _: self.returned.set())

    async def run(self) -> None:
        """Register this VM, then discard removed VMs until cancelled."""
        await self._register()
        while True:
            if await self._returns_within(CLEANUP_INTERVAL_S):
                vm_count = len(self.state.fleet.peers) + 1
                await asyncio.sleep(
                    self.state.rng.uniform(0.0, vm_count / MAX_REWRITES_PER_S)
                )
                await self._register()
                continue
            for name in self.state.fleet.remove_expired():
                self.event_log.log_change(
                    events.Event.MEMBER_CHANGED, vm=name, state='removed'
                )
                self.state.removed_vms.on_next(name)
                if self.state.is_designated_reader:
                    await self._remove_row(name)

    async def _returns_within(self, seconds: float) -> bool:
        """Return whether the store returns from a copy within a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.returned.wait()
        returned = self.returned.is_set()
        self.returned.clear()
        return returned

    async def _remove_row(self, name: str) -> None:
        try:
            await self.store.remove(vm_rows.TABLE, name)
        except rows.StoreUnavailable as error:
            # The row stays. A VM that starts later adds the removed VM from
            # it, and discards the VM and its row once the VM has expired.
            self.reachability.record_call(False, str(error))

    async def _write_row(self) -> None:
        local_vm = self.state.fleet.local_vm
        await self.store.write(
            vm_rows.TABLE, local_vm.name, vm_rows.encode(local_vm)
        )

    async def _register(self) -> None:
        """Write this VM's row and read all rows, until both succeed."""
        is_written = False
        pause_s = store_readers.RETRY_PAUSE_S
        while True:
            try:
                if not is_written:
                    await self._write_row()
                    is_written = True
                batch = await self.store.read(vm_rows.TABLE)
                break
            except rows.StoreUnavailable as error:
                self.reachability.record_error(error)
                self.event_log.log_change(
                    events.Event.VM_ROW_NOT_WRITTEN, reason=str(error)
                )
                await asyncio.sleep(pause_s)
                if isinstance(error, rows.OutdatedAnswer):
                    # The write may have taken effect, and may do so each time.
                    pause_s = min(2 * pause_s, MAX_PAUSE_S)
        self.reachability.record_call(True)
        for row in batch.rows:
            try:
                self.on_vm_found(vm_rows.decode(row))
            except units.MalformedValue as error:
                self.event_log.log_change(
                    events.Event.ROW_MALFORMED, row=row.key, reason=str(error)
                )
        self.state.registered.set()
