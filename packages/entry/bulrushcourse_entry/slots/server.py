"""The owner's side of a region's pools."""

import asyncio
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.slots import pool as slot_pool
from bulrushcourse_domain.slots import recovery
from bulrushcourse_domain.slots import region_limit
from bulrushcourse_domain.slots import requests
from bulrushcourse_entry import events
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_entry.slots import granting as grants
from bulrushcourse_entry.slots import keeper as keepers
from bulrushcourse_entry.slots import owned as owned_pools
from bulrushcourse_entry.slots import switch as switches
from bulrushcourse_wire import slot_messages

DECIDE_INTERVAL_S = 0.05
Reason = requests.RefusalReason
CANCELLED = requests.ReleaseOutcome.CANCELLED


@attrs.define(eq=False)
class PoolServer:
    """Grants the slots of the pools that this entry owns.

    Every call of a pool is preceded by a check of the ownership in the same
    turn of the event loop; without ownership the pool's queue is empty, so
    that it grants nothing. Entries that did not say in this term what they
    hold are refused, so that their report cannot miss a grant of this term.

    Attributes:
        clock: Source of time.
        keeper: Keeps the ownership of pools.
        switch: Sends messages to entries.
        granting: Admits requests and carries out decisions.
        pools: Pools of this region by name.
        known: Last incarnation of each entry that was connected.
        configuration: Configuration in force.
    """

    clock: clocks.Clock
    keeper: keepers.OwnershipKeeper
    switch: switches.Switch
    granting: grants.Granting
    pools: dict[str, owned_pools.OwnedPool] = attrs.field(factory=dict)
    known: dict[str, str] = attrs.field(factory=dict)
    configuration: configuration_set.ConfigurationSet | None = None

    def start(self) -> None:
        """Follow messages of entries and changes of streams."""
        self.switch.hub.received.subscribe(self._on_message)
        self.switch.hub.changes.subscribe(self._on_change)

    async def run(self) -> None:
        """Decide what is due with time until cancelled."""
        while True:
            for owned in self.pools.values():
                self._decide(owned)
            await asyncio.sleep(DECIDE_INTERVAL_S)

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Take the instances and their slots from a configuration.

        Args:
            configuration: The configuration that is now in force.
        """
        self.configuration = configuration
        region = self.keeper.region
        for service in configuration.services.values():
            name = keepers.pool_name(region, service.name)
            if name not in self.keeper.pools:
                continue
            if name not in self.pools:
                self.pools[name] = owned_pools.OwnedPool(
                    name,
                    slot_pool.SlotPool(self.clock, {}),
                    self.keeper.pools[name],
                    service.idempotent,
                )
            owned = self.pools[name]
            owned.pool.classes = {
                c.name: attrs.evolve(
                    c,
                    deadline_limit_ms=configuration.time_limit_ms(service, c),
                )
                for c in configuration.request_classes.values()
            }
            owned.pool.in_flight_limit = region_limit.in_flight_limit(
                configuration, service.name, region
            )
            slots = configuration.pools[service.pool].slots
            found = configuration.instances(service.name, region)
            owned.pool.set_instances({i.name: slots for i in found})
            self._decide(owned)

    def set_leaving(self, instance: str, leaving: bool) -> None:
        """Stop or resume granting the slots of an instance.

        Args:
            instance: Name of the instance.
            leaving: Whether it is leaving.
        """
        for owned in self.pools.values():
            if instance in owned.pool.instances:
                self._is_owner(owned)
                self.granting.apply(
                    owned, owned.pool.set_leaving(instance, leaving)
                )

    def resign(self) -> None:
        """Refuse all waiting requests of pools that were given up."""
        for owned in self.pools.values():
            self._is_owner(owned)

    def dump(self) -> dict[str, typing.Any]:
        """Return owned pools with slots in use and waiting requests."""
        return {
            name: {
                'term': owned.term,
                'held': {
                    instance: len(slots.held)
                    for instance, slots in owned.pool.instances.items()
                },
                'waiting': len(owned.pool.waiting),
                'parked': len(owned.parked),
                'unreported': sorted(owned.pool.recovery.unreported),
            }
            for name, owned in self.pools.items()
        }

    def _is_owner(self, owned: owned_pools.OwnedPool) -> bool:
        term = owned.own.current_term() or 0
        if term != owned.term:
            if owned.term:
                self._end_term(owned)
            if term:
                self._begin_term(owned, term)
        return bool(term)

    def _begin_term(self, owned: owned_pools.OwnedPool, term: int) -> None:
        owned.term = term
        owned.reported.clear()
        owned.pool.take_over(self._possible_holders(owned))
        events.emit(events.Event.POOL_TAKEN, pool=owned.name, term=term)
        self.switch.broadcast(slot_messages.HeldSlotsRequest(owned.name, term))

    def _end_term(self, owned: owned_pools.OwnedPool) -> None:
        owned.term = 0
        events.emit(events.Event.POOL_LOST, pool=owned.name)
        for asked in owned.undecided():
            self.granting.drop(owned, asked)
            self.granting.refuse(
                asked.peer, owned.name, asked.wish, Reason.NOT_OWNER
            )

    def _possible_holders(self, owned: owned_pools.OwnedPool) -> set[str]:
        """Return incarnations that may hold slots, connected or not.

        An entry that is not connected is named by its last incarnation. If
        there is none the name of the entry stands for one that cannot
        report.
        """
        connected = self.switch.incarnations()
        holders = set(connected.values())
        former = self.keeper.former.get(owned.name)
        self.keeper.former[owned.name] = ''
        if former == '' and owned.term == 1:
            # The lease was free or released, so nobody was lost.
            return holders
        holders |= {former} - {'', None}
        longest_s = max(map(recovery.limit_s, owned.pool.classes.values()))
        now = self.clock.monotonic()
        for entry, last in self.keeper.last_listed.items():
            if entry not in connected and now - last <= longest_s:
                holders.add(self.known.get(entry, entry))
        return holders

    def _decide(self, owned: owned_pools.OwnedPool) -> None:
        if not self._is_owner(owned):
            return
        self.granting.apply(owned, owned.pool.decide())
        granted, waiting = owned.pool.granted, owned.pool.waiting
        for request_id, asked in list(owned.asked.items()):
            known = request_id in granted or request_id in waiting
            if not known and request_id not in owned.parked:
                # The pool ended a grant that no entry gave back.
                self.granting.forget(owned, asked, CANCELLED, '')
        for asked in list(owned.parked.values()):
            self.granting.admit(owned, asked)

    def _on_message(self, received: peer_hub.ReceivedMessage) -> None:
        handler = _HANDLERS.get(type(received.message))
        if handler is None:
            return
        owned = self.pools.get(received.message.pool)
        if owned is not None:
            handler(self, owned, received, received.message)

    def _on_request(
        self,
        owned: owned_pools.OwnedPool,
        received: peer_hub.ReceivedMessage,
        message: slot_messages.SlotRequest,
    ) -> None:
        wish = requests.SlotRequest(
            message.request_id,
            received.incarnation,
            message.request_class,
            self.clock.monotonic() + message.remaining_s,
            message.fingerprint or message.request_id,
            tuple(message.avoid),
            message.hedged,
        )
        reported = owned.reported.get(received.peer)
        if not self._is_owner(owned) or reported != received.incarnation:
            self.granting.refuse(
                received.peer, owned.name, wish, Reason.NOT_OWNER
            )
        elif wish.request_class not in owned.pool.classes:
            self.granting.refuse(
                received.peer, owned.name, wish, Reason.NO_INSTANCE
            )
        elif wish.request_id not in owned.asked:
            asked = owned_pools.Asked(received.peer, wish)
            owned.asked[wish.request_id] = asked
            self.granting.admit(owned, asked)

    def _on_cancel(
        self,
        owned: owned_pools.OwnedPool,
        received: peer_hub.ReceivedMessage,
        message: slot_messages.SlotCancel,
    ) -> None:
        self._is_owner(owned)
        asked = owned.asked.get(message.request_id)
        if message.request_id in owned.pool.granted:
            self.granting.release(owned, message.request_id, CANCELLED, None)
        elif asked is not None:
            self.granting.drop(owned, asked)

    def _on_release(
        self,
        owned: owned_pools.OwnedPool,
        received: peer_hub.ReceivedMessage,
        message: slot_messages.SlotRelease,
    ) -> None:
        self._is_owner(owned)
        outcome = requests.ReleaseOutcome(message.outcome)
        self.granting.release(
            owned, message.request_id, outcome, message.seconds
        )

    def _on_held(
        self,
        owned: owned_pools.OwnedPool,
        received: peer_hub.ReceivedMessage,
        message: slot_messages.HeldSlotsReport,
    ) -> None:
        """Count what an entry holds, and nothing else that it may hold."""
        if not self._is_owner(owned) or message.term != owned.term:
            return
        holder = received.incarnation
        held = {slot.request_id for slot in message.held}
        for request_id, run in list(owned.pool.granted.items()):
            if run.grant.holder == holder and request_id not in held:
                self.granting.release(owned, request_id, CANCELLED, None)
        grants = [
            self.granting.adopt(owned, received, slot)
            for slot in message.held
            if slot.instance in owned.pool.instances
        ]
        owned.reported[received.peer] = holder
        self.granting.apply(owned, owned.pool.report_held(holder, grants))

    def _on_change(self, change: peer_hub.PeerConnectionChange) -> None:
        """Drop what a peer waits for; its grants stay in use."""
        self.known[change.peer] = change.incarnation
        for owned in self.pools.values():
            owned.reported.pop(change.peer, None)
            for asked in owned.undecided(change.peer):
                self.granting.drop(owned, asked)
            if change.connected and self._is_owner(owned):
                self.switch.send(
                    change.peer,
                    slot_messages.HeldSlotsRequest(owned.name, owned.term),
                )


_HANDLERS = {
    slot_messages.SlotRequest: PoolServer._on_request,
    slot_messages.SlotCancel: PoolServer._on_cancel,
    slot_messages.SlotRelease: PoolServer._on_release,
    slot_messages.HeldSlotsReport: PoolServer._on_held,
}
