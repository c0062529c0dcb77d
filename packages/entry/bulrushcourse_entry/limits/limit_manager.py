"""Task that renews this entry's shares in the ledger rows of limits."""

import asyncio
import random
import typing

import attrs
from returns import result

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.limits import ledger as ledgers
from bulrushcourse_domain.limits import share_ledger
from bulrushcourse_entry import events
from bulrushcourse_entry.limits import local_limit as local_limits
from bulrushcourse_entry.platform import table as platform_table
from bulrushcourse_entry.platform import vm_list
from bulrushcourse_wire import ledgers as ledger_rows

# An exhausted share starts a round immediately, but not more often than this.
MIN_ROUND_INTERVAL_S = 0.5
MAX_WRITE_ATTEMPTS = 4
MAX_CONFLICT_DELAY_S = 0.05


@attrs.define(eq=False)
class LimitManager:
    """Reads and renews this entry's shares of all limits.

    Attributes:
        clock: Source of time.
        rng: Source of the random delays after write conflicts.
        table: The platform's table service.
        vms: The platform's list of VMs.
        holder: Identifier of this incarnation.
        vm: Identifier of this VM and name of its configured entry.
        limits: Limits with this entry's shares, by name.
        renewal_requested: Set when a share is exhausted.
    """

    clock: clocks.Clock
    rng: random.Random
    table: platform_table.Table
    vms: vm_list.VmList
    holder: str
    vm: tuple[str, str]
    limits: dict[str, local_limits.LocalLimit] = attrs.field(factory=dict)
    renewal_requested: asyncio.Event = attrs.field(factory=asyncio.Event)

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Apply the limits of a configuration; known ones keep their shares.

        Args:
            configuration: The active configuration.
        """
        active = {}
        for limit in configuration.objects.limits:
            terms = ledgers.limit_terms(configuration, limit)
            if terms is None:
                continue
            local_limit = self.limits.get(limit.name)
            if local_limit is None:
                local_limit = local_limits.build_limit(
                    self.clock, limit, terms, self.holder, self.vm
                )
            local_limit.limit = limit
            local_limit.shares.configure(terms)
            active[limit.name] = local_limit
        self.limits = active
        self.renewal_requested.set()

    def limits_between(
        self, kind: objects.LimitKind, source: str, target: str
    ) -> list[local_limits.LocalLimit]:
        """Return the limits from one region to another.

        Args:
            kind: Kind of limit.
            source: Region that traffic leaves.
            target: Region that traffic enters.
        """
        key = (kind, source, target)
        return [
            local_limit
            for local_limit in self.limits.values()
            if (
                local_limit.limit.kind,
                local_limit.limit.source,
                local_limit.limit.target,
            )
            == key
        ]

    def request_renewal(self) -> None:
        """Start the next round early because a share is exhausted."""
        self.renewal_requested.set()

    async def run(self) -> None:
        """Renew shares until cancelled."""
        while True:
            await self.renew_shares()
            await asyncio.sleep(MIN_ROUND_INTERVAL_S)
            try:
                remaining_s = share_ledger.RENEWAL_S - MIN_ROUND_INTERVAL_S
                async with asyncio.timeout(remaining_s):
                    await self.renewal_requested.wait()
            except TimeoutError:
                pass

    async def renew_shares(self) -> None:
        """Read the rows and the list of VMs, then write the rows that are due.

        The list is read after the rows, so that a holder that is in a row but
        not in the list has stopped.
        """
        self.renewal_requested.clear()
        limits = list(self.limits.values())
        read_results = await asyncio.gather(
            *(self._read_row(local_limit) for local_limit in limits)
        )
        listed = await self.vms.list()
        if listed is not None:
            entry_names = {vm.vm_id: vm.entry for vm in listed}
            for local_limit in limits:
                local_limit.shares.update_vm_list(entry_names)
        due = [
            local_limit
            for local_limit, is_read in zip(limits, read_results, strict=True)
            if is_read
        ]
        await asyncio.gather(
            *(self._renew(local_limit) for local_limit in due)
        )

    async def _read_row(self, local_limit: local_limits.LocalLimit) -> bool:
        try:
            row = await self.table.get(local_limit.key)
        except platform_table.TableUnavailable:
            return False
        if row is None:
            local_limit.shares.observe(None, 0)
            return True
        parsed = ledger_rows.parse_ledger(row.value)
        if isinstance(parsed, result.Failure):
            events.emit(
                events.Event.LEDGER_REFUSED,
                row=local_limit.key,
                reason=parsed.failure(),
            )
            return False
        local_limit.shares.observe(parsed.unwrap(), row.version)
        return True

    async def _renew(self, local_limit: local_limits.LocalLimit) -> None:
        demand = local_limit.collect_demand()
        if not local_limit.shares.is_due(demand):
            return
        for _ in range(MAX_WRITE_ATTEMPTS):
            if await self._write_row(local_limit, demand):
                return
            await asyncio.sleep(self.rng.random() * MAX_CONFLICT_DELAY_S)
            if not await self._read_row(local_limit):
                return

    async def _write_row(
        self, local_limit: local_limits.LocalLimit, demand: int
    ) -> bool:
        """Write the row once; return false after a conflict."""
        shares = local_limit.shares
        proposed = shares.propose(demand, local_limit.window.in_use())
        renewal = shares.last_renewal
        write = platform_table.Write(
            local_limit.key,
            ledger_rows.render_ledger(proposed),
            shares.version,
        )
        write_result = await self.table.transact([write])
        if write_result is platform_table.WriteResult.COMMITTED:
            shares.confirm_write(renewal)
        if write_result is platform_table.WriteResult.CONFLICT:
            shares.reject_write(renewal)
        return write_result is not platform_table.WriteResult.CONFLICT

    def dump(self) -> dict[str, typing.Any]:
        """Return all shares for a state dump."""
        return {
            name: local_limit.dump()
            for name, local_limit in self.limits.items()
        }
