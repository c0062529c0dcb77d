"""How old the configuration may be that decides, in real processes."""

import asyncio
import contextlib
import signal

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_testkit import ports
from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import soak_vms
from bulrushcourse_testkit.platform import upstream_faults
from bulrushcourse_testkit.standins import fault_proxy

Fault = upstream_faults.Fault

CONTACT_S = 2.0
BOUNDS = {'contact': '2s', 'drain': '2s', 'config_apply': '2s'}
PAUSE_S = 4.0
SETTLED_S = 1.0
WAITING_REQUESTS = 40
CUT = fault_proxy.LinkFaults(cut=True)
OPEN = fault_proxy.LinkFaults()
# News of the store arrive after the requests.
LATE = fault_proxy.LinkFaults(delay_ms=50)


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


@contextlib.asynccontextmanager
async def running_processes(folder, domains):
    """Run edge processes that reach the store through one link each."""
    async with contextlib.AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(
            clusters.EdgeCluster(domains, BOUNDS)
        )
        reserved = ports.reserve_ports(len(domains))
        stack.callback(reserved.close)
        configure(cluster, 1, 'a')
        await cluster.add_upstream('ua', slots=50)
        await cluster.add_upstream('ub', slots=50, failure_domain='b1')
        vms = []
        for vm, port in zip(cluster.vms, reserved.ports, strict=True):
            link = fault_proxy.Link(vm.name, port, cluster.store.address)
            await link.start()
            address = f'127.0.0.1:{port}'
            vm.document['platform']['platform']['address'] = address
            vms.append(soak_vms.SoakVm(vm, folder, link))
            stack.push_async_callback(vms[-1].kill)
            await vms[-1].start()
        await cluster.wait_until(cluster.all_ready)
        # The upstreams that were read first are no longer new.
        await asyncio.sleep(SETTLED_S)
        yield cluster, vms


def configure(cluster, version, home, *added, accounts=()):
    """Write a configuration with routes that have one home region."""
    cluster.configure(
        version,
        documents.rule('/home/', home_regions=[home]),
        documents.rule('/order/', kind='non_idempotent', home_regions=[home]),
        documents.rule('/browse/'),
        *(documents.rule(prefix) for prefix in added),
        accounts=accounts,
    )


def home_arrivals(cluster, upstream):
    return sum(
        arrival.target.startswith(('/home/', '/order/'))
        for arrival in cluster.upstreams[upstream].arrivals
    )


async def send_to_paused(cluster, vm, path):
    """Return the replies of requests that a paused VM reads when it wakes."""
    waiting = [
        asyncio.create_task(cluster.send(path, deadline_ms=4000))
        for _ in range(WAITING_REQUESTS)
    ]
    await asyncio.sleep(0.3)
    vm.send_signal(signal.SIGCONT)
    return [reply.status for reply in await asyncio.gather(*waiting)]


def test_vm_that_was_paused_sends_nothing_to_earlier_home_regions(tmp_path):
    # Guards against requests that wait at a paused VM and run in a region
    # that was their home before the pause.
    async def scenario():
        async with running_processes(tmp_path, ('a1', 'a2')) as (
            cluster,
            (first, _),
        ):
            assert (await cluster.send('/home/x')).status == 200
            first.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.5)
            first.link.set_faults(CUT)
            configure(cluster, 2, 'b')
            await asyncio.sleep(PAUSE_S)
            first.link.set_faults(LATE)
            before = home_arrivals(cluster, 'ua')
            found = await send_to_paused(cluster, first, '/home/x')
            assert home_arrivals(cluster, 'ua') == before
            assert found == [200] * WAITING_REQUESTS

    run(scenario())


def test_paused_vm_without_the_store_asks_other_vms_for_home_regions(
    tmp_path,
):
    # Guards against a VM that is cut from the store in its pause and sends
    # requests to earlier home regions, although another VM knows the new ones.
    async def scenario():
        async with running_processes(tmp_path, ('a1', 'a2')) as (
            cluster,
            (first, _),
        ):
            first.send_signal(signal.SIGSTOP)
            first.link.set_faults(CUT)
            await asyncio.sleep(0.5)
            configure(cluster, 2, 'b')
            await asyncio.sleep(PAUSE_S)
            before = home_arrivals(cluster, 'ua')
            found = await send_to_paused(cluster, first, '/home/x')
            assert home_arrivals(cluster, 'ua') == before
            assert found == [200] * WAITING_REQUESTS

    run(scenario())


