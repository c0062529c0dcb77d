"""Hedging: a second request is sent if the primary one is slow."""

import asyncio
import typing

import attrs
from returns import result

from bulrushcourse_domain.retries import budget as retry_budget
from bulrushcourse_domain.retries import hedging as hedge_policy
from bulrushcourse_domain.slots import requests
from bulrushcourse_entry.callers import attempts
from bulrushcourse_entry.callers import request_parsing

# Slot requests for one hedge. The pool's owner refuses them until it has
# classified the primary request's instance as slow, which may happen later.
MAX_SLOT_REQUESTS = 6
# Percentile of service times after which a hedge is sent. Hedging at the 80th
# exhausts the retry budget and costs more than it gains; the 95th gains less.
DELAY_QUANTILE = 0.9


class RequestSender(typing.Protocol):
    """Acquires slots and sends requests to instances."""

    async def acquire(
        self,
        call: request_parsing.Call,
        number: int,
        avoid: tuple[str, ...],
        hedged: str = '',
    ) -> result.Result[attempts.GrantedSlot, requests.Refusal]:
        """Acquire a slot for one request."""
        ...

    async def send(
        self, call: request_parsing.Call, slot: attempts.GrantedSlot
    ) -> attempts.Attempt:
        """Send the call to the instance of a slot."""
        ...


@attrs.define(eq=False)
class Hedger:
    """Hedges slow idempotent calls and cancels the losing request.

    Attributes:
        sender: Acquires slots and sends requests.
        policies: Hedging policy by service.
        hedge_count: Hedges sent so far.
    """

    sender: RequestSender
    policies: dict[str, hedge_policy.HedgePolicy] = attrs.field(factory=dict)
    hedge_count: int = 0

    def observe(self, call: request_parsing.Call, seconds: float) -> None:
        """Record the service time of a call that was answered.

        Args:
            call: The call.
            seconds: Its service time.
        """
        self._policy(call).observe(call.request_class, seconds)

    async def send(
        self,
        call: request_parsing.Call,
        slot: attempts.GrantedSlot,
        budget: retry_budget.RetryBudget,
    ) -> attempts.Attempt:
        """Send a call, and a hedge if the primary request is slow.

        Args:
            call: The caller's request.
            slot: Slot of the primary request.
            budget: Retry budget of the service, which a hedge is charged to.
        """
        repeatable = call.service.idempotent and call.body_stream is None
        delay_s = self._policy(call).delay_s(call.request_class, repeatable)
        if delay_s is None:
            return await self.sender.send(call, slot)
        primary = asyncio.create_task(self.sender.send(call, slot))
        tasks = [primary]
        try:
            # Most calls need no hedge, so its task is created only now.
            await asyncio.wait((primary,), timeout=delay_s)
            if primary.done():
                return _select(primary)
            hedge = asyncio.create_task(
                self._send_hedge(call, slot.instance, budget, delay_s)
            )
            tasks.append(hedge)
            return await _first_response(primary, hedge)
        finally:
            for task in tasks:
                task.cancel()
                task.add_done_callback(_close_unselected)

    async def _send_hedge(
        self,
        call: request_parsing.Call,
        instance: str,
        budget: retry_budget.RetryBudget,
        delay_s: float,
    ) -> attempts.Attempt | None:
        for number in range(MAX_SLOT_REQUESTS):
            if number:
                await asyncio.sleep(delay_s)
            if budget.tokens < 1:
                return None
            attempt_number = attempts.FIRST_HEDGE_NUMBER + number
            granted = await self.sender.acquire(
                call, attempt_number, (instance,), instance
            )
            if isinstance(granted, result.Success):
                slot = granted.unwrap()
                if not budget.try_spend():
                    slot.release(requests.ReleaseOutcome.CANCELLED)
                    return None
                self.hedge_count += 1
                return await self.sender.send(call, slot)
        return None

    def _policy(self, call: request_parsing.Call) -> hedge_policy.HedgePolicy:
        return self.policies.setdefault(
            call.service.name, hedge_policy.HedgePolicy(DELAY_QUANTILE)
        )


async def _first_response(
    primary: asyncio.Task, hedge: asyncio.Task
) -> attempts.Attempt:
    """Return the first response, or the primary request's failure."""
    await asyncio.wait((primary, hedge), return_when=asyncio.FIRST_COMPLETED)
    for task in (primary, hedge):
        if task.done() and _has_response(task):
            return _select(task)
    if primary.done() and not hedge.done():
        # The primary request failed; the retry rules apply without waiting
        # for the hedge.
        hedge.cancel()
    await asyncio.wait((primary,))
    return _select(primary)


def _has_response(task: asyncio.Task) -> bool:
    if task.cancelled() or task.exception() is not None:
        return False
    attempt = task.result()
    return attempt is not None and attempt.exchange is not None


def _select(task: asyncio.Task) -> attempts.Attempt:
    attempt = task.result()
    attempt.selected = True
    return attempt


def _close_unselected(task: asyncio.Task) -> None:
    """Close a response of the losing request and release its slot."""
    if task.cancelled() or task.exception() is not None:
        return
    attempt = task.result()
    if attempt is None or attempt.selected or attempt.exchange is None:
        return
    attempt.exchange.answer.close()
    attempt.exchange.release_slot(requests.ReleaseOutcome.CANCELLED)
