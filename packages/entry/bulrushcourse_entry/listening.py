"""HTTP listeners and their graceful close."""

import asyncio
import contextlib

import attrs
from aiohttp import web

from bulrushcourse_entry import settings as entry_settings
from bulrushcourse_entry import sockets

# Connections accepted last are left open for this long, since their first
# request may still be on its way.
FIRST_REQUEST_S = 0.5
POLL_INTERVAL_S = 0.02
# Time for answers when requests have exceeded the stop limit or a second
# signal forces the stop.
CLOSE_TIMEOUT_S = 1.0
# Time in which cancelled handlers end.
CANCEL_TIMEOUT_S = 0.1
BACKLOG = 128


@attrs.define(eq=False)
class HttpServer:
    """Serves an application; owns its connections until they are closed.

    A handler is cancelled when its client closes the connection.

    Attributes:
        application: The HTTP application.
        address: ``ip:port`` to listen on.
        runner: Runner of the application, ``None`` before the start.
        acceptor: Accepts connections, ``None`` before the start.
        leaving: Whether responses announce that their connection closes, so
            that clients use another entry.
    """

    application: web.Application
    address: str
    runner: web.AppRunner | None = None
    acceptor: asyncio.Server | None = None
    leaving: bool = False

    async def start(self) -> None:
        """Listen and serve."""
        self.application.on_response_prepare.append(self._announce_close)
        self.runner = web.AppRunner(
            self.application,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=CANCEL_TIMEOUT_S,
        )
        await self.runner.setup()
        host, port = entry_settings.split_address(self.address)
        self.acceptor = await asyncio.get_running_loop().create_server(
            self.runner.server, host, port, backlog=BACKLOG
        )

    async def drain(self) -> None:
        """Stop accepting and wait until every received request is answered.

        A connection is closed as soon as nothing received on it is
        unanswered. No request can arrive afterwards.
        """
        self.leaving = True
        if self.acceptor.is_serving():
            await sockets.stop_accepting(self.acceptor)
            await asyncio.sleep(FIRST_REQUEST_S)
        while connections := self.runner.server.connections:
            for connection in connections:
                if _is_idle(connection):
                    connection.force_close()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def drain_briefly(self) -> None:
        """Drain for at most ``CLOSE_TIMEOUT_S``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self.drain()

    async def close(self) -> None:
        """Drain for a short time, then cut off the remaining requests."""
        await self.drain_briefly()
        self.acceptor.close()
        await self.runner.cleanup()

    async def _announce_close(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        # aiohttp handles no request behind a response that announces a close.
        if self.leaving and not request.protocol._messages:
            response.force_close()
            response.headers['Connection'] = 'close'


def _is_idle(connection: web.RequestHandler) -> bool:
    """Return whether nothing that a client has sent is unanswered.

    Args:
        connection: A client's connection.
    """
    # aiohttp's keep-alive timeout has the same condition, but ignores unread
    # bytes: a close would discard the request in them.
    waiter = connection._waiter
    if waiter is None or waiter.done() or connection.transport is None:
        return False
    source = connection.transport.get_extra_info('socket')
    return not (
        sockets.is_readable(source) or sockets.has_undelivered_bytes(source)
    )
