"""HTTP listeners with one task for each connection."""

import asyncio
import contextlib
import typing

from aiohttp import web

from bulrushcourse_entry import sockets
from bulrushcourse_entry.edge.callers import bounded_connection
from bulrushcourse_entry.edge.callers import connection_guard
from bulrushcourse_entry.edge.callers import pipelining

# Open keep-alive connections must not delay the exit of the process.
CLOSE_TIMEOUT_S = 0.2
# The parser's own limits; those of the guard are lower.
MAX_HEAD_BYTES = 1 << 30


class BoundedServer(web.Server):
    """Server whose connections are bounded.

    Attributes:
        guard: Limits over all connections.
        executor: Executes pipelined requests, ``None`` for one after the
            other.
    """

    def __init__(
        self,
        handler: typing.Callable[
            [web.BaseRequest], typing.Awaitable[web.StreamResponse]
        ],
        guard: connection_guard.ConnectionGuard,
        executor: pipelining.Executor[typing.Any] | None,
        **options: typing.Any,
    ) -> None:
        super().__init__(handler, **options)
        self.guard = guard
        self.executor = executor

    def __call__(self) -> bounded_connection.BoundedConnection:
        """Return the protocol of a new connection."""
        return bounded_connection.BoundedConnection(
            self,
            self.guard,
            self.executor,
            loop=self._loop,
            **self._kwargs,
        )


async def serve_http(
    handler: typing.Callable[
        [web.BaseRequest], typing.Awaitable[web.StreamResponse]
    ],
    address: str,
    guard: connection_guard.ConnectionGuard,
    backlog: int,
    executor: pipelining.Executor[typing.Any] | None = None,
) -> web.ServerRunner:
    """Start an HTTP listener with one task for each connection.

    Args:
        handler: Serves a request; it is cancelled when the caller
            disconnects.
        address: ``ip:port`` to listen on.
        guard: Limits over all connections.
        backlog: Length of the accept queue, and largest number of connections
            that are accepted at once.
        executor: Executes pipelined requests; the handler takes their results
            from ``request.protocol.pipelined``. Without it they are handled
            one after the other.
    """
    server = BoundedServer(
        handler,
        guard,
        executor,
        handler_cancellation=True,
        access_log=None,
        max_line_size=MAX_HEAD_BYTES,
        max_field_size=MAX_HEAD_BYTES,
        max_headers=MAX_HEAD_BYTES,
    )
    runner = web.ServerRunner(server)
    await runner.setup()
    host, _, port = address.rpartition(':')
    site = web.TCPSite(
        runner, host, int(port), backlog=backlog, reuse_address=True
    )
    await site.start()
    return runner


async def stop_accepting(runner: web.ServerRunner) -> None:
    """Close the listening socket; open and waiting connections stay.

    Args:
        runner: The listener.
    """
    for site in list(runner.sites):
        await sockets.stop_accepting(site._server)
        await site.stop()


def open_connections(
    runner: web.ServerRunner,
) -> list[bounded_connection.BoundedConnection]:
    """Return the connections of a listener whose tasks have not ended.

    Args:
        runner: The listener.
    """
    return runner.server.connections


async def close_http(runner: web.ServerRunner) -> None:
    """Close a listener and its connections.

    Args:
        runner: The listener.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await runner.cleanup()
