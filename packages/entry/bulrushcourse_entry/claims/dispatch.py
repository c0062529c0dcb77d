"""Dispatching of claimed requests to upstream instances."""

import asyncio
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.claims import outcomes

MAX_DISPATCHES = 3


@attrs.frozen(eq=False)
class KeyedRequest:
    """A request with an idempotency key.

    Attributes:
        service: Name of the service.
        key: Idempotency key.
        digest: Digest of the request.
        deadline: Monotonic clock seconds by which the response must be
            complete.
        call: The request in the form that the dispatcher expects, ``None``
            if only its outcome is requested.
    """

    service: str
    key: str
    digest: str
    deadline: float
    call: typing.Any = None

    @property
    def identity(self) -> tuple[str, str]:
        """Service and key."""
        return self.service, self.key


@attrs.frozen
class CompletedDispatch:
    """Result of a dispatch.

    Attributes:
        result: What the exchange with the instance proves.
        answer: The complete response, only with ``ANSWERED``.
    """

    result: outcomes.DispatchResult
    answer: outcomes.Answer | None = None


class DispatchSlot(typing.Protocol):
    """A slot at an instance, granted to one request."""

    instance: str

    async def dispatch(self) -> CompletedDispatch:
        """Send the request, read the whole response, release the slot."""
        ...

    def release(self) -> None:
        """Release the slot without a dispatch."""
        ...


class Dispatcher(typing.Protocol):
    """Acquires slots for requests."""

    async def acquire(
        self, request: KeyedRequest, number: int, avoid: tuple[str, ...]
    ) -> DispatchSlot | None:
        """Return a slot, ``None`` if none is granted in time."""
        ...


@attrs.define(eq=False)
class Run:
    """A run in progress in this process.

    Attributes:
        digest: Digest of the request.
        reply: Future of the reply to its callers.
    """

    digest: str
    reply: asyncio.Future = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )

    def resolve(self, reply: outcomes.Reply) -> None:
        """Set the reply to the callers; only the first call has an effect.

        Args:
            reply: The reply.
        """
        if not self.reply.done():
            self.reply.set_result(reply)

    async def wait(self, seconds: float) -> outcomes.Reply:
        """Wait for the run and return its reply.

        The run continues if the caller disconnects.

        Args:
            seconds: Maximum time to wait.

        Returns:
            The reply, or an ``under-way`` reply if the run has not ended.
        """
        await asyncio.wait((self.reply,), timeout=max(seconds, 0.0))
        if self.reply.done():
            return self.reply.result()
        return outcomes.Reply(outcomes.Outcome.UNKNOWN, 'under-way')


async def dispatch_with_retries(
    dispatcher: Dispatcher,
    clock: clocks.Clock,
    request: KeyedRequest,
    slot: DispatchSlot,
) -> CompletedDispatch:
    """Dispatch until an attempt may have run or the deadline has passed.

    Args:
        dispatcher: Acquires the slots of further attempts.
        clock: Source of time.
        request: The request, whose key this process has claimed.
        slot: Slot of the first attempt.
    """
    avoid: tuple[str, ...] = ()
    for number in range(1, MAX_DISPATCHES + 1):
        if clock.monotonic() >= request.deadline:
            slot.release()
            return CompletedDispatch(outcomes.DispatchResult.NO_BYTE_SENT)
        dispatched = await slot.dispatch()
        if not outcomes.may_dispatch_again(dispatched.result):
            return dispatched
        if number == MAX_DISPATCHES:
            return dispatched
        avoid += (slot.instance,)
        next_slot = await dispatcher.acquire(request, number, avoid)
        if next_slot is None:
            return dispatched
        slot = next_slot
    raise AssertionError('unreachable')
