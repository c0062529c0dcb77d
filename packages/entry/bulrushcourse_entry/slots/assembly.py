"""Assembly of the components of an entry that handle slots."""

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
from bulrushcourse_entry.slots import client
from bulrushcourse_entry.slots import granter as granters
from bulrushcourse_entry.slots import messenger as messengers
from bulrushcourse_entry.slots import ownership_manager as ownership_managers
from bulrushcourse_entry.slots import server as servers
from bulrushcourse_entry.slots import shared_quarantine as shared_quarantines


@attrs.define(eq=False)
class SlotParts:
    """Pool ownership, slot server and slot client of an entry.

    Attributes:
        ownership_manager: Acquires and renews the ownership of pools.
        shared_quarantine: Quarantine that is replicated between entries.
        server: Grants the slots of owned pools.
        source: Acquires slots for the forwarding path.
        all_pools_owned: Whether every pool of the region has had an owner.
        decision_task: Runs the server's time-dependent decisions.
    """

    ownership_manager: ownership_managers.OwnershipManager
    shared_quarantine: shared_quarantines.SharedQuarantine
    server: servers.PoolServer
    source: client.SlotClient
    all_pools_owned: bool = False
    decision_task: asyncio.Task | None = None

    def start(self) -> None:
        """Start all components; call it before the first peer connects."""
        self.ownership_manager.start()
        self.shared_quarantine.start()
        self.source.start()
        self.server.start()
        self.decision_task = asyncio.create_task(
            self.server.run(), name='decisions'
        )

    async def stop(self) -> None:
        """Cancel all tasks and wait for them."""
        self.decision_task.cancel()
        await asyncio.gather(self.decision_task, return_exceptions=True)
        await self.ownership_manager.stop()
        await self.shared_quarantine.stop()

    async def leave(self) -> None:
        """Hand over the pools to other entries, if there are any."""
        await self.ownership_manager.leave()
        self.server.refuse_released()

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Apply the pools and instances of a configuration.

        Args:
            configuration: The active configuration.
        """
        self.ownership_manager.configure(configuration)
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
        if not self.all_pools_owned:
            pools = self.ownership_manager.pools.keys()
            self.all_pools_owned = pools <= self.source.sessions.keys()
        return self.all_pools_owned

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of all components for a state dump."""
        return {
            'ownership': self.ownership_manager.dump(),
            'pools': self.server.dump(),
            'source': self.source.dump(),
            'suspects': self.shared_quarantine.dump(),
        }


def build_slots(
    clock: clocks.Clock,
    region: str,
    hub: peer_hub.PeerHub,
    table: platform_table.Table,
    vms: vm_list.VmList,
) -> SlotParts:
    """Return the components of an entry that handle slots.

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
    ownership_manager = ownership_managers.OwnershipManager(
        clock, region, table, vms, hub, members, rng
    )
    messenger = messengers.EntryMessenger(hub)
    shared_quarantine = shared_quarantines.SharedQuarantine(clock, hub, table)
    granter = granters.SlotGranter(clock, messenger, shared_quarantine)
    server = servers.PoolServer(clock, ownership_manager, messenger, granter)
    return SlotParts(
        ownership_manager,
        shared_quarantine,
        server,
        client.SlotClient(clock, messenger),
    )
