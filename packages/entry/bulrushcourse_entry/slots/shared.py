"""Slots from the owners of pools, this entry among them."""

import asyncio
import itertools
import typing

import attrs
from returns import result

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.slots import requests
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_entry.slots import asking
from bulrushcourse_entry.slots import keeper
from bulrushcourse_entry.slots import switch
from bulrushcourse_wire import slot_messages

REPEAT_DELAY_S = 0.02
# An instance sees a cancellation, or the end of a deadline, a little later
# than the entry. A slot given back at once was granted to the next request
# while the instance still worked on the cancelled one.
CANCEL_GRACE_S = 0.25
UNCERTAIN = frozenset(
    (requests.ReleaseOutcome.CANCELLED, requests.ReleaseOutcome.LOST)
)


@attrs.define(eq=False)
class SharedSlots:
    """Asks the owner of a pool for slots.

    An owner is asked only after it announced itself on the present stream
    and was told what this entry holds. A request that was not decided when
    the ownership changed is asked again under a new identifier, and a late
    grant of the former owner is not used.

    Attributes:
        clock: Source of time.
        switch: Sends messages to entries.
        sessions: Present ownership by pool.
        asks: Undecided requests by identifier.
        held: Grants in use by identifier.
        waiters: Futures that wait for an owner, by pool.
    """

    clock: clocks.Clock
    switch: switch.Switch
    sessions: dict[str, asking.Session] = attrs.field(factory=dict)
    asks: dict[str, asking.Ask] = attrs.field(factory=dict)
    held: dict[str, asking.HeldGrant] = attrs.field(factory=dict)
    waiters: dict[str, set[asyncio.Future]] = attrs.field(factory=dict)

    def start(self) -> None:
        """Follow messages of owners and changes of streams."""
        self.switch.hub.received.subscribe(self._on_message)
        self.switch.hub.changes.subscribe(self._on_change)

    async def acquire(
        self, service: str, region: str, wish: requests.SlotRequest
    ) -> result.Result[requests.Grant, requests.Refusal]:
        """Wait for a slot; cancelling the call cancels the wish.

        Args:
            service: Name of the service.
            region: Region of the pool.
            wish: What is asked for.
        """
        pool = keeper.pool_name(region, service)
        try:
            async with asyncio.timeout(wish.deadline - self.clock.monotonic()):
                decision = await self._decision(pool, wish)
        except TimeoutError:
            reason = requests.RefusalReason.DEADLINE
            if pool not in self.sessions:
                reason = requests.RefusalReason.UNREACHABLE
            decision = requests.Refusal(wish.request_id, wish.holder, reason)
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
            request_id: Identifier in the grant.
            outcome: How its work ended.
            service_time_s: How long the work took, in seconds.
        """
        ending = requests.ReleaseResult(outcome, service_time_s)
        if outcome in UNCERTAIN:
            loop = asyncio.get_running_loop()
            loop.call_later(
                CANCEL_GRACE_S, self._give_back, request_id, ending
            )
        else:
            self._give_back(request_id, ending)

    def _give_back(
        self, request_id: str, ending: requests.ReleaseResult
    ) -> None:
        held = self.held.pop(request_id, None)
        if held is None:
            return
        session = self.sessions.get(held.pool)
        # Without an owner nothing is sent: the next one asks what is held.
        if session is not None:
            self.switch.send(
                session.peer,
                slot_messages.SlotRelease(
                    held.pool,
                    request_id,
                    ending.outcome.value,
                    ending.seconds,
                ),
            )

    def dump(self) -> dict[str, typing.Any]:
        """Return owners, grants in use and undecided requests."""
        return {
            'owners': {p: s.peer for p, s in sorted(self.sessions.items())},
            'held': len(self.held),
            'undecided': len(self.asks),
        }

    async def _decision(
        self, pool: str, wish: requests.SlotRequest
    ) -> requests.Decision:
        for number in itertools.count():
            session = await self._session(pool)
            request_id = f'{wish.request_id}~{number}'
            again = attrs.evolve(wish, request_id=request_id)
            decision = await self._ask(pool, session, again)
            if decision is not None:
                return decision
            await asyncio.sleep(REPEAT_DELAY_S)
        raise AssertionError('unreachable')

    async def _session(self, pool: str) -> asking.Session:
        while pool not in self.sessions:
            waiter = asyncio.get_running_loop().create_future()
            waiting = self.waiters.setdefault(pool, set())
            waiting.add(waiter)
            try:
                await waiter
            finally:
                waiting.discard(waiter)
        return self.sessions[pool]

    async def _ask(
        self, pool: str, session: asking.Session, wish: requests.SlotRequest
    ) -> requests.Decision | None:
        decided = asyncio.get_running_loop().create_future()
        ask = asking.Ask(pool, session, wish, decided)
        self.asks[wish.request_id] = ask
        try:
            self.switch.send(
                session.peer,
                slot_messages.SlotRequest(
                    pool,
                    wish.request_id,
                    wish.request_class,
                    wish.deadline - self.clock.monotonic(),
                    wish.fingerprint,
                    wish.avoid,
                    wish.hedged,
                ),
            )
            return await decided
        except asyncio.CancelledError:
            self.held.pop(wish.request_id, None)
            now = self.sessions.get(pool, session)
            for peer in {session.peer, now.peer}:
                self._send_cancel(peer, pool, wish.request_id)
            raise
        finally:
            self.asks.pop(wish.request_id, None)

    def _send_cancel(self, peer: str, pool: str, request_id: str) -> None:
        self.switch.send(peer, slot_messages.SlotCancel(pool, request_id))

    def _on_message(self, received: peer_hub.ReceivedMessage) -> None:
        handler = _HANDLERS.get(type(received.message))
        if handler is not None:
            handler(self, received, received.message)

    def _on_wanted(
        self,
        received: peer_hub.ReceivedMessage,
        message: slot_messages.HeldSlotsRequest,
    ) -> None:
        self.sessions[message.pool] = asking.Session(
            received.peer, received.incarnation
        )
        for ask in list(self.asks.values()):
            if ask.pool == message.pool:
                self._void(ask)
        held = self._held_in(message.pool)
        self.switch.send(
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
        ask = self._ask_of(received, message.request_id)
        if ask is None:
            self._send_cancel(received.peer, message.pool, message.request_id)
            return
        wish = ask.wish
        grant = requests.Grant(
            wish.request_id,
            wish.holder,
            message.instance,
            wish.request_class,
            wish.deadline,
        )
        self.held[wish.request_id] = asking.HeldGrant(
            message.pool, grant, wish.fingerprint
        )
        ask.decided.set_result(grant)

    def _on_refusal(
        self,
        received: peer_hub.ReceivedMessage,
        message: slot_messages.SlotRefusal,
    ) -> None:
        ask = self._ask_of(received, message.request_id)
        if ask is None:
            return
        reason = requests.RefusalReason(message.reason)
        if reason is requests.RefusalReason.NOT_OWNER:
            if self.sessions.get(ask.pool) is ask.session:
                del self.sessions[ask.pool]
            self._void(ask)
            return
        wish = ask.wish
        ask.decided.set_result(
            requests.Refusal(wish.request_id, wish.holder, reason)
        )

    def _ask_of(
        self, received: peer_hub.ReceivedMessage, request_id: str
    ) -> asking.Ask | None:
        ask = self.asks.get(request_id)
        if ask is None or ask.decided.done():
            return None
        asked = ask.session.peer, ask.session.incarnation
        return ask if asked == (received.peer, received.incarnation) else None

    def _held_in(self, pool: str) -> tuple[slot_messages.HeldSlot, ...]:
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

    def _void(self, ask: asking.Ask) -> None:
        if not ask.decided.done():
            ask.decided.set_result(None)

    def _on_change(self, change: peer_hub.PeerConnectionChange) -> None:
        """Wait for a new announcement after each change of a stream."""
        for pool, session in list(self.sessions.items()):
            if session.peer == change.peer:
                del self.sessions[pool]
        for ask in list(self.asks.values()):
            if ask.session.peer == change.peer:
                self._void(ask)


_HANDLERS = {
    slot_messages.HeldSlotsRequest: SharedSlots._on_wanted,
    slot_messages.SlotGrant: SharedSlots._on_grant,
    slot_messages.SlotRefusal: SharedSlots._on_refusal,
}
