"""Edge processes in one event loop, between stand-ins on loopback."""

import asyncio
import itertools
import random
import types
import typing

import aiohttp
import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_entry.edge import process as edge_process
from bulrushcourse_entry.platform import settings_file
from bulrushcourse_testkit import ports
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import store as store_standin
from bulrushcourse_testkit.platform import upstream as upstream_standin

REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b'}
START_TIMEOUT_S = 10.0
POLL_S = 0.02


@attrs.define(eq=False)
class Vm:
    """An edge process of the cluster.

    Attributes:
        name: Name of the VM.
        document: Its settings in the platform's form.
        process: The process.
        task: Its task.
    """

    name: str
    document: dict[str, typing.Any]
    process: edge_process.EdgeProcess | None = None
    task: asyncio.Task[None] | None = None

    @property
    def listen(self) -> dict[str, str]:
        """Its addresses by name."""
        return self.document['network']['listen']

    def start(self, clock: clocks.Clock | None = None) -> None:
        """Start the process.

        Args:
            clock: Its clock; the machine's if there is none.
        """
        settings = settings_file.decode(self.document).unwrap()
        self.process = edge_process.EdgeProcess(
            settings,
            '',
            rng=random.Random(7),
            clock=clock or clocks.SystemClock(),
        )
        self.task = asyncio.create_task(self.process.run())

    async def kill(self) -> None:
        """End the process without a graceful stop."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


@attrs.define(eq=False)
class EdgeCluster:
    """Store, upstreams and edge processes.

    Attributes:
        failure_domains: Failure domain of each VM.
        bounds: Bounds that differ from the usual ones.
        store: The store.
        upstreams: The upstreams by name.
        vms: The VMs.
        session: Session of the callers.
        numbers: Numbers of the requests.
    """

    failure_domains: tuple[str, ...] = ('a1',)
    bounds: dict[str, typing.Any] = attrs.field(factory=dict)
    store: store_standin.StoreStandIn = attrs.field(
        factory=store_standin.StoreStandIn
    )
    upstreams: dict[str, upstream_standin.UpstreamStandIn] = attrs.field(
        factory=dict
    )
    vms: list[Vm] = attrs.field(factory=list)
    session: aiohttp.ClientSession | None = None
    numbers: typing.Iterator[int] = attrs.field(factory=itertools.count)
    reservation: ports.Reservation | None = None
    store_runner: typing.Any = None

    async def __aenter__(self) -> 'EdgeCluster':
        self.session = aiohttp.ClientSession()
        self.store_runner = await self.store.start()
        self.reservation = ports.reserve_ports(4 * len(self.failure_domains))
        for number, domain in enumerate(self.failure_domains):
            self.vms.append(self._vm(number, domain))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await asyncio.gather(*(vm.kill() for vm in self.vms if vm.task))
        await self.session.close()
        for upstream in self.upstreams.values():
            upstream.server.close()
        self.store.silent = False
        await self.store_runner.cleanup()
        self.reservation.close()

    def _vm(self, number: int, domain: str) -> Vm:
        listen = ('front', 'ready_addr', 'control', 'directory')
        first = 4 * number
        chosen = self.reservation.ports[first : first + 4]
        name = f'vm-{number}'
        document = {
            'self': {
                'node_name': name,
                'zone': domain,
                'region': REGIONS[domain],
            },
            'network': {
                'listen': {
                    key: f'127.0.0.1:{port}'
                    for key, port in zip(listen, chosen, strict=True)
                },
                'seeds': [f'127.0.0.1:{self.reservation.ports[2]}'],
                'zones': REGIONS,
            },
            'platform': {'platform': {'address': self.store.address}},
            'terms': {'bounds': {'grace': '3s', **self.bounds}},
        }
        return Vm(name, document)

    async def add_upstream(
        self, name: str, **fields: typing.Any
    ) -> upstream_standin.UpstreamStandIn:
        """Start an upstream and write its entry.

        Args:
            name: Identifier of the upstream.
            **fields: Attributes that differ from the usual ones.
        """
        upstream = upstream_standin.UpstreamStandIn(name, **fields)
        await upstream.start()
        self.upstreams[name] = upstream
        self.publish(upstream)
        return upstream

    def publish(self, upstream: upstream_standin.UpstreamStandIn) -> None:
        """Write an upstream's entry to the store.

        Args:
            upstream: The upstream.
        """
        self.store.put('servers', upstream.name, upstream.row)

    def configure(
        self, version: int = 1, *rules: dict[str, typing.Any]
    ) -> None:
        """Write a configuration to the store.

        Args:
            version: Its version.
            *rules: Its routes, by default one of each kind.
        """
        document = documents.configuration(
            version, *(rules or documents.DEFAULT_RULES)
        )
        self.store.put('op', 'config', document)

    async def start(self) -> None:
        """Start all VMs and wait until they are ready and know each other."""
        for vm in self.vms:
            vm.start()
        await self.until(self.all_ready)

    async def all_ready(self) -> bool:
        """Return whether every VM is ready and named by each of them."""
        for vm in self.vms:
            if await self.ready(vm) != 200:
                return False
            named: set[str] = set()
            for region in set(REGIONS.values()):
                named.update(await self.look_up(vm, region))
            if named != {other.listen['front'] for other in self.vms}:
                return False
        return True

    async def until(
        self,
        condition: typing.Callable[[], typing.Awaitable[bool]],
        timeout_s: float = START_TIMEOUT_S,
    ) -> None:
        """Wait for a condition.

        Args:
            condition: Returns whether it holds.
            timeout_s: Longest time to wait.
        """
        async with asyncio.timeout(timeout_s):
            while not await condition():  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)

    async def ready(self, vm: Vm) -> int:
        """Return the status of a readiness check, 0 without an answer.

        Args:
            vm: The VM.
        """
        try:
            url = f'http://{vm.listen["ready_addr"]}/ready'
            async with self.session.get(url) as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    async def look_up(self, vm: Vm, region: str) -> list[str]:
        """Return the addresses that a VM names.

        Args:
            vm: The VM.
            region: Region of the caller.
        """
        url = f'http://{vm.listen["directory"]}/resolve'
        query = {'name': documents.HOST, 'region': region, 'zone': 'z'}
        async with self.session.get(url, params=query) as response:
            if response.status != 200:
                return []
            return (await response.json())['addresses']

    async def send(
        self,
        path: str,
        vm: int = 0,
        body: bytes = b'',
        deadline_ms: int = 2000,
        **headers: str,
    ) -> 'Reply':
        """Send a request and return the whole reply.

        Args:
            path: Its path.
            vm: Number of the VM.
            body: Its body; a POST if there is one.
            deadline_ms: Time that the caller waits.
            **headers: Further headers.
        """
        request_id = f'r{next(self.numbers)}'
        sent = {
            'Host': documents.HOST,
            'X-Request-Id': request_id,
            'X-Request-Deadline-Ms': str(deadline_ms),
            **headers,
        }
        method = 'POST' if body or path.startswith('/order') else 'GET'
        url = f'http://{self.vms[vm].listen["front"]}{path}'
        try:
            async with self.session.request(
                method, url, data=body or None, headers=sent
            ) as response:
                content = await response.read()
                return Reply(
                    request_id, response.status, content, response.headers
                )
        except aiohttp.ClientError as error:
            return Reply(request_id, 0, repr(error).encode(), {})

    def runs(self, request_id: str) -> int:
        """Return how often a request ran, over all upstreams.

        Args:
            request_id: Its identifier.
        """
        return sum(
            arrival.request_id == request_id
            for upstream in self.upstreams.values()
            for arrival in upstream.ran
        )


@attrs.frozen
class Reply:
    """What a caller got.

    Attributes:
        request_id: Identifier of its request.
        status: Status, 0 if the connection broke.
        body: Whole body.
        headers: Headers.
    """

    request_id: str
    status: int
    body: bytes
    headers: typing.Mapping[str, str]

    @property
    def is_own_answer(self) -> bool:
        """Whether it is an upstream's whole answer to this request."""
        return self.status == 200 and self.body.endswith(
            f':{self.request_id}'.encode()
        )
