"""Admission of requests to a pool, and what follows from decisions."""

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.quarantine import quarantine as quarantines
from bulrushcourse_domain.slots import requests
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_entry.slots import owned as owned_pools
from bulrushcourse_entry.slots import suspects as suspect_news
from bulrushcourse_entry.slots import switch as switches
from bulrushcourse_wire import slot_messages

Reason = requests.RefusalReason
CANCELLED = requests.ReleaseOutcome.CANCELLED


@attrs.define(eq=False)
class Granting:
    """Carries out what a pool decides.

    The caller checks the ownership of the pool in the same turn of the event
    loop.

    Attributes:
        clock: Source of time.
        switch: Sends messages to entries.
        suspects: Losses by request.
    """

    clock: clocks.Clock
    switch: switches.Switch
    suspects: suspect_news.Suspects

    def apply(
        self,
        owned: owned_pools.OwnedPool,
        decisions: tuple[requests.Decision, ...],
    ) -> None:
        """Tell entries the decisions on their requests.

        Args:
            owned: The pool.
            decisions: Decisions that the pool took.
        """
        for decision in decisions:
            asked = owned.asked[decision.request_id]
            if isinstance(decision, requests.Refusal):
                self.forget(owned, asked, CANCELLED, '')
                self.refuse(
                    asked.peer, owned.name, asked.wish, decision.reason
                )
                continue
            message = slot_messages.SlotGrant(
                owned.name, decision.request_id, decision.instance
            )
            if not self.switch.send(asked.peer, message):
                self.release(owned, decision.request_id, CANCELLED, None)

    def admit(
        self, owned: owned_pools.OwnedPool, asked: owned_pools.Asked
    ) -> None:
        """Queue a request, unless its fingerprint has to wait or is refused.

        Args:
            owned: The pool.
            asked: A request in ``owned.asked``.
        """
        wish = asked.wish
        admission = self.suspects.quarantine.admit(
            wish.fingerprint, wish.request_id, owned.repeatable
        )
        owned.parked.pop(wish.request_id, None)
        if admission is quarantines.Admission.RUN:
            self.apply(owned, owned.pool.request(wish))
        elif admission is quarantines.Admission.REFUSE:
            self.drop(owned, asked)
            self.refuse(asked.peer, owned.name, wish, Reason.QUARANTINED)
        elif wish.deadline <= self.clock.monotonic():
            self.drop(owned, asked)
            self.refuse(asked.peer, owned.name, wish, Reason.DEADLINE)
        else:
            owned.parked[wish.request_id] = asked

    def adopt(
        self,
        owned: owned_pools.OwnedPool,
        received: peer_hub.ReceivedMessage,
        slot: slot_messages.HeldSlot,
    ) -> requests.Grant:
        """Return the grant of a held slot and follow its request.

        Args:
            owned: The pool.
            received: Message that reported the slot.
            slot: The slot.
        """
        wish = requests.SlotRequest(
            slot.request_id,
            received.incarnation,
            slot.request_class,
            self.clock.monotonic() + slot.remaining_s,
            slot.fingerprint or slot.request_id,
        )
        if slot.request_id not in owned.asked:
            owned.asked[slot.request_id] = owned_pools.Asked(
                received.peer, wish
            )
            self.suspects.quarantine.adopt(
                wish.fingerprint, wish.request_id, owned.repeatable
            )
        return requests.Grant(
            wish.request_id,
            wish.holder,
            slot.instance,
            wish.request_class,
            wish.deadline,
        )

    def release(
        self,
        owned: owned_pools.OwnedPool,
        request_id: str,
        outcome: requests.ReleaseOutcome,
        seconds: float | None,
    ) -> None:
        """Give a slot back.

        Args:
            owned: The pool.
            request_id: The request that held the slot.
            outcome: How its work ended.
            seconds: Measured service time.
        """
        run = owned.pool.granted.get(request_id)
        if run is None:
            return
        asked = owned.asked.get(request_id)
        if asked is not None:
            self.forget(owned, asked, outcome, run.grant.instance)
        self.apply(owned, owned.pool.release(request_id, outcome, seconds))

    def forget(
        self,
        owned: owned_pools.OwnedPool,
        asked: owned_pools.Asked,
        outcome: requests.ReleaseOutcome,
        instance: str,
    ) -> None:
        """End a request and tell all entries if it cost an instance.

        Args:
            owned: The pool.
            asked: The request.
            outcome: How its work ended.
            instance: Name of the instance, empty if it did not run.
        """
        wish = asked.wish
        owned.asked.pop(wish.request_id, None)
        update = self.suspects.quarantine.finish(
            wish.fingerprint, wish.request_id, instance, outcome
        )
        if update is not None:
            self.suspects.publish(update)

    def drop(
        self, owned: owned_pools.OwnedPool, asked: owned_pools.Asked
    ) -> None:
        """Withdraw an undecided request.

        Args:
            owned: The pool.
            asked: The request.
        """
        owned.pool.cancel(asked.wish.request_id)
        owned.parked.pop(asked.wish.request_id, None)
        self.forget(owned, asked, CANCELLED, '')

    def refuse(
        self, peer: str, pool: str, wish: requests.SlotRequest, reason: Reason
    ) -> None:
        """Tell an entry that its request gets no slot.

        Args:
            peer: Name of the entry.
            pool: Name of the pool.
            wish: The request.
            reason: Why it is refused.
        """
        message = slot_messages.SlotRefusal(
            pool, wish.request_id, reason.value
        )
        self.switch.send(peer, message)
