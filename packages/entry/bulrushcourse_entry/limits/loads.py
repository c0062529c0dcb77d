"""Loads of pools, told by their owners."""

import asyncio
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.routing import router
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_entry.slots import keeper as pool_keeper
from bulrushcourse_entry.slots import owned as owned_pools
from bulrushcourse_wire import load_messages

TELL_INTERVAL_S = 0.25
# Loads older than this say nothing; without news there is no spill.
STALE_AFTER_S = 2.0


@attrs.define(eq=False)
class LoadBoard:
    """Tells the loads of owned pools and remembers those of others.

    Attributes:
        region: Region of this entry.
        clock: Source of time.
        hub: Streams to peers.
        owned: Pools of this region by name.
        configuration: Configuration in force.
        told: Load and clock seconds of its arrival, by pool.
    """

    region: str
    clock: clocks.Clock
    hub: peer_hub.PeerHub
    owned: typing.Mapping[str, owned_pools.OwnedPool]
    configuration: configuration_set.ConfigurationSet | None = None
    told: dict[str, tuple[load_messages.PoolLoad, float]] = attrs.field(
        factory=dict
    )

    def start(self) -> None:
        """Follow what owners tell."""
        self.hub.received.subscribe(self._on_message)

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Take up a configuration.

        Args:
            configuration: The configuration that is now in force.
        """
        self.configuration = configuration

    async def run(self) -> None:
        """Tell the loads of owned pools until cancelled."""
        while True:
            loads = self.own_loads()
            if loads:
                self.hub.broadcast(load_messages.PoolLoads(loads))
            await asyncio.sleep(TELL_INTERVAL_S)

    def own_loads(self) -> tuple[load_messages.PoolLoad, ...]:
        """Return the loads of the pools that this entry owns."""
        now = self.clock.monotonic()
        loads = []
        for name, owned in self.owned.items():
            if not owned.term:
                continue
            instances = owned.pool.instances.values()
            load = load_messages.PoolLoad(
                name,
                sum(instance.slots for instance in instances),
                sum(len(instance.held) for instance in instances),
                len(owned.pool.waiting) + len(owned.parked),
            )
            self.told[name] = (load, now)
            loads.append(load)
        return tuple(loads)

    def loads(self, service: str) -> dict[str, router.RegionLoad]:
        """Return the load of a service's pools by region.

        Without news the local pool counts as free, as its owner queues and
        refuses, and the pools of other regions as absent.

        Args:
            service: Name of the service.
        """
        found = {}
        for region in set(self.configuration.regions.values()):
            load = self._load(service, region)
            if load is not None:
                found[region] = load
        return found

    def _load(self, service: str, region: str) -> router.RegionLoad | None:
        name = pool_keeper.pool_name(region, service)
        load, at = self.told.get(name, (None, 0.0))
        if load and self.clock.monotonic() - at <= STALE_AFTER_S:
            return router.RegionLoad(
                region, load.slots, load.in_flight, load.waiting
            )
        configured = len(self.configuration.instances(service, region))
        if region != self.region or not configured:
            return None
        pool = self.configuration.services[service].pool
        slots = self.configuration.pools[pool].slots
        return router.RegionLoad(region, configured * slots)

    def _on_message(self, received: peer_hub.Received) -> None:
        if isinstance(received.message, load_messages.PoolLoads):
            now = self.clock.monotonic()
            for load in received.message.loads:
                self.told[load.pool] = (load, now)
