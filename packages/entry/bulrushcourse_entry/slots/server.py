"""Server that grants the slots of pools owned by this entry."""

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
from bulrushcourse_entry.slots import granter as granters
from bulrushcourse_entry.slots import messenger as messengers
from bulrushcourse_entry.slots import owned_pool as owned_pools
from bulrushcourse_entry.slots import ownership_manager as ownership_managers
from bulrushcourse_wire import slot_messages

DECIDE_INTERVAL_S = 0.05
Reason = requests.RefusalReason
CANCELLED = requests.ReleaseOutcome.CANCELLED


@attrs.define(eq=False)
class PoolServer:
    """Grants the slots of the pools that this entry owns.

    The ownership is checked before each call to a pool, without an ``await``
    in between; without ownership the pool's queue is empty, so that it grants
    nothing. Requests of an entry that has not reported its held slots in this
    term are refused, so that its report cannot miss a grant of this term.

    Attributes:
        clock: Source of time.
        ownership_manager: Acquires and renews the ownership of pools.
        messenger: Sends messages to entries.
        granter: Admits requests and sends decisions.
        pools: Pools of this region by name.
        last_incarnations: Last incarnation of each peer that has connected.
        configuration: The active configuration.
    """

    clock: clocks.Clock
    ownership_manager: ownership_managers.OwnershipManager
    messenger: messengers.EntryMessenger
    granter: granters.SlotGranter
    pools: dict[str, owned_pools.OwnedPool] = attrs.field(factory=dict)
    last_incarnations: dict[str, str] = attrs.field(factory=dict)
    configuration: configuration_set.ConfigurationSet | None = None

    def start(self) -> None:
        """Subscribe to messages of entries and to connection changes."""
        self.messenger.hub.received.subscribe(self._on_message)
        self.messenger.hub.changes.subscribe(self._on_connection_change)

    async def run(self) -> None:
        """Make the pools' time-dependent decisions until cancelled."""
        while True:
            for owned in self.pools.values():
                self._decide(owned)
            await asyncio.sleep(DECIDE_INTERVAL_S)

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Apply the pools, instances and limits of a configuration.

        Args:
            configuration: The active configuration.
        """
        self.configuration = configuration
        region = self.ownership_manager.region
        for service in configuration.services.values():
            name = ownership_managers.pool_name(region, service.name)
            if name not in self.ownership_manager.pools:
                continue
            if name not in self.pools:
                self.pools[name] = owned_pools.OwnedPool(
                    name,
                    slot_pool.SlotPool(self.clock, {}),
                    self.ownership_manager.pools[name],
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
                self._refresh_ownership(owned)
                self.granter.send_decisions(
                    owned, owned.pool.set_leaving(instance, leaving)
                )

    def refuse_released(self) -> None:
        """Refuse the undecided requests of pools that were released."""
        for owned in self.pools.values():
            self._refresh_ownership(owned)

    def dump(self) -> dict[str, typing.Any]:
        """Return the pools' held slots and waiting requests."""
        return {
            name: {
                'term': owned.term,
                'held': {
                    instance: len(slots.held)
                    for instance, slots in owned.pool.instances.items()
                },
                'waiting': len(owned.pool.queue),
                'parked': len(owned.parked),
                'unreported': sorted(owned.pool.recovery.unreported),
            }
            for name, owned in self.pools.items()
        }

    def _refresh_ownership(self, owned: owned_pools.OwnedPool) -> bool:
        """Begin or end a term if it changed; return whether a pool is owned.

        Each call to the pool must follow this check.
        """
        term = owned.ownership.current_term() or 0
        if term != owned.term:
            if owned.term:
                self._end_term(owned)
            if term:
                self._begin_term(owned, term)
        return bool(term)

    def _begin_term(self, owned: owned_pools.OwnedPool, term: int) -> None:
        owned.term = term
        owned.reported.clear()
        owned.pool.start_recovery(self._possible_holders(owned))
        events.emit(events.Event.POOL_TAKEN, pool=owned.name, term=term)
        self.messenger.broadcast(
            slot_messages.HeldSlotsRequest(owned.name, term)
        )

    def _end_term(self, owned: owned_pools.OwnedPool) -> None:
        owned.term = 0
        events.emit(events.Event.POOL_LOST, pool=owned.name)
        for tracked in owned.undecided():
            self.granter.withdraw(owned, tracked)
            self.granter.send_refusal(
                tracked.peer, owned.name, tracked.request, Reason.NOT_OWNER
            )

    def _possible_holders(self, owned: owned_pools.OwnedPool) -> set[str]:
        """Return the incarnations that may hold slots of a pool.

        An entry that is not connected is represented by its last known
        incarnation, or by its own name, which never reports, if none is known.
        The pool's former holder is cleared.
        """
        connected = self.messenger.incarnations()
        holders = set(connected.values())
        former = self.ownership_manager.former_holders.get(owned.name)
        self.ownership_manager.former_holders[owned.name] = ''
        if former == '' and owned.term == 1:
            # The lease was free or released, so no former owner was lost.
            return holders
        holders |= {former} - {'', None}
        max_duration_s = max(
            map(recovery.max_duration_s, owned.pool.classes.values())
        )
        now = self.clock.monotonic()
        for entry, last in self.ownership_manager.last_listed.items():
            if entry not in connected and now - last <= max_duration_s:
                holders.add(self.last_incarnations.get(entry, entry))
        return holders

    def _decide(self, owned: owned_pools.OwnedPool) -> None:
        if not self._refresh_ownership(owned):
            return
        self.granter.send_decisions(owned, owned.pool.decide())
        granted, waiting = owned.pool.granted, owned.pool.queue
        for request_id, tracked in list(owned.tracked.items()):
            is_in_pool = request_id in granted or request_id in waiting
            if not is_in_pool and request_id not in owned.parked:
                # The pool ended a grant that no entry had released.
                self.granter.finish(owned, tracked, CANCELLED, '')
        for tracked in list(owned.parked.values()):
            self.granter.admit(owned, tracked)

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
        request = requests.SlotRequest(
            message.request_id,
            received.incarnation,
            message.request_class,
            self.clock.monotonic() + message.remaining_s,
            message.fingerprint or message.request_id,
            tuple(message.avoid),
            message.hedged,
        )
        reported = owned.reported.get(received.peer)
        if (
            not self._refresh_ownership(owned)
            or reported != received.incarnation
        ):
            self.granter.send_refusal(
                received.peer, owned.name, request, Reason.NOT_OWNER
            )
        elif request.request_class not in owned.pool.classes:
            self.granter.send_refusal(
                received.peer, owned.name, request, Reason.NO_INSTANCE
            )
        elif request.request_id not in owned.tracked:
            tracked = owned_pools.TrackedRequest(received.peer, request)
            owned.tracked[request.request_id] = tracked
            self.granter.admit(owned, tracked)

    def _on_cancel(
        self,
        owned: owned_pools.OwnedPool,
        received: peer_hub.ReceivedMessage,
        message: slot_messages.SlotCancel,
    ) -> None:
        self._refresh_ownership(owned)
        tracked = owned.tracked.get(message.request_id)
        if message.request_id in owned.pool.granted:
            self.granter.release(owned, message.request_id, CANCELLED, None)
        elif tracked is not None:
            self.granter.withdraw(owned, tracked)

    def _on_release(
        self,
        owned: owned_pools.OwnedPool,
        received: peer_hub.ReceivedMessage,
        message: slot_messages.SlotRelease,
    ) -> None:
        self._refresh_ownership(owned)
        outcome = requests.ReleaseOutcome(message.outcome)
        self.granter.release(
            owned, message.request_id, outcome, message.seconds
        )

    def _on_held_slots_report(
        self,
        owned: owned_pools.OwnedPool,
        received: peer_hub.ReceivedMessage,
        message: slot_messages.HeldSlotsReport,
    ) -> None:
        """Replace an entry's grants by the slots that it reports."""
        if not self._refresh_ownership(owned) or message.term != owned.term:
            return
        holder = received.incarnation
        held = {slot.request_id for slot in message.held}
        for request_id, active in list(owned.pool.granted.items()):
            if active.grant.holder == holder and request_id not in held:
                self.granter.release(owned, request_id, CANCELLED, None)
        grants = [
            self.granter.restore_grant(owned, received, slot)
            for slot in message.held
            if slot.instance in owned.pool.instances
        ]
        owned.reported[received.peer] = holder
        self.granter.send_decisions(
            owned, owned.pool.record_held_grants(holder, grants)
        )

    def _on_connection_change(
        self, change: peer_hub.PeerConnectionChange
    ) -> None:
        """Withdraw a peer's undecided requests; its grants stay in use."""
        self.last_incarnations[change.peer] = change.incarnation
        for owned in self.pools.values():
            owned.reported.pop(change.peer, None)
            for tracked in owned.undecided(change.peer):
                self.granter.withdraw(owned, tracked)
            if change.connected and self._refresh_ownership(owned):
                self.messenger.send(
                    change.peer,
                    slot_messages.HeldSlotsRequest(owned.name, owned.term),
                )


_HANDLERS = {
    slot_messages.SlotRequest: PoolServer._on_request,
    slot_messages.SlotCancel: PoolServer._on_cancel,
    slot_messages.SlotRelease: PoolServer._on_release,
    slot_messages.HeldSlotsReport: PoolServer._on_held_slots_report,
}
