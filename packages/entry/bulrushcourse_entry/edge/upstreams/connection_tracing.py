"""Tracing of the connections that requests to upstreams use."""

import typing

import aiohttp
import attrs

from bulrushcourse_domain.upstreams import address_bindings
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.upstreams import bounded_responses


def always() -> bool:
    """Return that a request may be sent whenever a connection is open."""
    return True


@attrs.define(eq=False)
class AttemptTrace:
    """The connection that carries one attempt of a request.

    Attributes:
        upstream: Upstream that the request is sent to.
        addresses: Proofs that upstreams still have their addresses.
        is_confined: Whether the request must not reach another region, and
            so no other upstream than this one.
        may_send: Returns whether the upstream is still allowed when the
            request is about to be written.
        reused: Whether the connection had been used before.
        wrote: Whether any byte of the request may have been written.
        wrote_at: Time before the first byte was written, monotonic seconds.
        proof_s: Time spent on proofs that the upstream has its address.
        connect_started_at: When a new connection was begun, monotonic
            seconds.
        connection: The connection, ``None`` before there is one.
        memory: Memory of the response, ``None`` if it is not counted.
        answered_by: Name that the response states for its upstream, empty if
            none.
    """

    upstream: upstreams.Upstream
    addresses: address_bindings.AddressBindings
    is_confined: bool = False
    may_send: typing.Callable[[], bool] = always
    reused: bool = False
    wrote: bool = False
    wrote_at: float = float('inf')
    proof_s: float = 0.0
    connect_started_at: float = 0.0
    connection: bounded_responses.BoundedResponseHandler | None = None
    memory: bounded_responses.ResponseMemory | None = None
    answered_by: str = ''

    @property
    def answer_bytes(self) -> int:
        """Bytes received of the response."""
        # aiohttp's connections are false while their queue is empty.
        if self.connection is None:
            return 0
        return self.connection.response_bytes

    def may_reuse(
        self, connection: bounded_responses.BoundedResponseHandler
    ) -> bool:
        """Return whether the request may be sent on an idle connection.

        A connection stays with the process that accepted it, whoever has its
        address later.

        Args:
            connection: The connection.
        """
        if connection.owner:
            return connection.owner == self.upstream.residence
        return not self.is_confined

    def may_connect(self) -> bool:
        """Return whether opening a connection now can be of use."""
        return not self.is_confined or self.addresses.is_proven(self.upstream)

    def accept_new(
        self, connection: bounded_responses.BoundedResponseHandler
    ) -> bool:
        """Return whether it may be sent on a connection opened just now.

        Args:
            connection: The connection.
        """
        if self.addresses.is_proven(self.upstream):
            connection.owner = self.upstream.residence
            return True
        return not self.is_confined

    def end(self) -> None:
        """Forget what the attempt used, which refers back to its request.

        The request keeps this object for the log, and with it would stay in
        memory after its end.
        """
        self.may_send = always
        self.connection = None
        self.memory = None

    def record_identified(self) -> None:
        """Record that the upstream certainly sent the response."""
        self.connection.owner = self.upstream.residence
        self.addresses.record_identified(self.upstream, self.wrote_at)

    def record_displaced(self) -> None:
        """Record that another upstream sent the response."""
        self.connection.close()
        self.addresses.record_displaced(self.upstream)


def trace_connections(
    state: process_state.ProcessState,
) -> aiohttp.TraceConfig:
    """Return a trace that records connection times in the process state.

    It also records in each ``AttemptTrace`` whether the connection is reused
    and whether the request may have been written to it.

    Args:
        state: The process state.
    """

    async def on_connect_start(
        _: typing.Any, context: typing.Any, __: object
    ) -> None:
        _attempt(context).connect_started_at = state.clock.monotonic()

    async def on_connect_end(
        _: typing.Any, context: typing.Any, __: object
    ) -> None:
        attempt = _attempt(context)
        elapsed_s = state.clock.monotonic() - attempt.connect_started_at
        state.round_trips.record_connect(attempt.upstream, elapsed_s)

    async def on_reuse(_: typing.Any, context: typing.Any, __: object) -> None:
        _attempt(context).reused = True

    # Called before the first byte is written.
    async def on_headers(
        _: typing.Any, context: typing.Any, __: object
    ) -> None:
        attempt = _attempt(context)
        attempt.wrote = True
        attempt.wrote_at = state.clock.monotonic()
        if attempt.memory is not None:
            attempt.connection.count_memory(attempt.memory)

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(on_connect_start)
    trace.on_connection_create_end.append(on_connect_end)
    trace.on_connection_reuseconn.append(on_reuse)
    trace.on_request_headers_sent.append(on_headers)
    return trace


def _attempt(context: typing.Any) -> AttemptTrace:
    return context.trace_request_ctx
