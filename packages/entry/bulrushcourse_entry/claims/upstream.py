"""Dispatching claimed requests through the forwarding path."""

import asyncio
import typing

import aiohttp
import attrs
from returns import result

from bulrushcourse_domain.claims import outcomes
from bulrushcourse_domain.slots import requests
from bulrushcourse_entry.callers import attempts
from bulrushcourse_entry.callers import forwarding
from bulrushcourse_entry.callers import request_parsing
from bulrushcourse_entry.claims import dispatch
from bulrushcourse_entry.upstreams import client

# Answers are held whole, for re-sends. The run of a larger answer has the
# outcome ``unknown``, since no caller can be given the whole of it.
MAX_ANSWER_BYTES = 8 << 20

FAILURE_FACTS = {
    client.Failure.NOT_SENT: outcomes.UpstreamFact.NO_BYTE_SENT,
    client.Failure.NO_SHARE: outcomes.UpstreamFact.NO_BYTE_SENT,
    client.Failure.SHED: outcomes.UpstreamFact.SHED_NOT_RUN,
    client.Failure.LOST: outcomes.UpstreamFact.RESET,
    client.Failure.TRUNCATED: outcomes.UpstreamFact.TRUNCATED,
    client.Failure.DEADLINE: outcomes.UpstreamFact.TIMED_OUT,
}
_BODILESS_STATUSES = frozenset({204, 304})


@attrs.define(eq=False)
class ForwarderHold:
    """A slot granted by the pool owner.

    Attributes:
        forwarder: Sends requests to instances.
        call: The request.
        held: The slot.
        deadline: Clock seconds by which the answer must be there.
    """

    forwarder: forwarding.Forwarder
    call: request_parsing.Call
    held: attempts.HeldSlot
    deadline: float

    @property
    def instance(self) -> str:
        """Name of the instance."""
        return self.held.instance

    async def dispatch(self) -> dispatch.Dispatched:
        """Send the request, read the whole answer, give the slot back."""
        attempt = await self.forwarder.send(self.call, self.held)
        if attempt.exchange is None:
            return dispatch.Dispatched(FAILURE_FACTS[attempt.failure])
        exchange = attempt.exchange
        ending = requests.ReleaseOutcome.LOST
        try:
            left = self.deadline - self.forwarder.clock.monotonic()
            async with asyncio.timeout(left):
                dispatched = await read_answer(self.call, exchange.answer)
            ending = requests.ReleaseOutcome.DONE
            return dispatched
        except TimeoutError:
            ending = requests.ReleaseOutcome.CANCELLED
            return dispatch.Dispatched(outcomes.UpstreamFact.TIMED_OUT)
        except (aiohttp.ClientError, OSError):
            return dispatch.Dispatched(outcomes.UpstreamFact.TRUNCATED)
        finally:
            exchange.answer.close()
            exchange.finish(ending)

    def release(self) -> None:
        """Give the slot back without a dispatch."""
        self.held.finish(requests.ReleaseOutcome.CANCELLED)


@attrs.define(eq=False)
class ForwarderDispatcher:
    """Gets slots through the forwarding path.

    Attributes:
        forwarder: Asks for slots and sends requests.
    """

    forwarder: forwarding.Forwarder

    async def acquire(
        self,
        request: dispatch.KeyedRequest,
        number: int,
        avoid: tuple[str, ...],
    ) -> ForwarderHold | None:
        """Return a slot, ``None`` if there is none in time.

        Args:
            request: The request.
            number: How many dispatches there were before.
            avoid: Instances that failed this request.
        """
        call: request_parsing.Call = request.call
        held = await self.forwarder.acquire(call, number, avoid)
        if isinstance(held, result.Failure):
            return None
        return ForwarderHold(
            self.forwarder, call, held.unwrap(), request.deadline
        )


async def read_answer(
    call: request_parsing.Call, answer: client.UpstreamAnswer
) -> dispatch.Dispatched:
    """Return the whole answer and what it states.

    Args:
        call: The request.
        answer: Answer whose beginning has arrived.

    Raises:
        aiohttp.ClientError: If the answer is cut off.
    """
    body = bytearray(answer.prefix)
    async for chunk in answer.chunks():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            return dispatch.Dispatched(outcomes.UpstreamFact.TRUNCATED)
    if not is_delimited(call.method, answer.status, answer.headers):
        return dispatch.Dispatched(outcomes.UpstreamFact.TRUNCATED)
    fact = outcomes.answer_fact(answer.status, not_run=False)
    if fact is not outcomes.UpstreamFact.ANSWERED:
        return dispatch.Dispatched(fact)
    headers = tuple(
        (name, value)
        for name, value in answer.headers.items()
        if name.lower() not in request_parsing.HOP_HEADERS
    )
    return dispatch.Dispatched(
        fact, outcomes.Answer(answer.status, headers, bytes(body))
    )


def is_delimited(
    method: str, status: int, headers: typing.Mapping[str, str]
) -> bool:
    """Return whether an answer states where it ends.

    An answer that ends with its connection looks whole when the instance
    dies in the middle of it.

    Args:
        method: HTTP method of the request.
        status: HTTP status of the answer.
        headers: Headers of the answer.

    Examples:
        >>> is_delimited('POST', 200, {'Content-Length': '3'})
        True
        >>> is_delimited('POST', 200, {})
        False
    """
    names = {name.lower() for name in headers}
    return (
        method == 'HEAD'
        or status in _BODILESS_STATUSES
        or not names.isdisjoint({'content-length', 'transfer-encoding'})
    )
