"""Client that acquires slots from pool owners, including this entry."""

import asyncio
import itertools
import typing

import attrs
from returns import result

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.slots import requests
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_entry.slots import client_state
from bulrushcourse_entry.slots import messenger as messengers
from bulrushcourse_entry.slots import ownership_manager
from bulrushcourse_wire import slot_messages

RETRY_DELAY_S = 0.02
# An instance notices a cancellation or an expired deadline a little later than
# the entry does. A slot released immediately would be granted to the next
# request while the instance still works on the cancelled one.
CANCEL_RELEASE_DELAY_S = 0.25
DELAYED_RELEASE_OUTCOMES = frozenset(
    (requests.ReleaseOutcome.CANCELLED, requests.ReleaseOutcome.LOST)
)


@attrs.define(eq=False)
class SlotClient:
    """Requests slots from the owners of pools.

    Requests go to an owner only after it has announced itself on the current
    stream and this entry has reported its held slots to it. A request that is
    undecided when the ownership changes is sent again under a new identifier;
    a late grant of the former owner is not used.

    Attributes:
        clock: Source of time.
        messenger: Sends messages to entries.
        sessions: Current owner by pool.
        pending: Undecided requests by identifier.
        held: Grants in use by request identifier.
        waiters: Futures that wait for an owner, by pool.
        timeouts: Time limits of the calls that wait for a slot.
        leaving: Whether the entry stops and uses no more slots.
    """

    clock: clocks.Clock
    messenger: messengers.EntryMessenger
    sessions: dict[str, client_state.OwnerSession] = attrs.field(factory=dict)
    pending: dict[str, client_state.PendingRequest] = attrs.field(factory=dict)
    held: dict[str, client_state.HeldGrant] = attrs.field(factory=dict)
    waiters: dict[str, set[asyncio.Future]] = attrs.field(factory=dict)
    timeouts: set[asyncio.Timeout] = attrs.field(factory=set)
    leaving: bool = False

    def start(self) -> None:
        """Subscribe to messages of owners and to connection changes."""
        self.messenger.hub.received.subscribe(self._on_message)
        self.messenger.hub.changes.subscribe(self._on_connection_change)

    async def acquire(
        self, service: str, region: str, request: requests.SlotRequest
    ) -> result.Result[requests.Grant, requests.Refusal]:
        """Wait for a slot; cancelling the call cancels the request.

        Args:
            service: Name of the service.
            region: Region of the pool.
            request: The slot request.
        """
        pool = ownership_manager.pool_name(region, service)
        if self.leaving:
            return result.Failure(self._refuse(pool, request))
        timeout = asyncio.timeout(request.deadline - self.clock.monotonic())
        self.timeouts.add(timeout)
        try:
            async with timeout:
                decision = await self._request_until_decided(pool, request)
        except TimeoutError:
            decision = self._refuse(pool, request)
        finally:
            self.timeouts.discard(timeout)
        if isinstance(decision, requests.Grant):
            return result.Success(decision)
        return result.Failure(decision)

    def refuse_waiting(self) -> None:
        """Refuse the calls that wait for a slot, and all further ones."""
        self.leaving = True
        now = asyncio.get_running_loop().time()
        for timeout in self.timeouts:
            if not timeout.expired():
                timeout.reschedule(now)

    def release(
        self,
        service: str,
        region: str,
        request_id: str,
        outcome: requests.ReleaseOutcome,
        service_time_s: float,
    ) -> None:
        """Release a slot, with a delay if its work may still be running.

        Args:
            service: Name of the service.
            region: Region of the pool.
            request_id: Identifier in the grant.
            outcome: How its work ended.
            service_time_s: How long the work took, in seconds.
        """
        release_result = requests.ReleaseResult(outcome, service_time_s)
        if outcome in DELAYED_RELEASE_OUTCOMES:
            loop = asyncio.get_running_loop()
            loop.call_later(
                CANCEL_RELEASE_DELAY_S,
                self._send_release,
                request_id,
                release_result,
            )
        else:
            self._send_release(request_id, release_result)

    def _send_release(
        self, request_id: str, release_result: requests.ReleaseResult
    ) -> None:
        held = self.held.pop(request_id, None)
        if held is None:
            return
        session = self.sessions.get(held.pool)
        # Without an owner nothing is sent: the next owner requests a report of
        # the held slots.
        if session is not None:
            self.messenger.send(
                session.peer,
                slot_messages.SlotRelease(
                    held.pool,
                    request_id,
                    release_result.outcome.value,
                    release_result.service_time_s,
                ),
            )

    def dump(self) -> dict[str, typing.Any]:
        """Return owners and numbers of grants and undecided requests."""
        return {
            'owners': {p: s.peer for p, s in sorted(self.sessions.items())},
            'held': len(self.held),
            'undecided': len(self.pending),
        }

    def _refuse(
        self, pool: str, request: requests.SlotRequest
    ) -> requests.Refusal:
        reason = requests.RefusalReason.DEADLINE
        if self.leaving:
            reason = requests.RefusalReason.LEAVING
        elif pool not in self.sessions:
            reason = requests.RefusalReason.UNREACHABLE
        return requests.Refusal(request.request_id, request.holder, reason)

    async def _request_until_decided(
        self, pool: str, request: requests.SlotRequest
    ) -> requests.Decision:
        for attempt_number in itertools.count():
            session = await self._wait_for_owner(pool)
            request_id = f'{request.request_id}~{attempt_number}'
            attempt = attrs.evolve(request, request_id=request_id)
            decision = await self._send_request(pool, session, attempt)
            if decision is not None:
                return decision
            await asyncio.sleep(RETRY_DELAY_S)
        raise AssertionError('unreachable')

    async def _wait_for_owner(self, pool: str) -> client_state.OwnerSession:
        while pool not in self.sessions:
            waiter = asyncio.get_running_loop().create_future()
            waiting = self.waiters.setdefault(pool, set())
            waiting.add(waiter)
            try:
                await waiter
            finally:
                waiting.discard(waiter)
        return self.sessions[pool]

    async def _send_request(
        self,
        pool: str,
        session: client_state.OwnerSession,
        request: requests.SlotRequest,
    ) -> requests.Decision | None:
        decision = asyncio.get_running_loop().create_future()
        pending = client_state.PendingRequest(pool, session, request, decision)
        self.pending[request.request_id] = pending
        try:
            self.messenger.send(
                session.peer,
                slot_messages.SlotRequest(
                    pool,
                    request.request_id,
                    request.request_class,
                    request.deadline - self.clock.monotonic(),
                    request.fingerprint,
                    request.avoid,
                    request.hedged,
                ),
            )
            return await decision
        except asyncio.CancelledError:
            self.held.pop(request.request_id, None)
            current = self.sessions.get(pool, session)
            for peer in {session.peer, current.peer}:
                self._send_cancel(peer, pool, request.request_id)
            raise
        finally:
            self.pending.pop(request.request_id, None)

    def _send_cancel(self, peer: str, pool: str, request_id: str) -> None:
        self.messenger.send(peer, slot_messages.SlotCancel(pool, request_id))

    def _on_message(self, received: peer_hub.ReceivedMessage) -> None:
        handler = _HANDLERS.get(type(received.message))
        if handler is not None:
            handler(self, received, received.message)

    def _on_held_slots_request(
        self,
        received: peer_hub.ReceivedMessage,
        message: slot_messages.HeldSlotsRequest,
    ) -> None:
        self.sessions[message.pool] = client_state.OwnerSession(
            received.peer, received.incarnation
        )
        for pending in list(self.pending.values()):
            if pending.pool == message.pool:
                self._invalidate(pending)
        held = self._held_slots(message.pool)
        self.messenger.send(
            received.peer,
            slot_messages.HeldSlotsReport(message.pool, message.term, held),
        )
        for waiter in self.waiters.get(message.pool, ()):
            if not waiter.done():
                waiter.set_result(None)

    def _on_grant(
        self,
        received: peer_hub.ReceivedMessage,
        message: slot_messages.SlotGrant,
    ) -> None:
        pending = self._find_pending(received, message.request_id)
        if pending is None:
            self._send_cancel(received.peer, message.pool, message.request_id)
            return
        request = pending.request
        grant = requests.Grant(
            request.request_id,
            request.holder,
            message.instance,
            request.request_class,
            request.deadline,
        )
        self.held[request.request_id] = client_state.HeldGrant(
            message.pool, grant, request.fingerprint
        )
        pending.decision.set_result(grant)

    def _on_refusal(
        self,
        received: peer_hub.ReceivedMessage,
        message: slot_messages.SlotRefusal,
    ) -> None:
        pending = self._find_pending(received, message.request_id)
        if pending is None:
            return
        reason = requests.RefusalReason(message.reason)
        if reason is requests.RefusalReason.NOT_OWNER:
            if self.sessions.get(pending.pool) is pending.session:
                del self.sessions[pending.pool]
            self._invalidate(pending)
            return
        request = pending.request
        pending.decision.set_result(
            requests.Refusal(request.request_id, request.holder, reason)
        )

    def _find_pending(
        self, received: peer_hub.ReceivedMessage, request_id: str
    ) -> client_state.PendingRequest | None:
        pending = self.pending.get(request_id)
        if pending is None or pending.decision.done():
            return None
        owner = pending.session.peer, pending.session.incarnation
        return (
            pending if owner == (received.peer, received.incarnation) else None
        )

    def _held_slots(self, pool: str) -> tuple[slot_messages.HeldSlot, ...]:
        now = self.clock.monotonic()
        return tuple(
            slot_messages.HeldSlot(
                held.grant.request_id,
                held.grant.instance,
                held.grant.request_class,
                held.grant.deadline - now,
                held.fingerprint,
            )
            for held in self.held.values()
            if held.pool == pool
        )

    def _invalidate(self, pending: client_state.PendingRequest) -> None:
        if not pending.decision.done():
            pending.decision.set_result(None)

    def _on_connection_change(
        self, change: peer_hub.PeerConnectionChange
    ) -> None:
        """Discard the peer's sessions until it announces itself again."""
        for pool, session in list(self.sessions.items()):
            if session.peer == change.peer:
                del self.sessions[pool]
        for pending in list(self.pending.values()):
            if pending.session.peer == change.peer:
                self._invalidate(pending)


_HANDLERS = {
    slot_messages.HeldSlotsRequest: SlotClient._on_held_slots_request,
    slot_messages.SlotGrant: SlotClient._on_grant,
    slot_messages.SlotRefusal: SlotClient._on_refusal,
}
