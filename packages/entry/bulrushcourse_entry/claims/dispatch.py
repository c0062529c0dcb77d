"""Running a claimed request on an upstream instance."""

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
        deadline: Clock seconds by which the answer must be there.
        call: The request as the dispatcher needs it.
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
class Dispatched:
    """How a dispatch ended.

    Attributes:
        fact: What is known.
        answer: The whole answer, only with ``ANSWERED``.
    """

    fact: outcomes.UpstreamFact
    answer: outcomes.Answer | None = None


class Hold(typing.Protocol):
    """A slot at an instance, held for one request."""

    instance: str

    async def dispatch(self) -> Dispatched:
        """Send the request, read the whole answer, give the slot back."""
        ...

    def release(self) -> None:
        """Give the slot back without a dispatch."""
        ...


class Dispatcher(typing.Protocol):
    """Gets slots for requests."""

    async def acquire(
        self, request: KeyedRequest, number: int, avoid: tuple[str, ...]
    ) -> Hold | None:
        """Return a slot, ``None`` if there is none in time."""
        ...


@attrs.define(eq=False)
class Run:
    """A run under way in this process.

    Attributes:
        digest: Digest of the request.
        reply: What its callers are told, once that is known.
    """

    digest: str
    reply: asyncio.Future = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )

    def tell(self, reply: outcomes.Reply) -> None:
        """Tell the callers, unless they were told before.

        Args:
            reply: What they are told.
        """
        if not self.reply.done():
            self.reply.set_result(reply)

    async def wait(self, seconds: float) -> outcomes.Reply:
        """Return what to tell a caller that waits for the run.

        The run goes on if the caller leaves.

        Args:
            seconds: Longest time to wait.
        """
        await asyncio.wait((self.reply,), timeout=max(seconds, 0.0))
        if self.reply.done():
            return self.reply.result()
        return outcomes.Reply(outcomes.Outcome.UNKNOWN, 'under-way')


async def dispatch_held(
    dispatcher: Dispatcher,
    clock: clocks.Clock,
    request: KeyedRequest,
    hold: Hold,
) -> Dispatched:
    """Dispatch until an attempt may have run or no time is left.

    Args:
        dispatcher: Where further slots come from.
        clock: Source of time.
        request: The request, whose key the caller has claimed.
        hold: The first slot.
    """
    avoid: tuple[str, ...] = ()
    for number in range(1, MAX_DISPATCHES + 1):
        if clock.monotonic() >= request.deadline:
            hold.release()
            return Dispatched(outcomes.UpstreamFact.NO_BYTE_SENT)
        dispatched = await hold.dispatch()
        if not outcomes.may_dispatch_again(dispatched.fact):
            return dispatched
        if number == MAX_DISPATCHES:
            return dispatched
        avoid += (hold.instance,)
        following = await dispatcher.acquire(request, number, avoid)
        if following is None:
            return dispatched
        hold = following
    raise AssertionError('unreachable')
