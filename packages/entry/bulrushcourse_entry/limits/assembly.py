"""Assembly of the components that enforce limits and choose regions."""

import asyncio
import random
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_entry import settings as entry_settings
from bulrushcourse_entry.limits import limit_manager as limit_managers
from bulrushcourse_entry.limits import loads as load_exchange
from bulrushcourse_entry.limits import plans as plan_runner
from bulrushcourse_entry.limits import regions as region_selection
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_entry.platform import table as platform_table
from bulrushcourse_entry.platform import vm_list
from bulrushcourse_entry.slots import owned_pool as owned_pools


@attrs.define(eq=False)
class LimitsParts:
    """The components of an entry that enforce limits.

    Attributes:
        pool_loads: Exchanges the loads of pools with peers.
        limit_manager: Renews this entry's shares.
        plans: Steps shift plans.
        regions: Chooses regions.
    """

    pool_loads: load_exchange.PoolLoadExchange
    limit_manager: limit_managers.LimitManager
    plans: plan_runner.PlanRunner
    regions: region_selection.RegionSelector

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Apply a configuration to all components.

        Args:
            configuration: The active configuration.
        """
        self.pool_loads.configure(configuration)
        self.limit_manager.configure(configuration)
        self.plans.configure(configuration)
        self.regions.configure(configuration)

    def start(self) -> tuple[asyncio.Task, ...]:
        """Subscribe to peers; return the tasks, which run until cancelled."""
        self.pool_loads.start()
        return (
            asyncio.create_task(self.pool_loads.run()),
            asyncio.create_task(self.limit_manager.run()),
            asyncio.create_task(self.plans.run()),
        )

    async def stop(self) -> None:
        """Stop the link pacers."""
        await self.regions.stop()

    def dump(self) -> dict[str, typing.Any]:
        """Return shares, plans and routing decisions for a state dump."""
        return {
            'shares': self.limit_manager.dump(),
            'plans': self.plans.dump(),
            'routes': self.regions.dump(),
        }


def build_limits(
    settings: entry_settings.Settings,
    hub: peer_hub.PeerHub,
    clock: clocks.Clock,
    table: platform_table.Table,
    vms: vm_list.VmList,
    owned: typing.Mapping[str, owned_pools.OwnedPool],
) -> LimitsParts:
    """Return the components, before any configuration is applied.

    Args:
        settings: Settings of this entry.
        hub: Streams to peers.
        clock: Source of time.
        table: The platform's table service.
        vms: The platform's list of VMs.
        owned: Pools of this region by name.
    """
    incarnation = hub.identity.incarnation
    rng = random.Random(incarnation)
    limit_manager = limit_managers.LimitManager(
        clock,
        rng,
        table,
        vms,
        f'{settings.vm_id}/{incarnation}',
        (settings.vm_id, settings.entry),
    )
    pool_loads = load_exchange.PoolLoadExchange(
        settings.region, clock, hub, owned
    )
    plans = plan_runner.PlanRunner(settings.region, clock, pool_loads)
    regions = region_selection.RegionSelector(
        settings.region, clock, rng, limit_manager, pool_loads, plans
    )
    return LimitsParts(pool_loads, limit_manager, plans, regions)
