"""Exchange of pool loads between entries."""

import asyncio
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.routing import router
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_entry.slots import owned_pool as owned_pools
from bulrushcourse_entry.slots import ownership_manager as ownership_managers
from bulrushcourse_wire import load_messages

REPORT_INTERVAL_S = 0.25
# Four intervals without a report; the owner has stopped or is paused.
STALE_AFTER_S = 1.0


@attrs.frozen
class ReportedLoad:
    """A pool's load with its origin.

    Attributes:
        load: The load.
        peer: Name of the entry that reported it, empty for this one.
        received_at: Clock seconds when it was received.
    """

    load: load_messages.PoolLoad
    peer: str
    received_at: float


@attrs.define(eq=False)
class PoolLoadExchange:
    """Reports the loads of owned pools and stores those reported by peers.

    Attributes:
        region: Region of this entry.
        clock: Source of time.
        hub: Streams to peers.
        pools: Pools of this region by name.
        configuration: The active configuration.
        reports: Last reported load by pool name.
    """

    region: str
    clock: clocks.Clock
    hub: peer_hub.PeerHub
    pools: typing.Mapping[str, owned_pools.OwnedPool]
    configuration: configuration_set.ConfigurationSet | None = None
    reports: dict[str, ReportedLoad] = attrs.field(factory=dict)

    def start(self) -> None:
        """Subscribe to reports of owners and to connection changes."""
        self.hub.received.subscribe(self._on_message)
        self.hub.changes.subscribe(self._on_connection_change)

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Apply a configuration.

        Args:
            configuration: The active configuration.
        """
        self.configuration = configuration

    async def run(self) -> None:
        """Report the loads of owned pools until cancelled."""
        while True:
            loads = self.own_loads()
            if loads:
                self.hub.broadcast(load_messages.PoolLoads(loads))
            await asyncio.sleep(REPORT_INTERVAL_S)

    def own_loads(self) -> tuple[load_messages.PoolLoad, ...]:
        """Store and return the loads of the pools that this entry owns."""
        now = self.clock.monotonic()
        loads = []
        for name, owned in self.pools.items():
            if not owned.term:
                continue
            instances = owned.pool.instances.values()
            load = load_messages.PoolLoad(
                name,
                # Includes slots that are withheld after a takeover: they are
                # free soon, so requests should wait rather than be shed.
                sum(map(owned.pool.health.open_slots, owned.pool.instances)),
                sum(len(instance.held) for instance in instances),
                len(owned.pool.queue) + len(owned.parked),
                owned.pool.healthy_slots(),
            )
            self.reports[name] = ReportedLoad(load, '', now)
            loads.append(load)
        return tuple(loads)

    def loads(self, service: str) -> dict[str, router.RegionLoad]:
        """Return the load of a service's pools by region.

        A pool without a recent report has no running owner. In this region it
        counts as a pool without healthy slots, so that requests go to other
        regions and wait for an owner only if they cannot; in other regions it
        is omitted.

        Args:
            service: Name of the service.
        """
        loads = {}
        for region in set(self.configuration.regions.values()):
            load = self._load(service, region)
            if load is not None:
                loads[region] = load
        return loads

    def _load(self, service: str, region: str) -> router.RegionLoad | None:
        name = ownership_managers.pool_name(region, service)
        report = self.reports.get(name)
        if (
            report
            and self.clock.monotonic() - report.received_at <= STALE_AFTER_S
        ):
            load = report.load
            return router.RegionLoad(
                region,
                load.slots,
                load.in_flight,
                load.waiting,
                load.healthy,
            )
        configured = len(self.configuration.instances(service, region))
        if region != self.region or not configured:
            return None
        pool = self.configuration.services[service].pool
        slots = self.configuration.pools[pool].slots
        return router.RegionLoad(region, configured * slots, healthy=0)

    def _on_message(self, received: peer_hub.ReceivedMessage) -> None:
        if isinstance(received.message, load_messages.PoolLoads):
            now = self.clock.monotonic()
            for load in received.message.loads:
                self.reports[load.pool] = ReportedLoad(
                    load, received.peer, now
                )

    def _on_connection_change(
        self, change: peer_hub.PeerConnectionChange
    ) -> None:
        if not change.connected:
            self.reports = {
                pool: report
                for pool, report in self.reports.items()
                if report.peer != change.peer
            }
