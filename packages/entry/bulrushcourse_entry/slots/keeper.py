"""Tasks that take, renew and give up the ownership of a region's pools."""

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
from bulrushcourse_domain.slots import ownership
from bulrushcourse_domain.slots import promises
from bulrushcourse_domain.slots import region_members
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_entry.platform import table as platform_table
from bulrushcourse_entry.platform import vm_list
from bulrushcourse_wire import slot_messages

LIST_INTERVAL_S = 0.5
RENEW_INTERVAL_S = 1.0
OBSERVE_INTERVAL_S = 0.5
PROMISE_INTERVAL_S = 0.5

WRITE_RESULTS = {
    platform_table.WriteResult.COMMITTED: leases.LeaseWriteResult.COMMITTED,
    platform_table.WriteResult.CONFLICT: leases.LeaseWriteResult.CONFLICT,
    platform_table.WriteResult.UNKNOWN: leases.LeaseWriteResult.UNKNOWN,
}


def pool_name(region: str, service: str) -> str:
    """Return the name of a pool between entries.

    Args:
        region: Region of the instances.
        service: Name of the service.

    Examples:
        >>> pool_name('ro-nord', 'catalog')
        'ro-nord/catalog'
    """
    return f'{region}/{service}'


@attrs.define(eq=False)
class OwnershipKeeper:
    """Keeps this entry's part in the ownership of its region's pools.

    Attributes:
        clock: Source of time.
        region: Region of this entry.
        table: The platform's table service.
        vms: The platform's list of VMs.
        hub: Streams to peers.
        members: Entries of the region.
        rng: Source of the waits between turns.
        pools: Ownership by name of pool.
        former: Other incarnation that last held the lease, by name of pool;
            empty if it released the lease or did not exist.
        last_listed: Clock seconds at which an entry was last listed.
        connected_since: Clock seconds since which a peer is connected.
        places: Region of each failure domain.
        released: Set when a peer gave up a pool, by name of pool.
        tasks: Running tasks.
    """

    clock: clocks.Clock
    region: str
    table: platform_table.Table
    vms: vm_list.VmList
    hub: peer_hub.PeerHub
    members: region_members.RegionMembers
    rng: random.Random
    pools: dict[str, ownership.PoolOwnership] = attrs.field(factory=dict)
    former: dict[str, str] = attrs.field(factory=dict)
    last_listed: dict[str, float] = attrs.field(factory=dict)
    connected_since: dict[str, float] = attrs.field(factory=dict)
    places: dict[str, str] = attrs.field(factory=dict)
    released: dict[str, asyncio.Event] = attrs.field(
        factory=lambda: collections.defaultdict(asyncio.Event)
    )
    tasks: list[asyncio.Task] = attrs.field(factory=list)

    def start(self) -> None:
        """Follow the list of VMs and the promise requests of peers."""
        self.hub.received.subscribe(self._on_message)
        self.hub.changes.subscribe(self._on_change)
        self._spawn(self._follow_list(), 'list for ownership')
        self._spawn(self._ask_promises(), 'promises')

    async def stop(self) -> None:
        """End all tasks."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Take part in the ownership of the region's pools.

        Args:
            configuration: The configuration that is now in force.
        """
        self.places = configuration.regions
        entries = configuration.entries(self.region)
        self.members.seats = frozenset(entry.name for entry in entries)
        for service in configuration.services:
            pool = pool_name(self.region, service)
            if pool in self.pools:
                continue
            if configuration.instances(service, self.region):
                self.pools[pool] = ownership.open_ownership(
                    pool,
                    self.hub.identity.incarnation,
                    self.members,
                    self.rng,
                )
                self._spawn(self._keep_lease(pool), f'lease {pool}')

    async def leave(self) -> None:
        """Give all pools up, if another entry can take them over."""
        while (wait_s := self._successor_in_s()) > 0:
            if wait_s == math.inf:
                return
            await asyncio.sleep(wait_s)
        async with asyncio.TaskGroup() as group:
            for pool, own in self.pools.items():
                group.create_task(self._give_up(pool, own))

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of each pool's ownership for a state dump."""
        return {
            pool: {
                'owns': own.may_grant(),
                'term': own.term,
                'lease': own.lease.is_held(),
                'rank': own.rank(),
                'settled': own.members.is_settled(),
                'promised_to': own.pool_promises.given_to
                if own.pool_promises.is_outstanding()
                else '',
            }
            for pool, own in self.pools.items()
        }

    def _spawn(self, work: typing.Coroutine, name: str) -> None:
        self.tasks.append(asyncio.create_task(work, name=name))

    async def _follow_list(self) -> None:
        while True:
            asked_at = self.clock.monotonic()
            listed = await self.vms.list()
            if listed is not None and self.places:
                now = self.clock.monotonic()
                self.last_listed |= {vm.entry: now for vm in listed}
                self.members.update_list(
                    [
                        region_members.ListedVm(vm.vm_id, vm.entry)
                        for vm in listed
                        if self.places.get(vm.failure_domain) == self.region
                    ],
                    asked_at,
                )
            await asyncio.sleep(LIST_INTERVAL_S)

    async def _keep_lease(self, pool: str) -> None:
        own = self.pools[pool]
        while True:
            await self._renew(pool, own)
            owns = own.may_grant()
            released = self.released[pool]
            released.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    RENEW_INTERVAL_S if owns else OBSERVE_INTERVAL_S
                ):
                    await released.wait()

    async def _renew(self, pool: str, own: ownership.PoolOwnership) -> None:
        try:
            seen = await self._read(pool)
        except platform_table.TableUnavailable:
            return
        own.observe_row(seen)
        if seen.holder != own.incarnation:
            self.former[pool] = seen.holder
        write = own.plan_write()
        if write is not None:
            own.finish_write(write, await self._send_write(pool, write))

    def _successor_in_s(self) -> float:
        """Return when a connected entry of the region has settled.

        A pool that is given up before has no owner until then, which is as
        long as short requests may wait.
        """
        settle_s = self.members.times.settle_s + LIST_INTERVAL_S
        ends = [
            self.connected_since[peer] + settle_s
            for peer in self.members.others() & self.connected_since.keys()
        ]
        return min(ends, default=math.inf) - self.clock.monotonic()

    def _on_change(self, change: peer_hub.PeerConnectionChange) -> None:
        self.connected_since.pop(change.peer, None)
        if change.connected:
            self.connected_since[change.peer] = self.clock.monotonic()

    async def _give_up(self, pool: str, own: ownership.PoolOwnership) -> None:
        own.release()
        self._tell_release(pool, own)
        try:
            own.observe_row(await self._read(pool))
        except platform_table.TableUnavailable:
            return
        write = own.release()
        if write is not None:
            await self._send_write(pool, write)
            self._tell_release(pool, own)

    def _tell_release(self, pool: str, own: ownership.PoolOwnership) -> None:
        released = slot_messages.PoolReleased(pool, own.incarnation)
        for peer in self.members.others():
            self.hub.send(peer, released)

    async def _read(self, pool: str) -> leases.LeaseRow:
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

    async def _ask_promises(self) -> None:
        while True:
            for own in self.pools.values():
                request = own.request_promises()
                if request is not None:
                    self._send_promise_request(request)
            await asyncio.sleep(PROMISE_INTERVAL_S)

    def _send_promise_request(self, request: promises.PromiseRequest) -> None:
        message = slot_messages.PromiseRequest(
            request.pool, request.candidate, request.number, request.owns
        )
        for peer in self.members.others():
            self.hub.send(peer, message)

    def _on_message(self, received: peer_hub.ReceivedMessage) -> None:
        message = received.message
        own = self.pools.get(getattr(message, 'pool', ''))
        if own is None:
            return
        if isinstance(message, slot_messages.PoolReleased):
            own.record_release(message.candidate)
            self.released[message.pool].set()
        elif isinstance(message, slot_messages.PromiseRequest):
            promise = own.answer_promise_request(
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
            own.record_promise(
                promises.Promise(
                    message.pool,
                    received.peer,
                    message.candidate,
                    message.number,
                )
            )
