"""A second copy of a request whose first copy takes long."""

import asyncio
import typing

import attrs
from returns import result

from bulrushcourse_domain.retries import budget as retry_budget
from bulrushcourse_domain.retries import hedging as hedge_policy
from bulrushcourse_domain.slots import requests
from bulrushcourse_entry.callers import attempts
from bulrushcourse_entry.callers import request_parsing

# A pool's owner refuses a hedge while the first copy's instance is not slow,
# which may show only later.
ASKS = 6
# The bench lost more than it gained from the 80th percentile, because the
# budget ran out, and gained less from the 95th.
QUANTILE = 0.9


class CopySender(typing.Protocol):
    """Gets slots and sends copies of a call."""

    async def acquire(
        self,
        call: request_parsing.Call,
        number: int,
        avoid: tuple[str, ...],
        hedged: str = '',
    ) -> result.Result[attempts.HeldSlot, requests.Refusal]:
        """Get a slot for one copy."""
        ...

    async def send(
        self, call: request_parsing.Call, held: attempts.HeldSlot
    ) -> attempts.Attempt:
        """Send the call to the instance of a slot."""
        ...


@attrs.define(eq=False)
class Hedger:
    """Races two copies of idempotent calls and cancels the loser.

    Attributes:
        sender: Gets slots and sends copies.
        policies: When to hedge, by service.
        hedges: Second copies sent so far.
    """

    sender: CopySender
    policies: dict[str, hedge_policy.HedgePolicy] = attrs.field(factory=dict)
    hedges: int = 0

    def observe(self, call: request_parsing.Call, seconds: float) -> None:
        """Count the service time of a call that was answered.

        Args:
            call: The call.
            seconds: Its service time.
        """
        self._policy(call).observe(call.request_class, seconds)

    async def send(
        self,
        call: request_parsing.Call,
        held: attempts.HeldSlot,
        budget: retry_budget.RetryBudget,
    ) -> attempts.Attempt:
        """Send a call, and a second copy if the first takes long.

        Args:
            call: The caller's request.
            held: Slot of the first copy.
            budget: Budget of the service for extra work.
        """
        repeatable = call.service.idempotent and call.body_stream is None
        delay_s = self._policy(call).delay_s(call.request_class, repeatable)
        if delay_s is None:
            return await self.sender.send(call, held)
        first = asyncio.create_task(self.sender.send(call, held))
        copies = [first]
        try:
            # Most calls end in time, so the second task is made only then.
            await asyncio.wait((first,), timeout=delay_s)
            if first.done():
                return _take(first)
            second = asyncio.create_task(
                self._send_second(call, held.instance, budget, delay_s)
            )
            copies.append(second)
            return await _first_answer(first, second)
        finally:
            for copy in copies:
                copy.cancel()
                copy.add_done_callback(_drop_answer)

    async def _send_second(
        self,
        call: request_parsing.Call,
        instance: str,
        budget: retry_budget.RetryBudget,
        delay_s: float,
    ) -> attempts.Attempt | None:
        for number in range(ASKS):
            if number:
                await asyncio.sleep(delay_s)
            if budget.tokens < 1:
                return None
            name = attempts.HEDGE_NUMBER + number
            granted = await self.sender.acquire(
                call, name, (instance,), instance
            )
            if isinstance(granted, result.Success):
                held = granted.unwrap()
                if not budget.try_spend():
                    held.finish(requests.ReleaseOutcome.CANCELLED)
                    return None
                self.hedges += 1
                return await self.sender.send(call, held)
        return None

    def _policy(self, call: request_parsing.Call) -> hedge_policy.HedgePolicy:
        return self.policies.setdefault(
            call.service.name, hedge_policy.HedgePolicy(QUANTILE)
        )


async def _first_answer(
    first: asyncio.Task, second: asyncio.Task
) -> attempts.Attempt:
    """Return the copy that answered first, or how the first copy failed."""
    await asyncio.wait((first, second), return_when=asyncio.FIRST_COMPLETED)
    for copy in (first, second):
        if copy.done() and _answered(copy):
            return _take(copy)
    if first.done() and not second.done():
        # The first copy failed. A second copy is under way only if its slot
        # was granted; else the retry rules go on at once.
        second.cancel()
    await asyncio.wait((first,))
    return _take(first)


def _answered(copy: asyncio.Task) -> bool:
    if copy.cancelled() or copy.exception() is not None:
        return False
    attempt = copy.result()
    return attempt is not None and attempt.exchange is not None


def _take(copy: asyncio.Task) -> attempts.Attempt:
    attempt = copy.result()
    attempt.taken = True
    return attempt


def _drop_answer(copy: asyncio.Task) -> None:
    """Close an answer that arrived although its copy lost."""
    if copy.cancelled() or copy.exception() is not None:
        return
    attempt = copy.result()
    if attempt is None or attempt.taken or attempt.exchange is None:
        return
    attempt.exchange.answer.close()
    attempt.exchange.finish(requests.ReleaseOutcome.CANCELLED)
