"""Proper requests are never answered as if they were wrong."""

import asyncio

import pytest

from bulrushcourse_domain.resources import memory as memories
from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import raw_client

HOST = documents.HOST
# Largest request line beside a head with the largest fields.
LINE_BYTES = 8 << 10


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))


def head(line, *fields, host=HOST, request_id='p1'):
    lines = (line, f'Host: {host}', f'X-Request-Id: {request_id}', *fields)
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


async def start(cluster, **limits):
    document = documents.configuration(1, *documents.DEFAULT_RULES)
    document['limits'].update(limits)
    cluster.store.put('op', 'config', document)
    upstream = await cluster.add_upstream('u1')
    await cluster.start()
    return upstream


async def ask(cluster, *pieces):
    return await raw_client.exchange(cluster.vms[0].listen['front'], *pieces)


@pytest.mark.parametrize('framing', ('sized', 'chunked'))
@pytest.mark.parametrize('pause_s', (0, 0.05))
@pytest.mark.parametrize('size', (10, 3000, 60_000, 300_000))
@pytest.mark.parametrize('path', ('/gone/1', '/browse/1'))
def test_request_behind_an_upload_that_was_answered_early_is_served(
    path, size, pause_s, framing
):
    # Guards against 400, a lost connection or silence for a request that
    # arrives together with the end of a body that nobody read.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            await start(cluster)
            host, _, port = cluster.vms[0].listen['front'].rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            line = f'POST {path} HTTP/1.1'
            if framing == 'sized':
                data = head(line, f'Content-Length: {size}') + bytes(size)
            else:
                data = head(line, 'Transfer-Encoding: chunked')
                data += b'%x\r\n%s\r\n0\r\n\r\n' % (size, bytes(size))
            cut = len(data) - size // 2
            writer.write(data[:cut])
            await asyncio.sleep(pause_s)
            following = head('GET /browse/2 HTTP/1.1', request_id='p2')
            writer.write(data[cut:] + following)
            for status in (404 if path == '/gone/1' else 200, 200):
                reply = await asyncio.wait_for(
                    raw_client.read_response(reader), 5
                )
                assert reply.status == status
            assert reply.body == b'u1:p2'
            writer.close()

    run(scenario())


@pytest.mark.parametrize('cut', (4096, 20_000))
def test_requests_behind_an_upload_that_was_answered_early_keep_their_order(
    cut,
):
    # Guards against the answer to another request: pipelined requests that
    # arrived with the end of an unread body were queued in reverse order.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            await start(cluster)
            names = [f'p{number}' for number in range(3)]
            size = 100 << 10
            data = head('POST /gone/1 HTTP/1.1', f'Content-Length: {size}')
            data += bytes(size)
            for name in names:
                data += head('GET /browse/2 HTTP/1.1', request_id=name)
            parts = [data[at : at + cut] for at in range(0, len(data), cut)]
            for _ in range(20):
                replies = await exchange_parts(cluster, parts, 4)
                assert [reply.status for reply in replies] == [404, *[200] * 3]
                assert [reply.body for reply in replies[1:]] == [
                    f'u1:{name}'.encode() for name in names
                ]

    run(scenario())


async def exchange_parts(cluster, parts, count):
    """Send parts on one connection and return its first responses."""
    host, _, port = cluster.vms[0].listen['front'].rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        async with asyncio.timeout(5):
            for part in parts:
                writer.write(part)
                await writer.drain()
            return [
                await raw_client.read_response(reader) for _ in range(count)
            ]
    finally:
        writer.close()


def test_long_head_before_a_configuration_is_known_may_be_retried():
    # Guards against 431 by default limits, which a VM that has just started
    # applied before it knew those of the configuration.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            vm = cluster.vms[0]
            vm.start()

            async def is_listening():
                return await cluster.readiness_status(vm) != 0

            await cluster.wait_until(is_listening)
            data = head('GET /browse/1 HTTP/1.1', 'X-Long: ' + 'a' * 40_000)
            reply = await ask(cluster, data)
            assert reply.status == 503
            assert float(dict(reply.fields())['retry-after']) > 0

    run(scenario())


def test_largest_head_and_body_are_served():
    # Guards against limits that are one byte too low.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            await start(cluster, max_header_bytes=30_000, max_body_bytes=3000)
            line = 'POST /order/1 HTTP/1.1'
            plain = head(line, 'Content-Length: 3000', 'X-Long: ')
            fields = len(plain) - len(line) - 2
            data = head(
                line.replace('1 ', 'a' * (LINE_BYTES - len(line) - 1) + ' '),
                'Content-Length: 3000',
                'X-Long: ' + 'a' * (30_000 - fields),
            )
            assert len(data) == 30_000 + LINE_BYTES
            reply = await ask(cluster, data, bytes(3000))
            assert reply.status == 200
            longer = data.replace(b'X-Long: ', b'X-Long: a')
            assert (await ask(cluster, longer)).status == 431

    run(scenario())


