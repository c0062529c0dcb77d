"""Periodic gauges of store access, limits and pools."""

import asyncio

import attrs

from bulrushcourse_domain.slots import pool as slot_pool
from bulrushcourse_entry import metrics as entry_metrics
from bulrushcourse_entry.limits import limit_manager as limit_managers
from bulrushcourse_entry.platform import table as platform_table
from bulrushcourse_entry.slots import server as pool_server

REPORT_INTERVAL_S = 10.0


@attrs.define(eq=False)
class GaugeReporter:
    """Sends gauges of the pools that this entry owns and of its shares.

    Attributes:
        metrics: Receiver of metrics.
        table: The platform's table service.
        server: Pools that this entry may own.
        limits: This entry's shares of limits.
    """

    metrics: entry_metrics.Metrics
    table: platform_table.HttpTable
    server: pool_server.PoolServer
    limits: limit_managers.LimitManager

    async def run(self) -> None:
        """Send gauges until cancelled."""
        while True:
            self.report()
            await asyncio.sleep(REPORT_INTERVAL_S)

    def report(self) -> None:
        """Send all gauges once."""
        self.metrics.gauge('store.reachable', int(self.table.reachable))
        for name, owned in self.server.pools.items():
            if owned.term:
                self._report_pool(name.replace('/', '.'), owned.pool)
        for name, limit in self.limits.limits.items():
            usable = limit.shares.usable
            self.metrics.gauge(f'limit.{name}.usable', usable)
            self.metrics.gauge(
                f'limit.{name}.headroom', usable - limit.window.in_use()
            )

    def _report_pool(self, name: str, pool: slot_pool.SlotPool) -> None:
        usable = sum(map(pool.health.open_slots, pool.instances))
        self.metrics.gauge(f'pool.{name}.headroom', usable - len(pool.granted))
        self.metrics.gauge(f'pool.{name}.waiting', len(pool.queue))
        self.metrics.gauge(
            f'pool.{name}.set_aside', len(pool.health.restricted)
        )
