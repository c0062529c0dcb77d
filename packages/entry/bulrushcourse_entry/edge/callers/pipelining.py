"""Execution of pipelined requests while earlier ones are in progress.

The HTTP library handles the requests of a connection one after the other, so
that a pipelined request would wait for the work of all requests before it.
Here the following idempotent requests are executed as soon as they have been
received; the library still asks for their responses in order.
"""

import asyncio
import itertools
import typing

import attrs
from aiohttp import http_parser
from aiohttp import web
from aiohttp import web_protocol

# A caller that pipelines more requests has them executed as earlier ones are
# answered. Bounds the responses that are kept for a caller that reads slowly.
MAX_AHEAD = 8
# Only such requests may be processed in parallel (RFC 9112, section 9.3.2).
SAFE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})
# Headers of requests that are parsed in their turn.
_IN_TURN = (
    b'content-length',
    b'transfer-encoding',
    b'upgrade',
    b'expect',
    b'connection: close',
)

Result = typing.TypeVar('Result')


class Executor(typing.Protocol[Result]):
    """Executes requests whose responses are not due yet."""

    def may_begin_early(self, request: web.BaseRequest) -> bool:
        """Return whether a request may run before earlier ones are answered.

        Args:
            request: The request.
        """
        ...

    async def execute(self, request: web.BaseRequest) -> Result:
        """Execute a request without writing its response.

        Args:
            request: The request.
        """
        ...

    def discard(self, result: Result) -> None:
        """Discard the result of a request whose caller has gone.

        Args:
            result: What ``execute`` returned.
        """
        ...


@attrs.define(eq=False)
class PipelinedRequests(typing.Generic[Result]):
    """Requests of one connection that were begun before their turn.

    Attributes:
        executor: Executes the requests.
        begun: Their tasks by the received message, in order of arrival.
    """

    executor: Executor[Result]
    begun: dict[int, asyncio.Task[Result]] = attrs.field(factory=dict)

    def begin(self, requests: typing.Iterable[web.BaseRequest]) -> None:
        """Begin the requests that wait, up to the first that must wait.

        Args:
            requests: The requests behind the one in progress, in order.
        """
        for request in requests:
            key = id(request._message)
            if key in self.begun:
                continue
            if len(self.begun) >= MAX_AHEAD or (
                not self.executor.may_begin_early(request)
            ):
                return
            self.begun[key] = asyncio.create_task(
                self.executor.execute(request)
            )

    async def result(self, request: web.BaseRequest) -> Result:
        """Return the result of a request whose response is due.

        Args:
            request: The request.
        """
        task = self.begun.pop(id(request._message), None)
        if task is None:
            return await self.executor.execute(request)
        try:
            return await task
        except asyncio.CancelledError:
            task.cancel()
            raise

    def cancel(self) -> None:
        """Cancel the requests whose responses can no longer be written."""
        for task in self.begun.values():
            if not task.cancel() and not task.cancelled():
                self.executor.discard(task.result())
        self.begun.clear()


class PipeliningProtocol(web_protocol.RequestHandler):
    """A caller's connection that begins pipelined requests early.

    Attributes:
        pipelined: Requests that were begun before their turn, ``None`` if
            requests are handled one after the other.
    """

    __slots__ = ('pipelined',)

    def __init__(
        self,
        manager: web.Server,
        executor: Executor[typing.Any] | None,
        **options: typing.Any,
    ) -> None:
        self.pipelined = (
            None if executor is None else PipelinedRequests(executor)
        )
        super().__init__(manager, **options)

    def begin_waiting(self) -> None:
        """Begin the requests behind the one that is in progress."""
        # Unless a request is in progress, the first one is handled at once.
        first = 0 if self._request_in_progress else 1
        if (
            self.pipelined is None
            or self._manager is None
            or len(self._messages) <= first
        ):
            return
        current = self._current_request
        if current is not None and not (
            current.keep_alive and current.method in SAFE_METHODS
        ):
            return
        if first and not _is_safe(self._messages[0]):
            return
        waiting = itertools.islice(self._messages, first, None)
        self.pipelined.begin(
            self._request_factory(message, payload, self, None, None)
            for message, payload in itertools.takewhile(_is_safe, waiting)
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel what was begun for a caller that has gone.

        Args:
            exc: Why the connection ended.
        """
        if self.pipelined is not None:
            self.pipelined.cancel()
        super().connection_lost(exc)


def may_precede_response(head: bytes) -> bool:
    r"""Return whether a request may be parsed before an earlier response.

    Requests with a body, and those that change the connection, are parsed in
    their turn.

    Args:
        head: Its complete head.

    Examples:
        >>> may_precede_response(b'GET /a HTTP/1.1\r\nHost: b\r\n\r\n')
        True
        >>> may_precede_response(b'POST /a HTTP/1.1\r\n\r\n')
        False
    """
    if head.partition(b' ')[0].decode('latin-1') not in SAFE_METHODS:
        return False
    lowered = head.lower()
    return not any(name in lowered for name in _IN_TURN)


def _is_safe(received: tuple[typing.Any, typing.Any]) -> bool:
    """Return whether the parser accepted a request that changes nothing."""
    message = received[0]
    return (
        isinstance(message, http_parser.RawRequestMessage)
        and message.method in SAFE_METHODS
    )
