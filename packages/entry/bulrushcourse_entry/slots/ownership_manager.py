"""Tasks that acquire, renew and release ownership of a region's pools."""

import asyncio
import collections
import contextlib
import math
import random
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.slots import lease as leases
from bulrushcourse_domain.slots import ownership as ownerships
from bulrushcourse_domain.slots import promises
from bulrushcourse_domain.slots import region_members
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_entry.platform import table as platform_table
from bulrushcourse_entry.platform import vm_list
from bulrushcourse_wire import slot_messages

VM_LIST_INTERVAL_S = 0.5
RENEW_INTERVAL_S = 1.0
OBSERVE_INTERVAL_S = 0.5
PROMISE_INTERVAL_S = 0.5

WRITE_RESULTS = {
    platform_table.WriteResult.COMMITTED: leases.LeaseWriteResult.COMMITTED,
    platform_table.WriteResult.CONFLICT: leases.LeaseWriteResult.CONFLICT,
    platform_table.WriteResult.UNKNOWN: leases.LeaseWriteResult.UNKNOWN,
}


def pool_name(region: str, service: str) -> str:
    """Return the name of a pool as it is used in messages and row keys.

    Args:
        region: Region of the instances.
        service: Name of the service.

    Examples:
        >>> pool_name('ro-nord', 'catalog')
        'ro-nord/catalog'
    """
    return f'{region}/{service}'


