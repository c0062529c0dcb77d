"""Faults of a link hold for all of its connections."""

import asyncio

from bulrushcourse_testkit import ports
from bulrushcourse_testkit.standins import fault_proxy

CUT = fault_proxy.LinkFaults(cut=True)


def test_cut_holds_for_a_connection_that_is_being_opened(monkeypatch):
    # Guards against a connection that outlives the cut of its link, over
    # which a VM that is thought to be cut off gets news.
    async def scenario():
        async def serve(reader, writer):
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        reserved = ports.reserve_ports(1)
        link = fault_proxy.Link('a', reserved.ports[0], f'{host}:{port}')
        await link.start()
        connect = asyncio.open_connection

        async def connect_during_the_cut(*address):
            opened = await connect(*address)
            link.set_faults(CUT)
            return opened

        monkeypatch.setattr(asyncio, 'open_connection', connect_during_the_cut)
        reader, writer = await connect('127.0.0.1', reserved.ports[0])
        async with asyncio.timeout(5):
            assert await _ends(reader)
        assert not link.writers
        writer.close()
        server.close()
        reserved.close()

    asyncio.run(scenario())


async def _ends(reader):
    try:
        return await reader.read() == b''
    except OSError:
        return True
