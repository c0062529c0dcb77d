"""Guards against connections and bytes that a close discards."""

import asyncio
import socket

from bulrushcourse_entry import sockets


class Acceptor(asyncio.Protocol):
    """Records the connections that reach their protocols."""

    def __init__(self, made):
        self.made = made

    def connection_made(self, transport):
        self.made.append(transport)


def test_no_accepted_connection_is_dropped_while_clients_keep_coming():
    # asyncio drops a connection that it has accepted in the pass in which its
    # server is closed.
    errors, made, clients = [], [], []

    async def connect_in_each_pass(address):
        while True:
            clients.append(socket.create_connection(address))
            await asyncio.sleep(0)

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.set_debug(True)
        loop.set_exception_handler(
            lambda loop, context: errors.append(context['message'])
        )
        server = await loop.create_server(
            lambda: Acceptor(made), '127.0.0.1', 0, backlog=100
        )
        crowd = asyncio.create_task(
            connect_in_each_pass(server.sockets[0].getsockname())
        )
        for _ in range(5):
            await asyncio.sleep(0)
        await sockets.stop_accepting(server)
        crowd.cancel()
        await asyncio.sleep(0.05)
        for transport in made:
            transport.abort()
        assert made
        assert errors == []

    asyncio.run(scenario())
    for client in clients:
        client.close()


def test_bytes_that_the_peer_has_not_received_are_undelivered():
    # Guards against a close that is taken for harmless while a response is in
    # the buffers of the system.
    server = socket.create_server(('127.0.0.1', 0))
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.connect(server.getsockname())
    connection, _ = server.accept()
    connection.setblocking(False)
    assert not sockets.has_undelivered_bytes(connection)
    sent = connection.send(bytes(1 << 20))
    assert sent > 4096
    assert sockets.has_undelivered_bytes(connection)
    while sent:
        sent -= len(client.recv(1 << 16))
    assert not sockets.has_undelivered_bytes(connection)
    for opened in (client, connection, server):
        opened.close()
