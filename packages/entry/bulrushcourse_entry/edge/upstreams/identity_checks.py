"""Health requests that prove that upstreams still have their addresses."""

import asyncio
import enum
import typing

import aiohttp
import attrs

from bulrushcourse_domain.resources import memory as memories
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.upstreams import connection_tracing
from bulrushcourse_entry.edge.upstreams import urls
from bulrushcourse_entry.platform import headers as platform_headers

# A health request may wait for a slot, but the requests that wait for it may
# find another upstream meanwhile.
RESPONSE_TIMEOUT_S = 0.6
# Responses with longer bodies are not read to their end.
MAX_BODY_BYTES = 1 << 16


class Finding(enum.Enum):
    """Result of a check."""

    PROVEN = 'proven'
    OTHER_UPSTREAM = 'other-upstream'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    NO_NAME = 'no-name'


@attrs.define(eq=False)
class IdentityChecks:
    """Proves identities where requests need a proof and none holds.

    The requests that need one at the same time share one health request, whose
    response is used for nothing but the identity and what goes with it: the
    check says nothing about the health of the upstream.

    Attributes:
        state: The process state.
        pooled: Session that reuses connections.
        fresh: Session with a new connection for each request.
        on_end: Called with the upstream, the finding and the name that the
            response states for its upstream.
        running: Checks under way by process, address and region.
    """

    state: process_state.ProcessState
    pooled: aiohttp.ClientSession
    fresh: aiohttp.ClientSession
    on_end: typing.Callable[[upstreams.Upstream, Finding, str], None]
    running: dict[str, asyncio.Task[Finding]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Subscribe to what will be of use to later requests."""
        self.state.proofs_wanted.subscribe(self._begin)

    async def close(self) -> None:
        """Cancel the checks under way."""
        tasks = list(self.running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def prove(
        self, upstream: upstreams.Upstream, limit_s: float
    ) -> bool:
        """Return whether the upstream proves that it has its address.

        Args:
            upstream: The upstream.
            limit_s: Longest time to wait in seconds.
        """
        addresses = self.state.upstreams.addresses
        if addresses.is_proven(upstream):
            return True
        if upstream.name in addresses.withheld(confined=True):
            return False
        task = self._begin(upstream)
        done, _ = await asyncio.wait((task,), timeout=max(0.0, limit_s))
        return bool(done) and task.result() is Finding.PROVEN

    def _begin(self, upstream: upstreams.Upstream) -> asyncio.Task[Finding]:
        """Return the check of an upstream that is under way, or a new one."""
        key = upstream.residence
        task = self.running.get(key)
        if task is None:
            task = asyncio.create_task(self._check(upstream))
            self.running[key] = task
            task.add_done_callback(lambda _: self.running.pop(key, None))
        return task

    async def _check(self, upstream: upstreams.Upstream) -> Finding:
        addresses = self.state.upstreams.addresses
        may_reuse = self.state.idle_connections.may_reuse(
            upstream.name, repeatable=True
        )
        trace = connection_tracing.AttemptTrace(upstream, addresses)
        finding = await self._ask(
            self.pooled if may_reuse else self.fresh, trace
        )
        if finding is Finding.UNREACHABLE and trace.reused:
            # The upstream may have dropped the idle connection.
            trace = connection_tracing.AttemptTrace(upstream, addresses)
            finding = await self._ask(self.fresh, trace)
        if finding is Finding.REFUSED:
            record_refused(self.state, upstream)
        if finding is Finding.OTHER_UPSTREAM:
            trace.record_displaced()
        elif finding is Finding.NO_NAME:
            addresses.record_nameless(upstream)
        elif finding is not Finding.PROVEN:
            addresses.record_unproven(upstream)
        self.on_end(upstream, finding, trace.answered_by)
        return finding

    async def _ask(
        self,
        session: aiohttp.ClientSession,
        trace: connection_tracing.AttemptTrace,
    ) -> Finding:
        upstream = trace.upstream
        trace.memory = memories.BodyMemory(
            self.state.memory, memories.Use.RESPONSES
        )
        path = self.state.routes.service(upstream.service).health_path
        try:
            async with (
                asyncio.timeout(RESPONSE_TIMEOUT_S),
                session.get(
                    urls.upstream_url(upstream.address, path),
                    allow_redirects=False,
                    trace_request_ctx=trace,
                ) as response,
            ):
                await _skip_body(response)
        except aiohttp.ClientConnectorError as error:
            refused = isinstance(error.os_error, ConnectionRefusedError)
            return Finding.REFUSED if refused else Finding.UNREACHABLE
        except (aiohttp.ClientError, OSError, ValueError):
            return Finding.UNREACHABLE
        return self._classify(trace, response)

    def _classify(
        self,
        trace: connection_tracing.AttemptTrace,
        response: aiohttp.ClientResponse,
    ) -> Finding:
        trace.answered_by = platform_headers.decode_answerer(response.headers)
        if not trace.answered_by:
            return Finding.NO_NAME
        if trace.answered_by != trace.upstream.name:
            return Finding.OTHER_UPSTREAM
        trace.record_identified()
        record_condition(self.state, trace.upstream, response.headers)
        return Finding.PROVEN


def record_refused(
    state: process_state.ProcessState, upstream: upstreams.Upstream
) -> None:
    """Record that no process accepts connections at an upstream's address.

    Args:
        state: The process state.
        upstream: The upstream.
    """
    state.upstreams.addresses.record_refused(upstream)
    state.crash_ledger.record_end(upstream.incarnation)


def record_condition(
    state: process_state.ProcessState,
    upstream: upstreams.Upstream,
    headers: typing.Mapping[str, str],
) -> None:
    """Record the load and the warm-up that an upstream states.

    Args:
        state: The process state.
        upstream: The upstream, which sent the response itself.
        headers: Headers of its response.
    """
    if not state.upstreams.lists(upstream):
        # What is kept under its name belongs to another process.
        return
    load = platform_headers.decode_load(headers)
    if load is not None:
        state.load.record_load_report(upstream.name, load)
    warmup_s = platform_headers.decode_warmup_s(headers)
    if warmup_s:
        state.upstreams.cold.extend(
            upstream.name, state.clock.monotonic() + warmup_s
        )


async def _skip_body(response: aiohttp.ClientResponse) -> None:
    """Read a body, so that the connection can be used again."""
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            response.close()
            return
