"""Buffering of bodies of requests and responses within memory limits."""

import asyncio
import typing

import attrs
from aiohttp import http
from aiohttp import web
from aiohttp import web_protocol

from bulrushcourse_domain.resources import memory as memories
from bulrushcourse_entry.edge.callers import body_content

TOO_LARGE = 'body-too-large'
NO_MEMORY = 'no-memory'
MALFORMED = 'malformed'
UNKNOWN_LIMITS = 'unknown-limits'
TIMED_OUT = 'body-timeout'
STOPPING = 'stopping'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class BodyRefused(web_protocol.RequestPayloadError):
    """A connection received no more of a body.

    Attributes:
        reason: Why.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@typing.runtime_checkable
class BodySource(typing.Protocol):
    """A connection that receives larger parts of a body once it is read."""

    def begin_body(self) -> None:
        """Receive larger parts."""
        ...


@attrs.frozen
class BodyLimits:
    """Limits on the body of one request.

    Attributes:
        size: Largest size in bytes.
        total_s: Time until its end in seconds.
        pause_s: Longest time between two parts in seconds.
    """

    size: int
    total_s: float
    pause_s: float


@attrs.define(eq=False)
class Body:
    """Reads the body of one request.

    Attributes:
        budget: Memory of the VM's traffic.
        content: The body as far as it has been read, with its memory.
    """

    budget: memories.MemoryBudget
    content: body_content.Content = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Count the body as memory from its first byte."""
        self.content = body_content.Content(
            memory=memories.BodyMemory(self.budget, memories.Use.REQUESTS)
        )

    async def read(self, request: web.BaseRequest, limits: BodyLimits) -> str:
        """Read the body.

        Memory for an announced body is reserved before any of it is read, so
        that a body is not refused halfway because of one that came later.

        Args:
            request: The request.
            limits: Limits of the body.

        Returns:
            Why the body is rejected, empty if it is accepted.
        """
        if not request.body_exists:
            return ''
        announced = request.content_length or 0
        if announced > limits.size:
            return TOO_LARGE
        if not self._reserve(announced):
            return NO_MEMORY
        if isinstance(request.protocol, BodySource):
            request.protocol.begin_body()
        try:
            async with asyncio.timeout(limits.total_s) as ending:
                await _confirm(request)
                return await self._read_parts(request, limits, ending)
        except TimeoutError:
            return TIMED_OUT
        except BodyRefused as refused:
            return refused.reason
        except web_protocol.RequestPayloadError:
            return MALFORMED

    async def _read_parts(
        self,
        request: web.BaseRequest,
        limits: BodyLimits,
        ending: asyncio.Timeout,
    ) -> str:
        ends_at = ending.when()
        now = asyncio.get_running_loop().time
        ending.reschedule(min(ends_at, now() + limits.pause_s))
        async for chunk in request.content.iter_any():
            size = self.content.size + len(chunk)
            if size > limits.size:
                return TOO_LARGE
            if not self._reserve(size):
                return NO_MEMORY
            self.content.append(chunk)
            ending.reschedule(min(ends_at, now() + limits.pause_s))
        return ''

    def _reserve(self, size: int) -> bool:
        memory = self.content.memory
        return size <= memory.size or memory.try_grow(size - memory.size)


async def _confirm(request: web.BaseRequest) -> None:
    """Tell a client that waits for it to send its body."""
    expected = request.headers.get('Expect', '')
    if (
        expected.lower() == '100-continue'
        and request.version == http.HttpVersion11
    ):
        await request.writer.write(CONTINUE)
        # The response has not been begun.
        request.writer.output_size = 0
