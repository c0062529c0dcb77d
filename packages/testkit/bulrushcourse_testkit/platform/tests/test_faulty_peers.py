"""Another VM that sends without end or bound takes a bounded memory.

The VM runs as a real process whose settings give it a small memory. The peer
speaks the protocol of the VMs as far as each case asks for.
"""

import asyncio
import functools
import itertools
import struct
import time

import msgpack
import pytest

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.fleet import links
from bulrushcourse_testkit import ports
from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import process_watch
from bulrushcourse_testkit.platform import soak_vms
from bulrushcourse_testkit.standins import fault_proxy
from bulrushcourse_wire import fleet_messages
from bulrushcourse_wire import packing
from bulrushcourse_wire import quota_messages

pytestmark = pytest.mark.alone

# Settings of the VM, which are the bounds that are checked.
MEMORY_MB = 96
DESCRIPTORS = 400
STREAMS = 20
SEND_S = 3.0
MIB = 1 << 20
INCARNATION = 1_700_000_000_000


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


def vm(name, address='127.0.0.1:9'):
    return fleet.Vm(name, INCARNATION, address, '127.0.0.1:9', 'a', 'a1', 2)


def report(sender='peer', **fields):
    return fleet_messages.encode(
        fleet_messages.Report(
            vm(sender), links.Relation.CONTACT, fleet.Phase.READY, **fields
        )
    )


def framed(content):
    return struct.pack('>I', len(content)) + content


def endless_reports():
    """Yield the same report without end."""
    yield from itertools.repeat(framed(report()) * 50)


def huge_length():
    """Yield a frame of 4 GiB."""
    yield b'\xff\xff\xff\xff'
    yield from itertools.repeat(b'x' * 65_536)


def largest_length():
    """Yield frames of the largest length, each without its last byte."""
    yield framed(b'\x00' * (4 * MIB))[:-1]
    yield from itertools.repeat(b'')


def large_map():
    """Yield reports with a map of a million entries."""
    yield framed(msgpack.packb(dict.fromkeys(range(1_000_000), 0)))


def small_lists():
    """Yield reports of the largest size that the memory allows, of lists."""
    for size in itertools.cycle((4 * MIB, MIB, 300_000, 30_000)):
        yield framed(b'\xdd' + struct.pack('>I', size - 5) + b'\x90' * size)


@functools.cache
def packed(piece, size):
    """Return a report whose configuration unpacks to a size in bytes."""
    content = b'[' + piece * (size // len(piece)) + b'1]'
    return framed(
        report(
            configuration_version=9,
            configuration=packing.pack_content(content),
        )
    )


def packed_lists():
    """Yield a configuration that unpacks to 15 MiB of empty lists."""
    yield packed(b'[],', 15 * MIB)


def packed_objects():
    """Yield a configuration that unpacks to 3 MiB of small objects."""
    yield packed(b'{"a":1},', 3 * MIB)


def packed_gigabyte():
    """Yield a configuration that unpacks to a gigabyte."""
    yield packed(b'[],', 1 << 30)


def new_vms():
    """Yield reports that name new VMs without end."""
    numbers = itertools.count()
    while True:
        yield framed(
            report(vms=tuple(vm(f'v{next(numbers)}') for _ in range(500)))
        )


def token_requests():
    """Yield requests for tokens of accounts without end."""
    yield framed(quota_messages.STREAM_PREFACE)
    yield from itertools.repeat(framed(msgpack.packb(([], []))) * 500)


def token_lists():
    """Yield requests for tokens of 4 MiB of empty lists."""
    yield framed(quota_messages.STREAM_PREFACE)
    for size in itertools.cycle((4 * MIB - 8, 300_000)):
        yield framed(b'\xdd' + struct.pack('>I', size) + b'\x90' * size)


def token_frame_without_end():
    """Yield a request for tokens of 4 MiB without its end."""
    yield framed(quota_messages.STREAM_PREFACE)
    yield framed(bytes(4 * MIB))[:-1]
    yield from itertools.repeat(b'')


SHAPES = (
    token_requests,
    token_lists,
    token_frame_without_end,
    endless_reports,
    huge_length,
    largest_length,
    large_map,
    small_lists,
    packed_lists,
    packed_objects,
    packed_gigabyte,
    new_vms,
)


async def send(address, shape, ends_at):
    """Open streams again and again, and send on them until a time."""
    host, _, port = address.rpartition(':')
    while time.monotonic() < ends_at:
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(0.05)
            continue
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + SEND_S
            ):
                for piece in shape():
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0 if piece else 0.05)
                    if time.monotonic() > ends_at or writer.is_closing():
                        break
                await asyncio.sleep(0.05)
        except (OSError, TimeoutError):
            # The VM has closed the stream.
            pass
        finally:
            writer.transport.abort()


async def play(tmp_path, act):
    """Let a peer act; check the VM during and after it."""
    async with clusters.EdgeCluster() as cluster:
        cluster.configure()
        await cluster.add_upstream('u1')
        local = cluster.vms[0]
        local.document['self']['limits'] = {
            'memory_mb': MEMORY_MB,
            'max_fds': DESCRIPTORS,
        }
        link = fault_proxy.Link('unused', 0, cluster.store.address)
        soaked = soak_vms.SoakVm(local, tmp_path, link)
        await soaked.start()
        try:
            await cluster.wait_until(cluster.all_ready)
            watch = process_watch.ProcessWatch(soaked.process)
            sampling = asyncio.create_task(watch.sample())
            await act(local.listen['control'])
            sampling.cancel()
            seen = f'{watch.memory_mb:.0f} MB, {watch.descriptors} descriptors'
            print('measured', seen)
            assert soaked.process.returncode is None, seen
            assert watch.memory_mb < MEMORY_MB, seen
            assert watch.descriptors <= DESCRIPTORS, seen

            async def is_answered():
                reply = await cluster.send('/browse/x', deadline_ms=2000)
                return reply.is_own_answer

            # The VM shares its upstreams with the peer as long as it counts
            # as alive.
            await cluster.wait_until(is_answered, 20)
        finally:
            await soaked.kill()


@pytest.mark.parametrize('shape', SHAPES)
def test_reports_without_end_or_bound(tmp_path, shape):
    # Guards against reports that take more memory than the VM has.
    async def act(address):
        ends_at = time.monotonic() + SEND_S
        await asyncio.gather(
            *(send(address, shape, ends_at) for _ in range(STREAMS))
        )

    run(play(tmp_path, act))


def test_peer_that_sends_on_the_streams_to_it(tmp_path):
    # Guards against bytes that are kept of a stream on which none are read.
    reservation = ports.reserve_ports(STREAMS)

    async def answer(reader, writer):
        try:
            while True:
                writer.write(b'x' * MIB)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            # The VM has closed the stream.
            pass
        finally:
            writer.transport.abort()

    async def act(address):
        servers = []
        names = []
        for number, port in enumerate(reservation.ports):
            servers.append(
                await asyncio.start_server(answer, '127.0.0.1', port)
            )
            names.append(vm(f'p{number}', f'127.0.0.1:{port}'))

        def introduce():
            for known in names:
                yield framed(
                    fleet_messages.encode(
                        fleet_messages.Report(
                            known,
                            links.Relation.CONTACT,
                            fleet.Phase.READY,
                        )
                    )
                )

        ends_at = time.monotonic() + SEND_S
        await send(address, introduce, ends_at)
        for server in servers:
            server.close()

    run(play(tmp_path, act))
    reservation.close()
