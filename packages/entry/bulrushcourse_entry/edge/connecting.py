"""How connections to upstreams are opened and used, as requests see it."""

import typing

import aiohttp
import attrs

from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.edge import knowledge as knowledges


@attrs.define(eq=False)
class Dispatch:
    """One sending of a request.

    Attributes:
        upstream: Where it is sent.
        reused: Whether it went on a connection that was used before.
        connecting_at: When a new connection for it was started.
    """

    upstream: upstreams.Upstream
    reused: bool = False
    connecting_at: float = 0.0


def observe_connections(
    known: knowledges.Knowledge,
) -> aiohttp.TraceConfig:
    """Return an observer that measures how long connections take to open.

    It also notes at each ``Dispatch`` whether its connection was used before.

    Args:
        known: What this process believes.
    """

    async def start(_: typing.Any, context: typing.Any, __: object) -> None:
        _dispatch(context).connecting_at = known.clock.monotonic()

    async def end(_: typing.Any, context: typing.Any, __: object) -> None:
        dispatch = _dispatch(context)
        took = known.clock.monotonic() - dispatch.connecting_at
        known.delays.note(dispatch.upstream, took)

    async def reuse(_: typing.Any, context: typing.Any, __: object) -> None:
        _dispatch(context).reused = True

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(start)
    trace.on_connection_create_end.append(end)
    trace.on_connection_reuseconn.append(reuse)
    return trace


def _dispatch(context: typing.Any) -> Dispatch:
    return context.trace_request_ctx
