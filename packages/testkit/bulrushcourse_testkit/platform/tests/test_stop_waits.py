"""Requests that have not been sent when a planned stop ends accepting."""

import asyncio
import socket

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))


def encode(request_line, request_id, deadline_ms, *lines):
    head = [
        f'{request_line} HTTP/1.1',
        f'Host: {documents.HOST}',
        f'X-Request-Id: {request_id}',
        f'X-Request-Deadline-Ms: {deadline_ms}',
        *lines,
    ]
    return '\r\n'.join(head).encode() + b'\r\n\r\n'


async def connect(vm):
    """Return a connection without buffers of its own."""
    client = socket.socket()
    host, _, port = vm.listen['front'].rpartition(':')
    client.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client, (host, int(port)))
    return client


async def send(client, data):
    await asyncio.get_running_loop().sock_sendall(client, data)


async def read_all(client):
    """Return what is received until the connection ends in any way."""
    received = b''
    try:
        while data := await asyncio.get_running_loop().sock_recv(
            client, 1 << 16
        ):
            received += data
    except ConnectionError:
        pass
    client.close()
    return received


def test_request_that_waits_for_a_token_is_refused_in_a_stop():
    # Guards against requests that are cut off at the end of a stop while they
    # wait for a token, and could not be sent any more.
    async def scenario():
        async with clusters.EdgeCluster(bounds={'grace': '4s'}) as cluster:
            cluster.configure(
                1,
                documents.rule('/browse/', timeout='10s'),
                accounts=(
                    documents.account('a', 'key', rate_per_s=5, burst=2),
                ),
            )
            await cluster.add_upstream('u1')
            await cluster.start()
            vm = cluster.vms[0]
            vm.process.stopping.set()
            await asyncio.sleep(1.9)
            client = await connect(vm)
            await send(
                client, encode('GET /browse/x', 'w', 9000, 'Api-Key: key')
            )
            # The connections of a process that is run as a task outlive it.
            async with asyncio.timeout(4):
                received = await read_all(client)
            assert received.startswith(b'HTTP/1.1 503 ')

    run(scenario())


def test_upload_that_goes_on_is_refused_once_in_a_stop():
    # Guards against a second answer to a request whose body is still being
    # received when the time limit is reached, and against a lost first one.
    async def scenario():
        async with clusters.EdgeCluster(bounds={'grace': '4s'}) as cluster:
            cluster.configure(1, documents.rule('/order/', timeout='10s'))
            upstream = await cluster.add_upstream('u1')
            await cluster.start()
            vm = cluster.vms[0]
            client = await connect(vm)
            await send(
                client,
                encode('POST /order/x', 'u', 9000, 'Content-Length: 9'),
            )
            await send(client, b'half')
            await asyncio.sleep(0.1)
            vm.process.stopping.set()
            async with asyncio.timeout(6):
                received = await read_all(client)
            assert received.startswith(b'HTTP/1.1 503 ')
            assert received.count(b'HTTP/1.1 ') == 1
            assert upstream.ran == []

    run(scenario())
