"""Dispatching of claimed requests through the forwarder."""

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

# Responses are buffered completely, so that they can be sent again. A run with
# a larger response has the outcome ``unknown``, since its response cannot be
# delivered completely.
MAX_ANSWER_BYTES = 8 << 20

DISPATCH_RESULTS = {
    client.Failure.NOT_SENT: outcomes.DispatchResult.NO_BYTE_SENT,
    client.Failure.NO_SHARE: outcomes.DispatchResult.NO_BYTE_SENT,
    client.Failure.SHED: outcomes.DispatchResult.SHED_NOT_RUN,
    client.Failure.LOST: outcomes.DispatchResult.RESET,
    client.Failure.TRUNCATED: outcomes.DispatchResult.TRUNCATED,
    client.Failure.DEADLINE: outcomes.DispatchResult.TIMED_OUT,
}
_BODILESS_STATUSES = frozenset({204, 304})


@attrs.define(eq=False)
class ForwarderSlot:
    """A slot granted by the pool owner.

    Attributes:
        forwarder: Sends requests to instances.
        call: The request.
        slot: The slot.
        deadline: Monotonic clock seconds by which the response must be
            complete.
    """

    forwarder: forwarding.Forwarder
    call: request_parsing.Call
    slot: attempts.GrantedSlot
    deadline: float

    @property
    def instance(self) -> str:
        """Name of the instance."""
        return self.slot.instance

    async def dispatch(self) -> dispatch.CompletedDispatch:
        """Send the request, read the whole response, release the slot."""
        attempt = await self.forwarder.send(self.call, self.slot)
        if attempt.exchange is None:
            return dispatch.CompletedDispatch(
                DISPATCH_RESULTS[attempt.failure]
            )
        exchange = attempt.exchange
        release_outcome = requests.ReleaseOutcome.LOST
        try:
            remaining_s = self.deadline - self.forwarder.clock.monotonic()
            async with asyncio.timeout(remaining_s):
                dispatched = await read_response(self.call, exchange.answer)
            release_outcome = requests.ReleaseOutcome.DONE
            return dispatched
        except TimeoutError:
            release_outcome = requests.ReleaseOutcome.CANCELLED
            return dispatch.CompletedDispatch(
                outcomes.DispatchResult.TIMED_OUT
            )
        except (aiohttp.ClientError, OSError):
            return dispatch.CompletedDispatch(
                outcomes.DispatchResult.TRUNCATED
            )
        finally:
            exchange.answer.close()
            exchange.release_slot(release_outcome)

    def release(self) -> None:
        """Release the slot without a dispatch."""
        self.slot.release(requests.ReleaseOutcome.CANCELLED)


@attrs.define(eq=False)
class ForwarderDispatcher:
    """Acquires slots through the forwarder.

    Attributes:
        forwarder: Acquires slots and sends requests.
    """

    forwarder: forwarding.Forwarder

    async def acquire(
        self,
        request: dispatch.KeyedRequest,
        number: int,
        avoid: tuple[str, ...],
    ) -> ForwarderSlot | None:
        """Return a slot, ``None`` if none is granted in time.

        Args:
            request: The request.
            number: Number of earlier dispatches.
            avoid: Instances that failed this request.
        """
        call: request_parsing.Call = request.call
        acquired = await self.forwarder.acquire(call, number, avoid)
        if isinstance(acquired, result.Failure):
            return None
        return ForwarderSlot(
            self.forwarder, call, acquired.unwrap(), request.deadline
        )


async def read_response(
    call: request_parsing.Call, answer: client.UpstreamResponse
) -> dispatch.CompletedDispatch:
    """Read the whole response and return what it proves about the run.

    Args:
        call: The request.
        answer: Response whose headers and first bytes have arrived.

    Raises:
        aiohttp.ClientError: If the response is truncated.
    """
    body = bytearray(answer.prefix)
    async for chunk in answer.chunks():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            return dispatch.CompletedDispatch(
                outcomes.DispatchResult.TRUNCATED
            )
    if not is_delimited(call.method, answer.status, answer.headers):
        return dispatch.CompletedDispatch(outcomes.DispatchResult.TRUNCATED)
    dispatch_result = outcomes.classify_response(answer.status, not_run=False)
    if dispatch_result is not outcomes.DispatchResult.ANSWERED:
        return dispatch.CompletedDispatch(dispatch_result)
    headers = tuple(
        (name, value)
        for name, value in answer.headers.items()
        if name.lower() not in request_parsing.HOP_BY_HOP_HEADERS
    )
    return dispatch.CompletedDispatch(
        dispatch_result, outcomes.Answer(answer.status, headers, bytes(body))
    )


def is_delimited(
    method: str, status: int, headers: typing.Mapping[str, str]
) -> bool:
    """Return whether a response's body has an explicit end.

    If the body ends with the connection, a response that the instance's crash
    truncated looks complete.

    Args:
        method: HTTP method of the request.
        status: HTTP status of the response.
        headers: Headers of the response.

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
