"""Guards against requests that arrive while a stop waits for other work."""

import asyncio
import types

import pytest
from aiohttp import web

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import active_configuration
from bulrushcourse_entry import listening
from bulrushcourse_entry import stopping
from bulrushcourse_entry.callers import listener as callers_listener


@pytest.fixture(autouse=True)
def no_answer_delay(monkeypatch):
    monkeypatch.setattr(stopping, 'MAX_ANSWER_DELAY_S', 0.0)


class Claims:
    """Stand-in for runs whose callers have left, and which go on."""

    def __init__(self):
        self.waiting = asyncio.Event()
        self.may_end = asyncio.Event()

    def add_routes(self, application):
        pass

    async def drain(self):
        self.waiting.set()
        await self.may_end.wait()


class Slots:
    """Stand-in for an entry without pools."""

    async def leave(self):
        pass


class SlowListener(callers_listener.CallersListener):
    """Serves requests whose upstream answers when the test allows it."""

    def __attrs_post_init__(self):
        self.may_answer = asyncio.Event()

    async def _serve(self, request):
        await self.may_answer.wait()
        return web.Response(text='done')


class Lookups:
    """Stand-in for the membership."""

    def answer(self, client):
        return {'max_age_s': 1}


def build_listener(claims):
    metrics = types.SimpleNamespace(timing=lambda *details: None)
    return SlowListener(
        clocks.ManualClock(),
        active_configuration.ActiveConfiguration(),
        None,
        Lookups(),
        metrics,
        claims,
    )


def test_no_request_is_taken_while_the_stop_waits_for_runs():
    """Guards against a request that is taken and then cut off.

    Such a request was taken after the stop had seen that none was in flight.
    """

    async def scenario():
        claims = Claims()
        callers = build_listener(claims)
        server = listening.HttpServer(callers.application(), '127.0.0.1:0')
        await server.start()
        address = server.acceptor.sockets[0].getsockname()
        kept, writer = await asyncio.open_connection(*address)
        drain = stopping.GracefulDrain(callers, server, Slots(), claims, 0, 60)
        stop = asyncio.create_task(drain.run(asyncio.Event()))
        await claims.waiting.wait()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*address)
        assert await kept.read() == b''
        claims.may_end.set()
        await stop
        assert callers.in_flight == 0
        await server.close()
        writer.close()

    asyncio.run(scenario())


def test_look_up_during_a_stop_announces_that_its_connection_closes():
    """Guards against kept connections that only look-ups use."""

    async def scenario():
        claims = Claims()
        callers = build_listener(claims)
        server = listening.HttpServer(callers.application(), '127.0.0.1:0')
        await server.start()
        drain = stopping.GracefulDrain(
            callers, server, Slots(), claims, 60, 60
        )
        forced = asyncio.Event()
        stop = asyncio.create_task(drain.run(forced))
        await asyncio.sleep(0)
        reader, writer = await asyncio.open_connection(
            *server.acceptor.sockets[0].getsockname()
        )
        writer.write(b'GET /v1/entries HTTP/1.1\r\nHost: a\r\n\r\n')
        answer = await reader.read()
        assert answer.startswith(b'HTTP/1.1 200 ')
        assert b'\r\nConnection: close\r\n' in answer
        forced.set()
        await stop
        await server.close()
        writer.close()

    asyncio.run(asyncio.wait_for(scenario(), 10))
