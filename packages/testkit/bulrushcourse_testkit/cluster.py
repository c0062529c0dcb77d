"""Test clusters: entries and stand-ins as processes on loopback addresses."""

import asyncio
import contextlib
import json
import pathlib
import signal
import sys
import typing

import aiohttp
import attrs

from bulrushcourse_domain.configuration import objects
from bulrushcourse_testkit import cluster_control
from bulrushcourse_testkit import managed
from bulrushcourse_testkit import ports as test_ports
from bulrushcourse_testkit import specs
from bulrushcourse_wire import documents

EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'
TOKEN = 'operator-token-for-tests'
SECRET = 'peer-secret-for-tests'
START_TIMEOUT_S = 60.0
READY_POLL_S = 0.05
DEFAULT_MEAN_MS = {'short': 20.0, 'long': 200.0}
HOST = cluster_control.HOST


class ClusterError(Exception):
    """A process of the cluster did not become ready."""


def example_objects(deployment: str) -> objects.Objects:
    """Return the objects of an example deployment.

    Args:
        deployment: ``filatab`` or ``thies``.
    """
    text = (EXAMPLES / deployment / 'configuration.json').read_text()
    return documents.parse_document(text, objects.Objects).unwrap()


@attrs.define(eq=False)
class Cluster(cluster_control.StandInControl):
    """A running deployment of entries and stand-ins.

    Attributes:
        directory: Directory for settings, secrets and logs.
        objects: Objects to publish; starting gives the instances loopback
            addresses.
        entry_names: Entries to start.
        seed: Seed of the service times of the upstream stand-in.
        settings: Settings of entries that override the generated ones.
        mean_ms: Mean service time by request class, in ms.
        processes: Started processes by name.
        entry_ports: Ports of each entry's listeners.
        vms: VMs in the platform's list, by name of their entry or instance.
        started_vms: Number of VMs started so far.
        reservation: Ports that the cluster has reserved.
        store_ports: Ports of the links to the store, by entry.
        peer_ports: Ports of the links to the peers' listeners, by entry.
    """

    directory: pathlib.Path
    objects: objects.Objects
    entry_names: list[str]
    seed: int = 1
    settings: dict[str, typing.Any] = attrs.field(factory=dict)
    mean_ms: dict[str, float] = attrs.field(factory=DEFAULT_MEAN_MS.copy)
    processes: dict[str, managed.ManagedProcess] = attrs.field(factory=dict)
    entry_ports: dict[str, managed.EntryPorts] = attrs.field(factory=dict)
    vms: dict[str, dict[str, typing.Any]] = attrs.field(factory=dict)
    started_vms: int = 0
    reservation: test_ports.Reservation | None = None
    store_ports: dict[str, int] = attrs.field(factory=dict)
    peer_ports: dict[str, int] = attrs.field(factory=dict)

    async def __aenter__(self) -> 'Cluster':
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=30)
        )
        try:
            await self._start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *details: typing.Any) -> None:
        await self.stop()

    async def _start(self) -> None:
        (self.directory / 'token').write_text(TOKEN)
        (self.directory / 'secret').write_text(SECRET)
        self._assign_addresses()
        await asyncio.gather(
            self._start_platform(),
            self._start_upstreams(),
            self._start_proxy(),
        )
        await self.update_vm_list()
        await asyncio.gather(*map(self.start_entry, self.entry_names))
        await self.publish(self.objects)
        await asyncio.gather(*map(self.wait_ready, self.entry_names))

    def _assign_addresses(self) -> None:
        count = sum(len(pool.instances) for pool in self.objects.pools)
        self.reservation = test_ports.reserve_ports(
            count + 4 + 5 * len(self.entry_names)
        )
        ports = list(self.reservation.ports)
        next_port = ports.pop
        self.platform_port, self.upstreams_port = next_port(), next_port()
        self.proxy_port = next_port()
        self.objects = attrs.evolve(
            self.objects,
            pools=tuple(
                attrs.evolve(
                    pool,
                    instances=tuple(
                        attrs.evolve(i, address=f'{HOST}:{next_port()}')
                        for i in pool.instances
                    ),
                )
                for pool in self.objects.pools
            ),
        )
        self.store_ports = {name: next_port() for name in self.entry_names}
        self.peer_ports = {name: next_port() for name in self.entry_names}
        for name in self.entry_names:
            self.entry_ports[name] = managed.EntryPorts(
                next_port(), next_port(), next_port()
            )

    async def _start_platform(self) -> None:
        module = 'bulrushcourse_testkit.standins.platform'
        await self.spawn('platform', '-m', module, str(self.platform_port))
        await self._wait_port(self.platform_port)

    async def _start_upstreams(self) -> None:
        spec = specs.upstreams_spec(
            self.objects, self.upstreams_port, self.seed, self.mean_ms
        )
        await self._spawn_with_spec('upstreams', spec)
        await self._wait_port(self.upstreams_port)

    async def _start_proxy(self) -> None:
        targets = {
            f'store-{name}': (port, f'{HOST}:{self.platform_port}')
            for name, port in self.store_ports.items()
        } | {
            f'peers-{name}': (port, f'{HOST}:{self.entry_ports[name].peers}')
            for name, port in self.peer_ports.items()
        }
        spec = specs.proxy_spec(self.proxy_port, targets)
        await self._spawn_with_spec('fault_proxy', spec)
        await self._wait_port(self.proxy_port)

    async def _spawn_with_spec(
        self, module: str, spec: dict[str, typing.Any]
    ) -> None:
        path = self.directory / f'{module}.json'
        path.write_text(json.dumps(spec))
        name = f'bulrushcourse_testkit.standins.{module}'
        await self.spawn(module, '-m', name, str(path))

    async def spawn(
        self, name: str, *arguments: str
    ) -> managed.ManagedProcess:
        """Start a Python process and register it under a name.

        Args:
            name: Name of the process and of its log file.
            *arguments: Arguments of the interpreter.
        """
        log = self.directory / f'{name}.log'
        with log.open('ab') as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable, *arguments, stdout=output, stderr=output
            )
        self.processes[name] = managed.ManagedProcess(name, process, log)
        return self.processes[name]

    async def start_entry(self, name: str) -> None:
        """Start an entry on a new VM, replacing the VM that had its name.

        Args:
            name: Name of the entry.
        """
        self.started_vms += 1
        vm_id = f'vm-{self.started_vms:04}'
        settings = self.entry_settings(name, vm_id)
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(settings))
        self.vms[name] = {
            'vm_id': vm_id,
            'entry': name,
            'peer_address': f'{HOST}:{self.peer_ports[name]}',
            'failure_domain': settings['failure_domain'],
            'state': 'live',
        }
        await self.update_vm_list()
        await self.spawn(
            name,
            '-m',
            'bulrushcourse_entry',
            'run',
            '--settings',
            str(path),
        )

    def entry_settings(self, name: str, vm_id: str) -> dict[str, typing.Any]:
        """Return the settings of an entry as a JSON value.

        Args:
            name: Name of the entry.
            vm_id: Identifier of the entry's VM.
        """
        generated = specs.entry_settings(
            self.objects,
            name,
            self.entry_ports[name],
            f'http://{HOST}:{self.store_ports[name]}',
            f'http://{HOST}:{self.platform_port}/vms',
            self.directory,
        )
        return generated | {'vm_id': vm_id} | self.settings

    async def update_vm_list(self, without: tuple[str, ...] = ()) -> None:
        """Send the list of VMs to the platform stand-in.

        Args:
            without: Entries whose VMs are removed from the list first.
        """
        for name in without:
            self.vms.pop(name, None)
        await self.control(self.platform_port, 'vms', list(self.vms.values()))

    async def publish(self, published: objects.Objects) -> None:
        """Write a configuration to the store as version 1.

        Args:
            published: Objects to publish.
        """
        document = documents.render_document(published)
        writes = [
            {
                'key': f'configuration/{row}',
                'value': {'version': 1, 'document': document},
                'expected': 0,
            }
            for row in ('current', 'history/1')
        ]
        url = f'http://{HOST}:{self.platform_port}/table/transact'
        async with self.session.post(url, json=writes) as response:
            response.raise_for_status()

    async def call_operators(
        self, name: str, path: str, method: str = 'GET', **options: typing.Any
    ) -> typing.Any:
        """Send a request to an entry's operators' listener.

        Returns the decoded JSON body.

        Args:
            name: Name of the entry.
            path: Path of the request, such as ``/v1/state``.
            method: HTTP method.
            **options: Further arguments for the HTTP client.
        """
        url = f'http://{HOST}:{self.entry_ports[name].operators}{path}'
        async with self.session.request(
            method,
            url,
            headers={'Authorization': f'Bearer {TOKEN}'},
            **options,
        ) as response:
            return await response.json()

    async def wait_ready(self, name: str) -> None:
        """Wait until an entry serves callers.

        Args:
            name: Name of the entry.

        Raises:
            ClusterError: If it is not ready within ``START_TIMEOUT_S``.
        """
        process = self.processes[name]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_TIMEOUT_S):
                while process.process.returncode is None:
                    with contextlib.suppress(aiohttp.ClientError):
                        response = await self.call_operators(name, '/v1/ready')
                        if response['ready']:
                            return
                    await asyncio.sleep(READY_POLL_S)
        raise ClusterError(f'{name} is not ready: {process.log.read_text()}')

    async def stop(self) -> None:
        """Kill all processes of the cluster and free its ports."""
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()
        if self.session:
            await self.session.close()
        if self.reservation:
            self.reservation.close()

    async def _wait_port(self, port: int) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection(HOST, port)
                    writer.close()
                    return
                await asyncio.sleep(READY_POLL_S)