def test_vm_that_was_paused_denies_no_route_that_was_added(tmp_path):
    # Guards against 404 for requests that wait at a paused VM, to routes that
    # were added during the pause.
    async def scenario():
        async with running_processes(tmp_path, ('a1', 'a2')) as (
            cluster,
            (first, _),
        ):
            first.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.5)
            first.link.set_faults(CUT)
            configure(cluster, 2, 'a', '/added/')
            await asyncio.sleep(PAUSE_S)
            first.link.set_faults(LATE)
            found = await send_to_paused(cluster, first, '/added/x')
            assert found == [200] * WAITING_REQUESTS

    run(scenario())


def test_vm_that_was_paused_serves_without_store_and_other_vms(tmp_path):
    # Guards against an outage of the store that stops a VM for good after a
    # pause, and against requests without home regions that it refuses.
    async def scenario():
        async with running_processes(tmp_path, ('a1',)) as (
            cluster,
            (first,),
        ):
            first.send_signal(signal.SIGSTOP)
            first.link.set_faults(CUT)
            await asyncio.sleep(PAUSE_S)
            found = await send_to_paused(cluster, first, '/browse/x')
            assert found == [200] * WAITING_REQUESTS
            await asyncio.sleep(CONTACT_S)
            assert (await cluster.send('/home/x')).status == 200

    run(scenario())


def test_vm_that_was_paused_names_no_vms_before_it_hears_them(tmp_path):
    # Guards against look-ups that name a VM of a region that is neither the
    # caller's nor a home, because a pause made all other VMs look silent.
    async def scenario():
        async with running_processes(tmp_path, ('a1', 'b1')) as (
            cluster,
            (first, _),
        ):
            first.send_signal(signal.SIGSTOP)
            await asyncio.sleep(PAUSE_S + 1)
            lookups = [
                asyncio.create_task(cluster.look_up(cluster.vms[0], 'b'))
                for _ in range(10)
            ]
            await asyncio.sleep(0.2)
            first.send_signal(signal.SIGCONT)
            found = await asyncio.gather(*lookups)
            assert cluster.vms[0].listen['front'] not in sum(found, [])

    run(scenario())


def test_vm_without_a_configuration_answers_no_look_up():
    # Guards against look-ups that name VMs outside the home regions, which a
    # VM without a configuration does not know.
    async def scenario():
        async with clusters.EdgeCluster(('a1',), BOUNDS) as cluster:
            vm = cluster.vms[0]
            vm.start()
            await cluster.wait_until(lambda: is_listening(cluster, vm))
            vm.process.state.fleet.phase = fleet.Phase.READY
            await asyncio.sleep(CONTACT_S + 0.5)
            assert await cluster.look_up(vm, 'b') == []
            cluster.configure()
            await cluster.wait_until(lambda: is_named(cluster, vm))

    run(scenario())


async def is_listening(cluster, vm):
    return await cluster.readiness_status(vm) > 0


async def is_named(cluster, vm):
    return await cluster.look_up(vm, 'b') == [vm.listen['front']]


async def first_decisions(cluster, paths):
    """Return the statuses of a VM that starts, without refusals."""
    found = []
    async with asyncio.timeout(8):
        while len(found) < WAITING_REQUESTS:
            for path in paths:
                reply = await cluster.send(path)
                if reply.status not in (0, 503):
                    found.append(reply.status)
            await asyncio.sleep(0.005)
    return found