def test_trailers_that_find_no_memory_may_be_retried():
    # Guards against 400 for a proper body while a VM is short of memory.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            upstream = await start(cluster)
            memory = cluster.vms[0].process.state.memory
            data = head('POST /order/1 HTTP/1.1', 'Transfer-Encoding: chunked')
            trailers = b'x-sum: ' + b'a' * 3000
            host, _, port = cluster.vms[0].listen['front'].rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data + b'3\r\nabc\r\n0\r\n')
            await asyncio.sleep(0.1)
            use = memories.Use.CONNECTIONS
            memory.used_bytes[use] += int(memory.share_bytes(use))
            writer.write(trailers + b'\r\n')
            reply = await raw_client.read_response(reader)
            assert reply.status == 503
            assert float(dict(reply.fields())['retry-after']) > 0
            assert upstream.arrivals == []
            writer.close()

    run(scenario())


ABSOLUTE = {
    f'http://{HOST}/browse/1?a=/b': '/browse/1?a=/b',
    f'HTTP://{HOST.upper()}:80/browse/?': '/browse/?',
    f'https://{HOST}/browse/http://x/': '/browse/http://x/',
}


@pytest.mark.parametrize('target', ABSOLUTE)
def test_absolute_form_selects_the_route_of_its_host(target):
    # Guards against 404 for a form that every server accepts, and against a
    # target that the upstream does not get as a path.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            upstream = await start(cluster)
            data = head(f'GET {target} HTTP/1.1', host='other.example')
            assert (await ask(cluster, data)).status == 200
            assert upstream.arrivals[-1].target == ABSOLUTE[target]
            authority = target.split('/')[2]
            assert upstream.arrivals[-1].headers['host'] == authority

    run(scenario())


@pytest.mark.parametrize('host', (HOST + '.', HOST.upper() + '.:80'))
def test_host_with_a_final_dot_selects_the_route(host):
    # Guards against 404 for the same name in its absolute form.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            upstream = await start(cluster)
            data = head('GET /browse/1 HTTP/1.1', host=host)
            assert (await ask(cluster, data)).status == 200
            assert upstream.arrivals[-1].headers['host'] == host

    run(scenario())


def test_answer_to_head_keeps_its_length_without_a_body():
    # Guards against 502, or a length of 0, for the answer to HEAD.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            upstream = await start(cluster)
            upstream.content = b'x' * 70
            host, _, port = cluster.vms[0].listen['front'].rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head('HEAD /browse/1 HTTP/1.1'))
            reply = await reader.readuntil(b'\r\n\r\n')
            assert reply.startswith(b'HTTP/1.1 200 ')
            assert (
                dict(raw_client.parse_fields(reply))['content-length'] == b'70'
            )
            writer.write(head('GET /browse/2 HTTP/1.1', request_id='p2'))
            assert (await raw_client.read_response(reader)).body == b'x' * 70
            writer.close()

    run(scenario())


def test_unknown_method_is_not_called_malformed():
    # Guards against 400 for a method that is a token, which says that the
    # client must not send the request to any server.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            await start(cluster)
            reply = await ask(cluster, head('FROB /browse/1 HTTP/1.1'))
            assert reply.head.startswith(b'HTTP/1.1 501 ')

    run(scenario())


@pytest.mark.parametrize(
    'data', (b'x' * 50 + b'\r\n\r\n', head('GET /browse/\xe9 HTTP/1.1'))
)
def test_refusal_of_a_malformed_head_is_in_the_version_of_the_server(data):
    # Guards against responses in HTTP/1.0 to clients of HTTP/1.1.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            await start(cluster)
            reply = await ask(cluster, data)
            assert reply.head.startswith(b'HTTP/1.1 400 ')
            assert dict(reply.fields())['connection'] == b'close'

    run(scenario())


@pytest.mark.parametrize('upgrade', ('websocket', 'h2c', 'tcp'))
@pytest.mark.parametrize('body', (b'', b'tabs'))
def test_offered_upgrade_is_ignored(upgrade, body):
    # Guards against a body or a next request that is lost because the client
    # offers another protocol, which a server may ignore.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            upstream = await start(cluster)
            fields = ('Connection: Upgrade', f'Upgrade: {upgrade}')
            line = (
                'POST /order/1 HTTP/1.1' if body else 'GET /browse/1 HTTP/1.1'
            )
            if body:
                fields += (f'Content-Length: {len(body)}',)
            host, _, port = cluster.vms[0].listen['front'].rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            for number in range(3):
                data = head(line, *fields, request_id=f'p{number}') + body
                for piece in (data[:30], data[30:-2], data[-2:]):
                    writer.write(piece)
                    await asyncio.sleep(0.01)
                reply = await asyncio.wait_for(
                    raw_client.read_response(reader), 2
                )
                assert reply.status == 200
                assert upstream.arrivals[-1].body == body
            writer.close()

    run(scenario())


@pytest.mark.parametrize('upgrade', ('websocket', 'tcp'))
@pytest.mark.parametrize('size', (2, 30_000))
def test_offered_upgrade_is_ignored_where_the_answer_precedes_the_body(
    upgrade, size
):
    # Guards against silence for the next request on the connection.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            await start(cluster)
            fields = ('Connection: Upgrade', f'Upgrade: {upgrade}')
            length = f'Content-Length: {size}'
            data = head('POST /gone/1 HTTP/1.1', *fields, length)
            host, _, port = cluster.vms[0].listen['front'].rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            assert (await raw_client.read_response(reader)).status == 404
            following = head('GET /browse/2 HTTP/1.1', request_id='p2')
            writer.write(bytes(size) + following)
            reply = await asyncio.wait_for(raw_client.read_response(reader), 5)
            assert reply.body == b'u1:p2'
            writer.close()

    run(scenario())
