"""Guards against requests that a closing listener takes without an answer."""

import asyncio
import socket

import pytest
from aiohttp import web

from bulrushcourse_entry import listening

GET = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
POST = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n'
# More than the buffers of both sockets hold.
LARGE_BODY_BYTES = 16 << 20


class Upstream:
    """Stand-in handler whose answer waits for the test."""

    def __init__(self):
        self.begun = asyncio.Event()
        self.may_answer = asyncio.Event()
        self.body = b'done'

    async def serve(self, request):
        self.begun.set()
        await request.read()
        await self.may_answer.wait()
        return web.Response(body=self.body)

    async def stream(self, request):
        response = web.StreamResponse()
        response.content_length = len(self.body)
        await response.prepare(request)
        await response.write(self.body)
        return response


def run(scenario):
    async def start():
        upstream = Upstream()
        application = web.Application()
        application.router.add_get('/stream', upstream.stream)
        application.router.add_route('*', '/{path:.*}', upstream.serve)
        server = listening.HttpServer(application, '127.0.0.1:0')
        await server.start()
        address = server.acceptor.sockets[0].getsockname()
        try:
            async with asyncio.timeout(10):
                await scenario(server, upstream, address)
        finally:
            if server.runner.server is not None:
                await server.close()

    asyncio.run(start())


async def read_answer(reader):
    """Return status and body; fails if the connection ends before."""
    head = await reader.readuntil(b'\r\n\r\n')
    fields = dict(
        line.split(b': ', 1) for line in head.splitlines()[1:] if line
    )
    body = await reader.readexactly(int(fields[b'Content-Length']))
    return int(head.split()[1]), body


async def open_used_connection(address, upstream):
    """Return a kept connection on which one request was answered."""
    reader, writer = await asyncio.open_connection(*address)
    upstream.may_answer.set()
    writer.write(GET)
    assert (await read_answer(reader))[0] == 200
    upstream.may_answer.clear()
    upstream.begun.clear()
    return reader, writer


def test_request_in_the_accept_queue_is_answered():
    """Guards against connections reset before the process accepts them."""

    async def scenario(server, upstream, address):
        upstream.may_answer.set()
        with socket.create_connection(address) as client:
            client.sendall(GET)
            client.setblocking(False)
            # The event loop has not run since the connection was opened.
            await server.drain()
            reader, _ = await asyncio.open_connection(sock=client)
            assert await read_answer(reader) == (200, b'done')

    run(scenario)


def test_unread_request_on_a_kept_connection_is_answered():
    """Guards against a close that discards the bytes of a whole request."""

    async def scenario(server, upstream, address):
        reader, writer = await open_used_connection(address, upstream)
        upstream.may_answer.set()
        server.acceptor.close()
        # The event loop has not read it when the drain begins.
        writer.get_extra_info('socket')._sock.send(GET)
        await server.drain()
        assert await read_answer(reader) == (200, b'done')
        writer.close()

    run(scenario)


def test_request_whose_body_arrives_during_the_drain_is_answered():
    """Guards against dropped bodies of requests that were begun."""

    async def scenario(server, upstream, address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(POST)
        await upstream.begun.wait()
        drain = asyncio.create_task(server.drain())
        await asyncio.sleep(2 * listening.POLL_INTERVAL_S)
        writer.write(b'ab')
        upstream.may_answer.set()
        assert await read_answer(reader) == (200, b'done')
        writer.close()
        await drain

    run(scenario)


def test_drain_waits_until_responses_are_sent():
    """Guards against responses cut off after their handlers have ended."""

    async def scenario(server, upstream, address):
        upstream.body = bytes(LARGE_BODY_BYTES)
        upstream.may_answer.set()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(GET)
        head = await reader.readuntil(b'\r\n\r\n')
        assert b' 200 ' in head
        writer.transport.pause_reading()
        drain = asyncio.create_task(server.drain())
        await asyncio.sleep(0)
        assert not drain.done()
        writer.transport.resume_reading()
        assert await reader.readexactly(LARGE_BODY_BYTES) == upstream.body
        writer.close()
        await drain

    run(scenario)


def test_drain_closes_connections_without_a_request():
    """Guards against a drain that waits for clients that send nothing."""

    async def scenario(server, upstream, address):
        kept, kept_writer = await open_used_connection(address, upstream)
        fresh, fresh_writer = await asyncio.open_connection(*address)
        await server.drain()
        assert await kept.read() == await fresh.read() == b''
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*address)
        kept_writer.close()
        fresh_writer.close()

    run(scenario)


@pytest.mark.parametrize('path', [b'/', b'/stream'])
def test_each_response_announces_that_its_connection_closes(path):
    """Guards against a next request that crosses the close."""

    async def scenario(server, upstream, address):
        upstream.may_answer.set()
        reader, writer = await asyncio.open_connection(*address)
        server.leaving = True
        writer.write(GET.replace(b'/', path, 1))
        head = await reader.readuntil(b'\r\n\r\n')
        assert b'\r\nConnection: close\r\n' in head
        assert await reader.read() == b'done'
        writer.close()

    run(scenario)


def test_pipelined_requests_are_answered_during_the_drain():
    """Guards against requests dropped behind the first announced close."""

    async def scenario(server, upstream, address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(3 * GET)
        await upstream.begun.wait()
        drain = asyncio.create_task(server.drain())
        await asyncio.sleep(0)
        upstream.may_answer.set()
        for _ in range(3):
            assert await read_answer(reader) == (200, b'done')
        assert await reader.read() == b''
        writer.close()
        await drain

    run(scenario)


def test_close_does_not_wait_for_a_request_that_never_ends():
    """Guards against a forced stop that hangs."""

    async def scenario(server, upstream, address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(GET)
        await upstream.begun.wait()
        await server.close()
        assert await reader.read() == b''
        writer.close()

    run(scenario)