@attrs.define(eq=False)
class OwnershipManager:
    """Acquires, renews and releases ownership of this region's pools.

    An owner holds the pool's lease in the table or the promises of all other
    entries of the region.

    Attributes:
        clock: Source of time.
        region: Region of this entry.
        table: The platform's table service.
        vms: The platform's list of VMs.
        hub: Streams to peers.
        members: Entries of the region.
        rng: Source of the random delays between turns.
        pools: Ownership by pool name.
        former_holders: Other incarnation that last held the lease, by pool
            name; empty if it released the lease or there was none.
        last_listed: Clock seconds when each entry was last in the VM list.
        connected_since: Clock seconds when each connected peer connected.
        failure_domain_regions: Region of each failure domain.
        release_events: Set when a peer has released a pool, by pool name.
        tasks: Running tasks.
    """

    clock: clocks.Clock
    region: str
    table: platform_table.Table
    vms: vm_list.VmList
    hub: peer_hub.PeerHub
    members: region_members.RegionMembers
    rng: random.Random
    pools: dict[str, ownerships.PoolOwnership] = attrs.field(factory=dict)
    former_holders: dict[str, str] = attrs.field(factory=dict)
    last_listed: dict[str, float] = attrs.field(factory=dict)
    connected_since: dict[str, float] = attrs.field(factory=dict)
    failure_domain_regions: dict[str, str] = attrs.field(factory=dict)
    release_events: dict[str, asyncio.Event] = attrs.field(
        factory=lambda: collections.defaultdict(asyncio.Event)
    )
    tasks: list[asyncio.Task] = attrs.field(factory=list)

    def start(self) -> None:
        """Subscribe to peers, and start polling and requesting promises."""
        self.hub.received.subscribe(self._on_message)
        self.hub.changes.subscribe(self._on_connection_change)
        self._spawn(self._poll_vm_list(), 'list for ownership')
        self._spawn(self._send_promise_requests(), 'promises')

    async def stop(self) -> None:
        """Cancel all tasks and wait for them."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Start a lease task for each new pool of the region.

        Args:
            configuration: The active configuration.
        """
        self.failure_domain_regions = configuration.regions
        entries = configuration.entries(self.region)
        self.members.configured_entries = frozenset(
            entry.name for entry in entries
        )
        for service in configuration.services:
            pool = pool_name(self.region, service)
            if pool in self.pools:
                continue
            if configuration.instances(service, self.region):
                self.pools[pool] = ownerships.build_ownership(
                    pool,
                    self.hub.identity.incarnation,
                    self.members,
                    self.rng,
                )
                self._spawn(self._keep_lease(pool), f'lease {pool}')

    async def leave(self) -> None:
        """Release all pools once a peer can take them over.

        Returns without releasing them if no other entry of the region is
        connected.
        """
        while (wait_s := self._successor_ready_in_s()) > 0:
            if wait_s == math.inf:
                return
            await asyncio.sleep(wait_s)
        async with asyncio.TaskGroup() as group:
            for pool, ownership in self.pools.items():
                group.create_task(self._release_pool(pool, ownership))

    def dump(self) -> dict[str, typing.Any]:
        """Return each pool's ownership for a state dump."""
        return {
            pool: {
                'owns': ownership.may_grant(),
                'term': ownership.term,
                'lease': ownership.lease.is_held(),
                'rank': ownership.rank(),
                'settled': ownership.members.is_settled(),
                'promised_to': ownership.pool_promises.promised_to
                if ownership.pool_promises.is_promised()
                else '',
            }
            for pool, ownership in self.pools.items()
        }

    def _spawn(self, coroutine: typing.Coroutine, name: str) -> None:
        self.tasks.append(asyncio.create_task(coroutine, name=name))

    async def _poll_vm_list(self) -> None:
        while True:
            requested_at = self.clock.monotonic()
            listed = await self.vms.list()
            if listed is not None and self.failure_domain_regions:
                now = self.clock.monotonic()
                self.last_listed |= {vm.entry: now for vm in listed}
                self.members.update_vm_list(
                    [
                        region_members.ListedVm(vm.vm_id, vm.entry)
                        for vm in listed
                        if self.failure_domain_regions.get(vm.failure_domain)
                        == self.region
                    ],
                    requested_at,
                )
            await asyncio.sleep(VM_LIST_INTERVAL_S)

    async def _keep_lease(self, pool: str) -> None:
        ownership = self.pools[pool]
        while True:
            await self._renew(pool, ownership)
            owns = ownership.may_grant()
            released = self.release_events[pool]
            released.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    RENEW_INTERVAL_S if owns else OBSERVE_INTERVAL_S
                ):
                    await released.wait()

    async def _renew(
        self, pool: str, ownership: ownerships.PoolOwnership
    ) -> None:
        try:
            row = await self._read_row(pool)
        except platform_table.TableUnavailable:
            return
        ownership.observe_row(row)
        if row.holder != ownership.incarnation:
            self.former_holders[pool] = row.holder
        write = ownership.plan_write()
        if write is not None:
            ownership.record_write_result(
                write, await self._send_write(pool, write)
            )

    def _successor_ready_in_s(self) -> float:
        """Return the seconds until a connected peer of the region settles.

        Infinite if no peer is connected. A pool released earlier would have
        no owner until then, which is as long as short requests may wait.
        """
        settling_s = self.members.durations.settling_s + VM_LIST_INTERVAL_S
        ready_at = [
            self.connected_since[peer] + settling_s
            for peer in self.members.other_entries()
            & self.connected_since.keys()
        ]
        return min(ready_at, default=math.inf) - self.clock.monotonic()

    def _on_connection_change(
        self, change: peer_hub.PeerConnectionChange
    ) -> None:
        self.connected_since.pop(change.peer, None)
        if change.connected:
            self.connected_since[change.peer] = self.clock.monotonic()

    async def _release_pool(
        self, pool: str, ownership: ownerships.PoolOwnership
    ) -> None:
        ownership.resign()
        self._notify_release(pool, ownership)
        try:
            ownership.observe_row(await self._read_row(pool))
        except platform_table.TableUnavailable:
            return
        write = ownership.resign()
        if write is not None:
            await self._send_write(pool, write)
            self._notify_release(pool, ownership)

    def _notify_release(
        self, pool: str, ownership: ownerships.PoolOwnership
    ) -> None:
        released = slot_messages.PoolReleased(pool, ownership.incarnation)
        for peer in self.members.other_entries():
            self.hub.send(peer, released)

    async def _read_row(self, pool: str) -> leases.LeaseRow:
        row = await self.table.get(f'pools/{pool}')
        if row is None:
            return leases.LeaseRow()
        return leases.LeaseRow(row.version, **row.value)

    async def _send_write(
        self, pool: str, write: leases.LeaseWrite
    ) -> leases.LeaseWriteResult:
        value = attrs.asdict(write)
        expected = value.pop('expected')
        result = await self.table.transact(
            [platform_table.Write(f'pools/{pool}', value, expected)]
        )
        return WRITE_RESULTS[result]

    async def _send_promise_requests(self) -> None:
        while True:
            for ownership in self.pools.values():
                request = ownership.request_promises()
                if request is not None:
                    self._send_promise_request(request)
            await asyncio.sleep(PROMISE_INTERVAL_S)

    def _send_promise_request(self, request: promises.PromiseRequest) -> None:
        message = slot_messages.PromiseRequest(
            request.pool, request.candidate, request.number, request.owns
        )
        for peer in self.members.other_entries():
            self.hub.send(peer, message)

    def _on_message(self, received: peer_hub.ReceivedMessage) -> None:
        message = received.message
        ownership = self.pools.get(getattr(message, 'pool', ''))
        if ownership is None:
            return
        if isinstance(message, slot_messages.PoolReleased):
            ownership.record_resignation(message.candidate)
            self.release_events[message.pool].set()
        elif isinstance(message, slot_messages.PromiseRequest):
            promise = ownership.answer_promise_request(
                promises.PromiseRequest(
                    message.pool,
                    received.peer,
                    message.candidate,
                    message.number,
                    message.owns,
                )
            )
            if promise is not None:
                self.hub.send(
                    received.peer,
                    slot_messages.OwnershipPromise(
                        promise.pool, promise.candidate, promise.number
                    ),
                )
        elif isinstance(message, slot_messages.OwnershipPromise):
            ownership.record_promise(
                promises.Promise(
                    message.pool,
                    received.peer,
                    message.candidate,
                    message.number,
                )
            )
