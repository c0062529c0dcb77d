"""The parts of an entry that deal with slots, put together."""

import asyncio
import random
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.slots import region_members
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_entry.platform import table as platform_table
from bulrushcourse_entry.platform import vm_list
from bulrushcourse_entry.slots import granting as grants
from bulrushcourse_entry.slots import keeper as keepers
from bulrushcourse_entry.slots import server as servers
from bulrushcourse_entry.slots import shared
from bulrushcourse_entry.slots import suspects as suspect_news
from bulrushcourse_entry.slots import switch as switches


@attrs.define(eq=False)
class SlotParts:
    """Ownership of pools, granting of slots, and asking for them.

    Attributes:
        keeper: Keeps the ownership of pools.
        suspects: Losses by request.
        server: Grants slots of owned pools.
        source: Where the forwarding path gets slots from.
        found: Whether every pool of the region has had an owner.
        task: Decides what is due with time.
    """

    keeper: keepers.OwnershipKeeper
    suspects: suspect_news.Suspects
    server: servers.PoolServer
    source: shared.SharedSlots
    found: bool = False
    task: asyncio.Task | None = None

    def start(self) -> None:
        """Start all parts; call it before the first peer connects."""
        self.keeper.start()
        self.suspects.start()
        self.source.start()
        self.server.start()
        self.task = asyncio.create_task(self.server.run(), name='decisions')

    async def stop(self) -> None:
        """End all tasks."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.keeper.stop()
        await self.suspects.stop()

    async def leave(self) -> None:
        """Hand the pools over to other entries, if there are any."""
        await self.keeper.leave()
        self.server.resign()

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Take pools and instances from a configuration.

        Args:
            configuration: The configuration that is now in force.
        """
        self.keeper.configure(configuration)
        self.server.configure(configuration)

    def set_leaving(self, instance: str, leaving: bool) -> None:
        """Stop or resume granting the slots of an instance.

        Args:
            instance: Name of the instance.
            leaving: Whether it is leaving.
        """
        self.server.set_leaving(instance, leaving)

    def is_ready(self) -> bool:
        """Return whether every pool of the region has had an owner."""
        if not self.found:
            pools = self.keeper.pools.keys()
            self.found = pools <= self.source.sessions.keys()
        return self.found

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of all parts for a state dump."""
        return {
            'ownership': self.keeper.dump(),
            'pools': self.server.dump(),
            'source': self.source.dump(),
            'suspects': self.suspects.dump(),
        }


def build_slots(
    clock: clocks.Clock,
    region: str,
    hub: peer_hub.PeerHub,
    table: platform_table.Table,
    vms: vm_list.VmList,
) -> SlotParts:
    """Return the parts of an entry that deal with slots.

    Args:
        clock: Source of time.
        region: Region of the entry.
        hub: Streams to peers.
        table: The platform's table service.
        vms: The platform's list of VMs.
    """
    identity = hub.identity
    members = region_members.RegionMembers(
        clock, identity.entry, identity.vm_id
    )
    rng = random.Random(identity.incarnation)
    keeper = keepers.OwnershipKeeper(
        clock, region, table, vms, hub, members, rng
    )
    switch = switches.Switch(hub)
    suspects = suspect_news.Suspects(clock, hub, table)
    granting = grants.Granting(clock, switch, suspects)
    server = servers.PoolServer(clock, keeper, switch, granting)
    return SlotParts(
        keeper, suspects, server, shared.SharedSlots(clock, switch)
    )
