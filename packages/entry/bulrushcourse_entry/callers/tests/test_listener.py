"""The listener of callers reads no body as a request."""

import asyncio
import types

import pytest
from aiohttp import web

from bulrushcourse_entry.callers import listener

INNER = b'GET /v1/entries?client=inner HTTP/1.1\r\nHost: h\r\n\r\n'


class Lookups:
    """Records the clients that are looked up."""

    def __init__(self):
        self.clients = []

    def answer(self, client):
        self.clients.append(client)
        return {'max_age_s': 1}


async def exchange(lookups, *pieces):
    """Return what the listener answers to bytes on one connection."""
    nothing = types.SimpleNamespace(add_routes=lambda _: None)
    callers = listener.CallersListener(
        None, None, None, lookups, None, claims=nothing
    )
    runner = web.AppRunner(callers.application())
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    host, port = runner.addresses[0]
    reader, writer = await asyncio.open_connection(host, port)
    try:
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.05)
        async with asyncio.timeout(1.0):
            return await reader.read()
    finally:
        writer.close()
        await runner.cleanup()


@pytest.mark.parametrize('path', ['/v1/entries?client=outer', 'h:80'])
def test_body_of_connect_is_no_request(path):
    # Guards against a request inside the body of a CONNECT that is served.
    head = (
        f'CONNECT {path} HTTP/1.1\r\nHost: h\r\n'
        f'Content-Length: {len(INNER)}\r\n\r\n'
    ).encode()
    for pieces in ((head + INNER,), (head, INNER)):
        lookups = Lookups()
        answered = asyncio.run(exchange(lookups, *pieces))
        assert answered.startswith(b'HTTP/1.1 501 ')
        assert answered.count(b'HTTP/1.1 ') == 1
        assert lookups.clients == []


def test_body_of_a_request_is_no_request():
    # Guards against a request inside a body that the handler does not read.
    head = (
        'GET /v1/entries?client=outer HTTP/1.1\r\nHost: h\r\n'
        f'Connection: close\r\nContent-Length: {len(INNER)}\r\n\r\n'
    ).encode()
    lookups = Lookups()
    answered = asyncio.run(exchange(lookups, head + INNER))
    assert answered.startswith(b'HTTP/1.1 200 ')
    assert lookups.clients == ['outer']
