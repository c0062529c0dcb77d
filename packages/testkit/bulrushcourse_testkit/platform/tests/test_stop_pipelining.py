"""A planned stop answers the pipelined requests that it has read."""

import asyncio

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import soak_responses

PIPELINED = 3
WORK_S = 0.4


def head(number):
    """Return a repeatable request."""
    return (
        f'GET /browse/x HTTP/1.1\r\nHost: {documents.HOST}\r\n'
        f'X-Request-Id: p{number}\r\nX-Request-Deadline-Ms: 2000\r\n\r\n'
    ).encode()


async def statuses_until_close(reader):
    """Return the statuses of all responses before the connection ends."""
    statuses = []
    try:
        while True:
            response = await soak_responses.read_response(reader)
            statuses.append(response.status)
    except (EOFError, ConnectionError):
        return statuses


def test_stop_answers_requests_that_were_pipelined_after_it_began():
    # Guards against a first response that announces the close of the
    # connection while whole requests behind it have been read for longer than
    # a request needs to cross the close.
    async def scenario():
        async with clusters.EdgeCluster(bounds={'grace': '6s'}) as cluster:
            cluster.configure()
            await cluster.add_upstream('u1', work_s=WORK_S, slots=20)
            await cluster.start()
            vm = cluster.vms[0]
            reader, writer = await asyncio.open_connection(
                *vm.listen['front'].split(':')
            )
            vm.process.stopping.set()
            await asyncio.sleep(0.05)
            writer.write(b''.join(map(head, range(PIPELINED))))
            statuses = await statuses_until_close(reader)
            writer.close()
            assert len(statuses) == PIPELINED, statuses

    asyncio.run(asyncio.wait_for(scenario(), 30))
