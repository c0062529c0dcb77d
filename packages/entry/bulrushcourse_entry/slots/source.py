"""Where the forwarding path gets slots from."""

import asyncio
import typing

import attrs
from returns import result

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.slots import pool as slot_pool
from bulrushcourse_domain.slots import requests


class SlotSource(typing.Protocol):
    """Gives slots of the pools of services in regions."""

    async def acquire(
        self, service: str, region: str, wish: requests.SlotRequest
    ) -> result.Result[requests.Grant, requests.Refusal]:
        """Wait for a slot; cancelling the call cancels the wish."""
        ...

    def release(
        self,
        service: str,
        region: str,
        request_id: str,
        outcome: requests.ReleaseOutcome,
        service_time_s: float,
    ) -> None:
        """Give a slot back."""
        ...


@attrs.define
class LocalSlots:
    """Slots of pools that this process owns alone.

    Attributes:
        clock: Source of time.
        configuration: Configuration in force.
        pools: Pools by service and region.
        waiters: Futures of waiting requests by identifier.
    """

    clock: clocks.Clock
    configuration: configuration_set.ConfigurationSet | None = None
    pools: dict[tuple[str, str], slot_pool.SlotPool] = attrs.field(
        factory=dict
    )
    waiters: dict[str, asyncio.Future] = attrs.field(factory=dict)

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Take the instances and their slots from a configuration.

        Args:
            configuration: The configuration that is now in force.
        """
        self.configuration = configuration
        regions = set(configuration.regions.values())
        for service in configuration.services.values():
            slots = configuration.pools[service.pool].slots
            for region in regions:
                pool = self.pools.setdefault(
                    (service.name, region),
                    slot_pool.SlotPool(self.clock, {}),
                )
                pool.classes = configuration.request_classes
                pool.set_instances(
                    {
                        i.name: slots
                        for i in configuration.instances(service.name, region)
                    }
                )
                self._settle(pool.decide())

    async def acquire(
        self, service: str, region: str, wish: requests.SlotRequest
    ) -> result.Result[requests.Grant, requests.Refusal]:
        """Wait for a slot; cancelling the call cancels the wish.

        Args:
            service: Name of the service.
            region: Region of the pool.
            wish: What is asked for.
        """
        pool = self.pools[service, region]
        waiter = asyncio.get_running_loop().create_future()
        self.waiters[wish.request_id] = waiter
        self._settle(pool.request(wish))
        try:
            async with asyncio.timeout(wish.deadline - self.clock.monotonic()):
                decision = await waiter
        except TimeoutError:
            decision = requests.Refusal(
                wish.request_id,
                wish.holder,
                requests.RefusalReason.DEADLINE,
            )
            self._withdraw(pool, wish.request_id)
        except asyncio.CancelledError:
            self._withdraw(pool, wish.request_id)
            raise
        finally:
            self.waiters.pop(wish.request_id, None)
        if isinstance(decision, requests.Grant):
            return result.Success(decision)
        return result.Failure(decision)

    def release(
        self,
        service: str,
        region: str,
        request_id: str,
        outcome: requests.ReleaseOutcome,
        service_time_s: float,
    ) -> None:
        """Give a slot back.

        Args:
            service: Name of the service.
            region: Region of the pool.
            request_id: The request that held the slot.
            outcome: How its work ended.
            service_time_s: How long the work took, in seconds.
        """
        self._settle(
            self.pools[service, region].release(
                request_id, outcome, service_time_s
            )
        )

    def sign_leaving(self, instance: str, leaving: bool) -> None:
        """Stop or resume granting the slots of an instance.

        Args:
            instance: Name of the instance.
            leaving: Whether it is leaving.
        """
        for pool in self.pools.values():
            if instance in pool.instances:
                self._settle(pool.sign_leaving(instance, leaving))

    def dump(self) -> dict[str, typing.Any]:
        """Return slots in use and requests waiting, by pool."""
        return {
            f'{service}/{region}': {
                'held': {n: len(i.held) for n, i in pool.instances.items()},
                'waiting': len(pool.waiting),
            }
            for (service, region), pool in self.pools.items()
        }

    def _withdraw(self, pool: slot_pool.SlotPool, request_id: str) -> None:
        # A grant may have been decided in the same turn of the event loop.
        pool.cancel(request_id)
        self._settle(pool.release(request_id))

    def _settle(self, decisions: tuple[requests.Decision, ...]) -> None:
        for decision in decisions:
            waiter = self.waiters.get(decision.request_id)
            if waiter is not None and not waiter.done():
                waiter.set_result(decision)
