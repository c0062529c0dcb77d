"""Requests and responses when a planned stop ends accepting, and later."""

import asyncio
import socket

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents

LARGE = b'x' * (1 << 20)
RECEIVE_BUFFER_BYTES = 16 << 10
GET = 'GET /browse/x'


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


async def connect(vm, receive_bytes=0):
    """Return a connection without buffers of its own."""
    client = socket.socket()
    if receive_bytes:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
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


def test_pipelined_request_does_not_destroy_the_response_before_it():
    # Guards against a close that discards unsent bytes of a response, since
    # a pipelined request arrives at the closed socket and resets it.
    async def scenario():
        async with clusters.EdgeCluster(bounds={'grace': '6s'}) as cluster:
            cluster.configure()
            upstream = await cluster.add_upstream('u1', content=LARGE)
            await cluster.start()
            vm = cluster.vms[0]
            client = await connect(vm, RECEIVE_BUFFER_BYTES)
            vm.process.stopping.set()
            await asyncio.sleep(0.2)
            await send(client, encode(GET, 'first', 3000))
            # The response is in the buffers of the system.
            await asyncio.sleep(0.5)
            await send(client, encode(GET, 'second', 3000))
            await asyncio.sleep(0.1)
            received = await read_all(client)
            assert len(upstream.ran) == 1
            assert received.partition(b'\r\n\r\n')[2] == LARGE

    run(scenario())


def test_empty_line_behind_a_request_does_not_delay_a_stop():
    # Guards against connections that count as busy since a client has ended
    # its request with an empty line.
    async def scenario():
        async with clusters.EdgeCluster(bounds={'grace': '6s'}) as cluster:
            cluster.configure()
            await cluster.add_upstream('u1')
            await cluster.start()
            vm = cluster.vms[0]
            client = await connect(vm)
            await send(client, encode(GET, 'first', 3000) + b'\r\n')
            await asyncio.sleep(0.2)
            vm.process.stopping.set()
            received = await read_all(client)
            assert received.count(b'HTTP/1.1 ') == 1

    run(scenario())


def test_rest_of_an_answered_upload_does_not_delay_a_stop():
    # Guards against stops that last until their time limit since a client
    # doesn't send the rest of a body that nobody needs.
    async def scenario():
        async with clusters.EdgeCluster(bounds={'grace': '6s'}) as cluster:
            cluster.configure()
            await cluster.add_upstream('u1')
            await cluster.start()
            vm = cluster.vms[0]
            client = await connect(vm)
            line = 'Content-Length: 100000'
            await send(client, encode('POST /none/x', 'first', 3000, line))
            received = await asyncio.get_running_loop().sock_recv(client, 99)
            assert received.startswith(b'HTTP/1.1 404 ')
            vm.process.stopping.set()
            # Connections end 3 s after the beginning; the limit is at 5 s.
            await asyncio.wait_for(vm.task, 4.5)
            client.close()

    run(scenario())


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
            await send(client, encode(GET, 'w', 9000, 'Api-Key: key'))
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
