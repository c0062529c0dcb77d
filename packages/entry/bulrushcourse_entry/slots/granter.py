"""Admission of requests to a pool and delivery of its decisions."""

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.quarantine import quarantine as quarantines
from bulrushcourse_domain.slots import requests
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_entry.slots import messenger as messengers
from bulrushcourse_entry.slots import owned_pool as owned_pools
from bulrushcourse_entry.slots import shared_quarantine as shared_quarantines
from bulrushcourse_wire import slot_messages

Reason = requests.RefusalReason
CANCELLED = requests.ReleaseOutcome.CANCELLED


@attrs.define(eq=False)
class SlotGranter:
    """Admits requests to owned pools and sends the pools' decisions.

    Callers must check that this entry owns the pool before each call, without
    an ``await`` in between.

    Attributes:
        clock: Source of time.
        messenger: Sends messages to entries.
        shared_quarantine: Quarantine that is replicated between entries.
    """

    clock: clocks.Clock
    messenger: messengers.EntryMessenger
    shared_quarantine: shared_quarantines.SharedQuarantine

    def send_decisions(
        self,
        owned: owned_pools.OwnedPool,
        decisions: tuple[requests.Decision, ...],
    ) -> None:
        """Send the pool's decisions to the entries that requested them.

        A slot whose grant cannot be sent is released.

        Args:
            owned: The pool.
            decisions: Decisions of the pool.
        """
        for decision in decisions:
            tracked = owned.tracked[decision.request_id]
            if isinstance(decision, requests.Refusal):
                self.finish(owned, tracked, CANCELLED, '')
                self.send_refusal(
                    tracked.peer, owned.name, tracked.request, decision.reason
                )
                continue
            message = slot_messages.SlotGrant(
                owned.name, decision.request_id, decision.instance
            )
            if not self.messenger.send(tracked.peer, message):
                self.release(owned, decision.request_id, CANCELLED, None)

    def admit(
        self, owned: owned_pools.OwnedPool, tracked: owned_pools.TrackedRequest
    ) -> None:
        """Queue, park or refuse a request according to the quarantine.

        Args:
            owned: The pool.
            tracked: A request in ``owned.tracked``.
        """
        request = tracked.request
        admission = self.shared_quarantine.quarantine.admit(
            request.fingerprint, request.request_id, owned.repeatable
        )
        owned.parked.pop(request.request_id, None)
        if admission is quarantines.Admission.RUN:
            self.send_decisions(owned, owned.pool.request(request))
        elif admission is quarantines.Admission.REFUSE:
            self.withdraw(owned, tracked)
            self.send_refusal(
                tracked.peer, owned.name, request, Reason.QUARANTINED
            )
        elif request.deadline <= self.clock.monotonic():
            self.withdraw(owned, tracked)
            self.send_refusal(
                tracked.peer, owned.name, request, Reason.DEADLINE
            )
        else:
            owned.parked[request.request_id] = tracked

    def restore_grant(
        self,
        owned: owned_pools.OwnedPool,
        received: peer_hub.ReceivedMessage,
        slot: slot_messages.HeldSlot,
    ) -> requests.Grant:
        """Return the grant of a reported slot and track its request.

        Args:
            owned: The pool.
            received: Message that reported the slot.
            slot: The reported slot.
        """
        request = requests.SlotRequest(
            slot.request_id,
            received.incarnation,
            slot.request_class,
            self.clock.monotonic() + slot.remaining_s,
            slot.fingerprint or slot.request_id,
        )
        if slot.request_id not in owned.tracked:
            owned.tracked[slot.request_id] = owned_pools.TrackedRequest(
                received.peer, request
            )
            self.shared_quarantine.quarantine.adopt(
                request.fingerprint, request.request_id, owned.repeatable
            )
        return requests.Grant(
            request.request_id,
            request.holder,
            slot.instance,
            request.request_class,
            request.deadline,
        )

    def release(
        self,
        owned: owned_pools.OwnedPool,
        request_id: str,
        outcome: requests.ReleaseOutcome,
        seconds: float | None,
    ) -> None:
        """Release a slot; a request without a grant is ignored.

        Args:
            owned: The pool.
            request_id: The request that held the slot.
            outcome: How its work ended.
            seconds: Measured service time; ``None`` if unknown.
        """
        active = owned.pool.granted.get(request_id)
        if active is None:
            return
        tracked = owned.tracked.get(request_id)
        if tracked is not None:
            self.finish(owned, tracked, outcome, active.grant.instance)
        self.send_decisions(
            owned, owned.pool.release(request_id, outcome, seconds)
        )

    def finish(
        self,
        owned: owned_pools.OwnedPool,
        tracked: owned_pools.TrackedRequest,
        outcome: requests.ReleaseOutcome,
        instance: str,
    ) -> None:
        """Stop tracking a request and publish the resulting loss update.

        Args:
            owned: The pool.
            tracked: The request.
            outcome: How its work ended.
            instance: Name of the instance, empty if it did not run.
        """
        request = tracked.request
        owned.tracked.pop(request.request_id, None)
        update = self.shared_quarantine.quarantine.finish(
            request.fingerprint, request.request_id, instance, outcome
        )
        if update is not None:
            self.shared_quarantine.publish(update)

    def withdraw(
        self, owned: owned_pools.OwnedPool, tracked: owned_pools.TrackedRequest
    ) -> None:
        """Remove an undecided request from the pool.

        Args:
            owned: The pool.
            tracked: The request.
        """
        owned.pool.cancel(tracked.request.request_id)
        owned.parked.pop(tracked.request.request_id, None)
        self.finish(owned, tracked, CANCELLED, '')

    def send_refusal(
        self,
        peer: str,
        pool: str,
        request: requests.SlotRequest,
        reason: Reason,
    ) -> None:
        """Send a refusal to the entry that requested a slot.

        Args:
            peer: Name of the entry.
            pool: Name of the pool.
            request: The request.
            reason: Why it is refused.
        """
        message = slot_messages.SlotRefusal(
            pool, request.request_id, reason.value
        )
        self.messenger.send(peer, message)