def test_vm_that_restarts_does_not_decide_by_an_outdated_peer(tmp_path):
    # Guards against 404, and against runs in earlier home regions, by a
    # configuration of another VM that is cut from the store, while the store
    # answers late.
    async def scenario():
        async with running_processes(tmp_path, ('a1', 'a2')) as (
            cluster,
            (first, second),
        ):
            second.link.set_faults(CUT)
            await first.kill()
            configure(cluster, 2, 'b', '/added/')
            before = home_arrivals(cluster, 'ua')
            first.link.set_faults(fault_proxy.LinkFaults(delay_ms=200))
            await first.start()
            found = await first_decisions(cluster, ('/added/x', '/home/x'))
            assert set(found) == {200}
            assert home_arrivals(cluster, 'ua') == before

    run(scenario())


def test_vm_that_restarts_without_the_store_asks_other_vms(tmp_path):
    # Guards against a VM that starts in an outage of the store and refuses
    # requests with home regions although another VM serves them.
    async def scenario():
        async with running_processes(tmp_path, ('a1', 'a2')) as (
            cluster,
            (first, _),
        ):
            await first.kill()
            first.link.set_faults(CUT)
            await first.start()
            await cluster.wait_until(lambda: is_ready(cluster))
            replies = [await cluster.send('/home/x') for _ in range(20)]
            assert [r.status for r in replies] == [200] * 20
            assert (await cluster.send('/never/x')).status == 404
            log = (tmp_path / 'vm-0.log').read_text().splitlines()
            confirmed = [line for line in log if '"event": 5010' in line]
            assert '"source": "peers"' in confirmed[-1]

    run(scenario())


async def is_ready(cluster):
    return await cluster.readiness_status(cluster.vms[0]) == 200


def test_vm_without_any_contact_denies_no_unknown_route(tmp_path):
    # Guards against 404 for a route that was added while a VM had contact
    # neither with the store nor with another VM.
    async def scenario():
        async with running_processes(tmp_path, ('a1', 'a2')) as (
            cluster,
            (first, second),
        ):
            first.link.set_faults(CUT)
            await second.kill()
            configure(cluster, 2, 'a', '/added/')
            await asyncio.sleep(CONTACT_S + 0.5)
            replies = [await cluster.send('/added/x') for _ in range(5)]
            assert [r.status for r in replies] == [503] * 5
            assert all('Retry-After' in r.headers for r in replies)
            assert (await cluster.send('/home/x')).status == 200
            first.link.set_faults(OPEN)
            await cluster.wait_until(lambda: is_served(cluster, '/added/x'))
            assert (await cluster.send('/never/x')).status == 404

    run(scenario())


def test_vm_without_any_contact_denies_no_long_head(tmp_path):
    # Guards against 431 by limits that were raised while a VM had contact
    # neither with the store nor with another VM.
    async def scenario():
        long_header = {'X-Long': 'a' * 40_000}
        async with running_processes(tmp_path, ('a1',)) as (cluster, vms):
            known = await cluster.send('/home/x', **long_header)
            vms[0].link.set_faults(CUT)
            await asyncio.sleep(CONTACT_S + 0.5)
            outdated = await cluster.send('/home/x', **long_header)
            assert (known.status, outdated.status) == (431, 503)
            assert 'Retry-After' in outdated.headers

    run(scenario())


def test_vm_without_any_contact_denies_no_unknown_key(tmp_path):
    # Guards against 401 for a key that was added while a VM had contact
    # neither with the store nor with another VM.
    async def scenario():
        async with running_processes(tmp_path, ('a1',)) as (
            cluster,
            (first,),
        ):
            old = (documents.account('acme', 'old'),)
            configure(cluster, 2, 'a', accounts=old)
            await cluster.wait_until(lambda: is_refused(cluster, 'new', 401))
            first.link.set_faults(CUT)
            both = (documents.account('acme', 'old', 'new'),)
            configure(cluster, 3, 'a', accounts=both)
            await asyncio.sleep(CONTACT_S + 0.5)
            assert await key_status(cluster, 'new') == 503
            assert await key_status(cluster, 'old') == 200

    run(scenario())


async def key_status(cluster, key):
    return (await cluster.send('/browse/x', **{'Api-Key': key})).status


async def is_refused(cluster, key, status):
    return await key_status(cluster, key) == status


