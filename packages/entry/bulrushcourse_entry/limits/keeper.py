"""The task that keeps this entry's shares in the rows of limits."""

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
from bulrushcourse_entry.limits import held_limit
from bulrushcourse_entry.platform import table as platform_table
from bulrushcourse_entry.platform import vm_list
from bulrushcourse_wire import ledgers as ledger_rows

# Shares that lack room are asked for at once, but not more often than this.
QUICK_ROUND_S = 0.5
ATTEMPTS = 4
CONFLICT_PAUSE_S = 0.05


@attrs.define(eq=False)
class LimitKeeper:
    """Reads and renews the shares of all limits.

    Attributes:
        clock: Source of time.
        random: Source of the pauses after conflicts.
        table: The platform's table service.
        vms: The platform's list of VMs.
        holder: Identifier of this incarnation.
        vm: Identifier of this VM and name of its seat.
        limits: Limits with shares, by name.
        wanted: Set when a share lacks room.
    """

    clock: clocks.Clock
    random: random.Random
    table: platform_table.Table
    vms: vm_list.VmList
    holder: str
    vm: tuple[str, str]
    limits: dict[str, held_limit.HeldLimit] = attrs.field(factory=dict)
    wanted: asyncio.Event = attrs.field(factory=asyncio.Event)

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Take up the limits of a configuration.

        Args:
            configuration: The configuration that is now in force.
        """
        kept = {}
        for limit in configuration.objects.limits:
            terms = ledgers.limit_terms(configuration, limit)
            if terms is None:
                continue
            held = self.limits.get(limit.name)
            if held is None:
                held = held_limit.open_limit(
                    self.clock, limit, terms, self.holder, self.vm
                )
            held.limit = limit
            held.shares.configure(terms)
            kept[limit.name] = held
        self.limits = kept
        self.wanted.set()

    def find(
        self, kind: objects.LimitKind, source: str, target: str
    ) -> list[held_limit.HeldLimit]:
        """Return the limits from one region to another.

        Args:
            kind: Kind of limit.
            source: Region that traffic leaves.
            target: Region that traffic enters.
        """
        wanted = (kind, source, target)
        return [
            held
            for held in self.limits.values()
            if (held.limit.kind, held.limit.source, held.limit.target)
            == wanted
        ]

    def request_renewal(self) -> None:
        """Ask for a round soon because a share lacks room."""
        self.wanted.set()

    async def run(self) -> None:
        """Keep shares until cancelled."""
        while True:
            await self.renew_shares()
            await asyncio.sleep(QUICK_ROUND_S)
            try:
                rest_s = share_ledger.RENEWAL_S - QUICK_ROUND_S
                async with asyncio.timeout(rest_s):
                    await self.wanted.wait()
            except TimeoutError:
                pass

    async def renew_shares(self) -> None:
        """Read the rows, ask for the list, then write what is due.

        The list is asked after the rows were read: a holder that the rows
        show and the list lacks has ended.
        """
        self.wanted.clear()
        limits = list(self.limits.values())
        read = await asyncio.gather(*(self._read(held) for held in limits))
        listed = await self.vms.list()
        if listed is not None:
            seats = {vm.vm_id: vm.entry for vm in listed}
            for held in limits:
                held.shares.update_vm_list(seats)
        due = [held for held, known in zip(limits, read, strict=True) if known]
        await asyncio.gather(*(self._renew(held) for held in due))

    async def _read(self, held: held_limit.HeldLimit) -> bool:
        try:
            row = await self.table.get(held.key)
        except platform_table.TableUnavailable:
            return False
        if row is None:
            held.shares.observe(None, 0)
            return True
        parsed = ledger_rows.parse_ledger(row.value)
        if isinstance(parsed, result.Failure):
            events.emit(
                events.Event.LEDGER_REFUSED,
                row=held.key,
                reason=parsed.failure(),
            )
            return False
        held.shares.observe(parsed.unwrap(), row.version)
        return True

    async def _renew(self, held: held_limit.HeldLimit) -> None:
        demand = held.take_demand()
        if not held.shares.is_due(demand):
            return
        for _ in range(ATTEMPTS):
            if await self._write(held, demand):
                return
            await asyncio.sleep(self.random.random() * CONFLICT_PAUSE_S)
            if not await self._read(held):
                return

    async def _write(self, held: held_limit.HeldLimit, demand: int) -> bool:
        """Write the row once; return whether no new attempt is needed."""
        shares = held.shares
        proposed = shares.propose(demand, held.window.in_use())
        renewal = shares.last_renewal
        write = platform_table.Write(
            held.key, ledger_rows.render_ledger(proposed), shares.version
        )
        written = await self.table.transact([write])
        if written is platform_table.WriteResult.COMMITTED:
            shares.confirm_write(renewal)
        if written is platform_table.WriteResult.CONFLICT:
            shares.reject_write(renewal)
        return written is not platform_table.WriteResult.CONFLICT

    def dump(self) -> dict[str, typing.Any]:
        """Return all shares for a state dump."""
        return {name: held.dump() for name, held in self.limits.items()}
