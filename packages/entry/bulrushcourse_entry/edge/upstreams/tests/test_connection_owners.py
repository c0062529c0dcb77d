"""Connections belong to processes of upstreams, not to addresses."""

import asyncio
import contextlib
import types

import pytest

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.upstreams import address_bindings
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.edge.upstreams import connection_tracing
from bulrushcourse_entry.edge.upstreams import round_trips
from bulrushcourse_entry.upstreams import sessions

RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
REUSE_S = 2.0


class Address:
    """A listener and the requests on each of its connections."""

    def __init__(self):
        self.requests = []
        self.bindings = address_bindings.AddressBindings(
            clocks.ManualClock(100.0), REUSE_S
        )
        self.state = types.SimpleNamespace(
            clock=self.bindings.clock,
            round_trips=round_trips.RoundTripTimes('a', 'a1'),
        )
        self.host_port = ''
        self.connect_s = 0.0

    async def delay(self, *_):
        self.state.clock.advance(self.connect_s)

    async def serve(self, reader, writer):
        self.requests.append(0)
        number = len(self.requests) - 1
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while await reader.readuntil(b'\r\n\r\n'):
                self.requests[number] += 1
                writer.write(RESPONSE)
        writer.close()

    def upstream(self, name, **fields):
        return upstreams.Upstream(
            name, 's', self.host_port, 'a1', 'a', **fields
        )

    async def send(self, session, upstream, is_confined):
        trace = connection_tracing.AttemptTrace(
            upstream, self.bindings, is_confined
        )
        async with session.get(
            f'http://{self.host_port}/', trace_request_ctx=trace
        ) as response:
            await response.read()
        return trace


@contextlib.asynccontextmanager
async def listening():
    address = Address()
    server = await asyncio.start_server(address.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    address.host_port = f'{host}:{port}'
    trace = connection_tracing.trace_connections(address.state)
    trace.on_connection_create_end.append(address.delay)
    async with sessions.open_session(4, False, 1.0, (trace,)) as session:
        yield address, session
    server.close()


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 10))


@pytest.mark.parametrize('is_confined', [True, False])
def test_kept_connection_serves_only_its_process(is_confined):
    # Guards against a connection that was opened to one upstream and carries
    # a request for the next one with its address, or the other way round.
    async def scenario():
        async with listening() as (address, session):
            first = address.upstream('u', born=1)
            second = address.upstream('u', born=2)
            for upstream in (first, second):
                address.bindings.record_identified(
                    upstream, address.state.clock.monotonic()
                )
                await address.send(session, upstream, is_confined)
            assert address.requests == [1, 1]
            await address.send(session, second, is_confined)
            await address.send(session, second, is_confined)
            assert sorted(address.requests) == [1, 3]

    run(scenario())


def test_identified_connection_is_used_after_the_end_of_the_proof():
    # Guards against health requests for connections that can only lead to the
    # upstream that answered on them.
    async def scenario():
        async with listening() as (address, session):
            upstream = address.upstream('u')
            trace = await address.send(session, upstream, False)
            with pytest.raises(sessions.ConnectionRejectedError):
                await address.send(session, upstream, True)
            trace.record_identified()
            address.state.clock.advance(REUSE_S)
            assert not address.bindings.is_proven(upstream)
            await address.send(session, upstream, True)
            assert address.requests == [2]

    run(scenario())


def test_nothing_is_sent_when_the_proof_ends_while_a_connection_is_opened():
    # Guards against a request on a connection that another upstream may have
    # accepted.
    async def scenario():
        async with listening() as (address, session):
            upstream = address.upstream('u')
            address.bindings.record_identified(upstream, 100.0)
            address.connect_s = REUSE_S
            with pytest.raises(sessions.ConnectionRejectedError):
                await address.send(session, upstream, True)
            await asyncio.sleep(0.05)
            assert address.requests == [0]

    run(scenario())


def test_nothing_is_sent_when_the_upstream_is_no_longer_allowed():
    # Guards against a request that is written to an upstream whose region
    # ceased to be a home while its connection was opened, and against one on
    # an idle connection after a pause.
    async def scenario():
        async with listening() as (address, session):
            upstream = address.upstream('u')
            await address.send(session, upstream, False)
            for kept in (True, False):
                trace = connection_tracing.AttemptTrace(
                    upstream, address.bindings, may_send=lambda: False
                )
                with pytest.raises(sessions.RequestWithdrawnError):
                    await session.get(
                        f'http://{address.host_port}/',
                        trace_request_ctx=trace,
                    )
                assert trace.reused is kept
                assert not trace.wrote
            await asyncio.sleep(0.05)
            assert sum(address.requests) == 1

    run(scenario())