def test_vms_deny_unknown_routes_while_the_store_is_down(tmp_path):
    # Guards against an outage of the store that makes all VMs refuse.
    async def scenario():
        async with running_processes(tmp_path, ('a1', 'a2')) as (
            cluster,
            vms,
        ):
            for vm in vms:
                vm.link.set_faults(CUT)
            await asyncio.sleep(2 * CONTACT_S)
            for number in (0, 1):
                for path, status in (
                    ('/home/x', 200),
                    ('/browse/x', 200),
                    ('/never/x', 404),
                ):
                    reply = await cluster.send(path, number)
                    assert reply.status == status

    run(scenario())


async def is_served(cluster, path):
    return (await cluster.send(path)).status == 200


async def slow_upload(cluster, path, seconds):
    """Return the status of a request whose body takes some time."""

    async def parts():
        yield b'first'
        await asyncio.sleep(seconds)
        yield b'last'

    url = f'http://{cluster.vms[0].listen["front"]}{path}'
    headers = {
        'Host': documents.HOST,
        'X-Request-Id': 'slow',
        'X-Request-Deadline-Ms': '5000',
    }
    async with cluster.session.post(
        url, data=parts(), headers=headers
    ) as response:
        return response.status


def test_body_that_arrives_after_homes_moved_stays_in_the_new_ones(tmp_path):
    # Guards against a request that was accepted before its home regions
    # changed and is sent to an earlier one afterwards.
    async def scenario():
        async with running_processes(tmp_path, ('a1',)) as (cluster, _):
            before = home_arrivals(cluster, 'ua')
            sending = asyncio.create_task(
                slow_upload(cluster, '/order/x', 1.5)
            )
            await asyncio.sleep(0.3)
            configure(cluster, 2, 'b')
            assert await sending == 200
            assert home_arrivals(cluster, 'ua') == before
            assert home_arrivals(cluster, 'ub') == 1

    run(scenario())


def test_retry_after_homes_moved_stays_in_the_new_ones(tmp_path):
    # Guards against a retry or hedge in a region that was a home when the
    # request arrived.
    async def scenario():
        async with running_processes(tmp_path, ('a1',)) as (cluster, _):
            cluster.configure(2, retried_rule('a'))
            for name in ('ua2', 'ua3'):
                await cluster.add_upstream(name)
            for name in ('ua', 'ua2', 'ua3'):
                cluster.upstreams[name].fault = Fault.LOSE_ANSWER
                cluster.upstreams[name].work_s = 1.0
            # The VM reads the rows of upstreams several times in this time.
            await asyncio.sleep(CONTACT_S)
            sending = asyncio.create_task(
                cluster.send('/retried/x', deadline_ms=5000)
            )
            await asyncio.sleep(0.3)
            cluster.configure(3, retried_rule('b'))
            await asyncio.sleep(0.3)
            before = all_arrivals(cluster, 'ua', 'ua2', 'ua3')
            assert before
            reply = await sending
            assert all_arrivals(cluster, 'ua', 'ua2', 'ua3') == before
            assert all_arrivals(cluster, 'ub') == 1
            assert reply.status == 200

    run(scenario())


def retried_rule(home):
    return documents.rule(
        '/retried/', home_regions=[home], max_attempts=3, timeout='5s'
    )


def all_arrivals(cluster, *upstreams):
    return sum(len(cluster.upstreams[u].arrivals) for u in upstreams)


def test_request_whose_route_is_dropped_ends_in_its_home_region(tmp_path):
    # Guards against a request that fails because its route was dropped after
    # it was accepted.
    async def scenario():
        async with running_processes(tmp_path, ('a1',)) as (cluster, _):
            before = home_arrivals(cluster, 'ua')
            sending = asyncio.create_task(
                slow_upload(cluster, '/order/x', 1.5)
            )
            await asyncio.sleep(0.3)
            cluster.configure(2, documents.rule('/browse/'))
            assert await sending == 200
            assert home_arrivals(cluster, 'ua') == before + 1
            assert not home_arrivals(cluster, 'ub')

    run(scenario())
