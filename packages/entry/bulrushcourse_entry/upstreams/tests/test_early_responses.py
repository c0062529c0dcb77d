"""Responses without a length that come before the upstream has the request."""

import asyncio
import contextlib
import socket
import struct
import threading

import aiohttp
import pytest

from bulrushcourse_entry.upstreams import sessions

HEAD = b'HTTP/1.1 200 OK\r\nX-Server-Signature: signed\r\n\r\n'
PART = b'part'
# More than the sockets of both ends hold.
LARGE_PARTS = 400
LARGE_PART = b'x' * (64 << 10)
SMALL_PART = b'x' * 1000
RESET = struct.pack('ii', 1, 0)
WAIT_S = 10.0


class EarlyUpstream:
    """Responds as soon as it has a head, and ends the connection on request.

    It runs in a thread, so that it acts while the client's loop stands still.

    Attributes:
        end: How it ends the connection.
        may_end: Set when it is to end it.
        has_ended: Set when it has.
    """

    def __init__(self, end):
        self.end = end
        self.may_end = threading.Event()
        self.has_ended = threading.Event()
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    @property
    def url(self):
        return f'http://127.0.0.1:{self.listener.getsockname()[1]}/'

    def serve(self):
        connection, _ = self.listener.accept()
        received = b''
        while b'\r\n\r\n' not in received:
            received += connection.recv(100)
        connection.sendall(HEAD + PART)
        self.may_end.wait(WAIT_S)
        with connection:
            self.end(connection)
            self.has_ended.set()
            # A connection whose other direction stays open.
            with contextlib.suppress(OSError):
                while connection.recv(1 << 16):
                    pass

    def close(self):
        self.may_end.set()
        self.thread.join(WAIT_S)
        self.listener.close()

    def finish(self):
        """End the connection before the client's loop goes on."""
        self.may_end.set()
        assert self.has_ended.wait(WAIT_S)


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    connection.close()


def close(connection):
    connection.close()


def half_close(connection):
    connection.shutdown(socket.SHUT_WR)


async def write_then_learn(upstream):
    """Write the last part before anything of the end is read."""
    yield LARGE_PART
    await asyncio.sleep(0.05)
    upstream.finish()
    yield SMALL_PART


async def learn_then_write(upstream):
    """Read the end before the last part is written."""
    yield LARGE_PART
    await asyncio.sleep(0.05)
    upstream.finish()
    await asyncio.sleep(0.05)
    yield SMALL_PART


async def write_all_the_while(upstream):
    """Wait for room in the socket when the connection ends."""
    asyncio.get_running_loop().call_later(0.1, upstream.may_end.set)
    for _ in range(LARGE_PARTS):
        yield LARGE_PART


async def receive(upstream, upload, fresh):
    async with sessions.open_session(4, fresh, 1.0) as session:
        async with session.post(upstream.url, data=upload) as response:
            return b''.join([c async for c in response.content.iter_any()])


@pytest.mark.parametrize('fresh', [True, False])
@pytest.mark.parametrize(
    'upload', [write_then_learn, learn_then_write, write_all_the_while]
)
@pytest.mark.parametrize('end', [reset, close, half_close])
def test_response_that_ends_during_its_request_is_not_complete(
    end, upload, fresh
):
    # Guards against a part of a response that is delivered as a whole one,
    # since the client closed the connection after a failed write, or read the
    # end of the connection before the reset that follows it.
    async def scenario():
        with contextlib.closing(EarlyUpstream(end)) as upstream:
            with pytest.raises(aiohttp.ClientError):
                await receive(upstream, upload(upstream), fresh)

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_response_that_ends_after_its_request_is_complete():
    # Guards against failures of responses that end with their connection.
    async def upload(upstream):
        yield SMALL_PART
        asyncio.get_running_loop().call_later(0.1, upstream.may_end.set)

    async def scenario():
        with contextlib.closing(EarlyUpstream(half_close)) as upstream:
            assert await receive(upstream, upload(upstream), True) == PART

    asyncio.run(asyncio.wait_for(scenario(), 30))
