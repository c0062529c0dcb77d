"""A planned stop under load cuts off nothing that was read."""

import asyncio
import itertools
import signal

import pytest

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents

CLIENTS = 24
STOPS = 5


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


async def keep_sending(cluster, stopped, replies, number):
    """Send on a kept connection until the VM has stopped."""
    paths = itertools.cycle(('/browse/x', '/order/x'))
    while not stopped.is_set():
        path = next(paths)
        body = b'tabs' * number if path.startswith('/order') else b''
        reply = await cluster.send(path, body=body)
        replies.append(reply)
        if reply.status == 0:
            # The VM has closed its listener or the kept connection.
            await asyncio.sleep(0.02)


@pytest.mark.parametrize('signals', [1, 2])
def test_stop_under_load_cuts_off_no_request_that_was_passed_on(signals):
    # Guards against requests that were accepted just before the end and get
    # no answer, also when the signal comes twice.
    async def scenario():
        for _ in range(STOPS):
            async with clusters.EdgeCluster() as cluster:
                cluster.configure()
                for number in range(3):
                    await cluster.add_upstream(
                        f'u{number}', work_s=0.08, slots=20
                    )
                await cluster.start()
                stopped = asyncio.Event()
                replies = []
                clients = [
                    asyncio.create_task(
                        keep_sending(cluster, stopped, replies, number)
                    )
                    for number in range(CLIENTS)
                ]
                await asyncio.sleep(0.2)
                vm = cluster.vms[0]
                for _ in range(signals):
                    vm.process.stopping.set()
                    await asyncio.sleep(0.1)
                await asyncio.wait_for(vm.task, 4.0)
                stopped.set()
                await asyncio.gather(*clients)
                cut_off = [reply for reply in replies if reply.status == 0]
                assert [
                    reply
                    for reply in cut_off
                    if cluster.run_count(reply.request_id)
                ] == []
                refused = [r for r in replies if r.status == 503]
                assert [
                    r for r in refused if cluster.run_count(r.request_id)
                ] == []
                served = sum(reply.is_own_answer for reply in replies)
                assert served + len(refused) + len(cut_off) == len(replies)
                assert served > CLIENTS

    run(scenario())


async def open_kept(address):
    """Return the streams of an idle connection."""
    return await asyncio.open_connection(*address.split(':'))


async def send_kept(streams, request_id, deadline_ms):
    """Send an order on an open connection and return the status, or 0."""
    reader, writer = streams
    writer.write(
        f'POST /order/x HTTP/1.1\r\nHost: {documents.HOST}\r\n'
        f'X-Request-Id: {request_id}\r\n'
        f'X-Request-Deadline-Ms: {deadline_ms}\r\n'
        'Content-Length: 1\r\n\r\nx'.encode()
    )
    try:
        line = await reader.readline()
    except OSError:
        return 0
    finally:
        writer.close()
    return int(line.split()[1]) if line else 0


async def send_slowly(address, request_id, body, pause_s):
    """Send half of a request's body, wait, send the rest and return a status.

    Returns 0 if the connection is closed without a response.
    """
    reader, writer = await asyncio.open_connection(*address.split(':'))
    head = (
        f'POST /order/x HTTP/1.1\r\nHost: {documents.HOST}\r\n'
        f'X-Request-Id: {request_id}\r\nX-Request-Deadline-Ms: 10000\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    half = len(body) // 2
    try:
        writer.write(head.encode() + body[:half])
        await asyncio.sleep(pause_s)
        writer.write(body[half:])
        line = await reader.readline()
        return int(line.split()[1]) if line else 0
    except OSError:
        return 0
    finally:
        writer.close()


def test_request_late_in_a_stop_is_served_whole_or_not_begun():
    # Guards against orders that are accepted late in a planned stop, passed
    # on, and cut off at its end while their upstream works.
    sent_after_s = 3.2
    # In progress until after the late requests, so that the VM still serves.
    begun_after_s = 0.6

    async def scenario():
        async with clusters.EdgeCluster(bounds={'grace': '7s'}) as cluster:
            cluster.configure(
                1,
                documents.rule(
                    '/order/', kind='non_idempotent', timeout='10s'
                ),
            )
            await cluster.add_upstream('u1', work_s=3.0, slots=20)
            await cluster.start()
            vm = cluster.vms[0]
            kept = [await open_kept(vm.listen['front']) for _ in range(2)]
            vm.process.stopping.set()
            address = vm.listen['front']
            slow = asyncio.create_task(
                send_slowly(address, 'slow', b'tabs', sent_after_s)
            )
            await asyncio.sleep(begun_after_s)
            begun = asyncio.create_task(
                cluster.send('/order/x', body=b'x', deadline_ms=10_000)
            )
            await asyncio.sleep(sent_after_s - begun_after_s)
            late = cluster.send('/order/x', body=b'x', deadline_ms=10_000)
            reply, slow_status, *kept_statuses = await asyncio.gather(
                late,
                slow,
                send_kept(kept[0], 'kept', 10_000),
                send_kept(kept[1], 'short', 400),
            )
            await asyncio.wait_for(vm.task, 4.5)
            ran = {
                arrival.request_id for arrival in cluster.upstreams['u1'].ran
            }
            assert reply.status in (0, 503)
            assert slow_status == 503
            # The deadline of the last one passes before the stop ends.
            assert kept_statuses == [503, 504]
            assert (await begun).is_own_answer
            assert ran == {'short', (await begun).request_id}

    run(scenario())


def test_signal_numbers_of_a_planned_stop_are_handled():
    # Guards against a stop by SIGTERM or SIGINT that ends the process at once.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure()
            await cluster.add_upstream('u1', work_s=0.3)
            await cluster.start()
            reply = asyncio.create_task(cluster.send('/order/x', body=b'x'))
            await asyncio.sleep(0.1)
            signal.raise_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            signal.raise_signal(signal.SIGTERM)
            assert (await reply).is_own_answer
            await asyncio.wait_for(cluster.vms[0].task, 4.0)

    run(scenario())
