"""Run edge processes and stand-ins in one event loop, over loopback."""

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
POLL_INTERVAL_S = 0.02


@attrs.define(eq=False)
class Vm:
    """A VM of the cluster and its edge process.

    Attributes:
        name: Name of the VM.
        document: Settings in the platform's format.
        process: The edge process, ``None`` before the first start.
        task: Task that runs the process.
    """

    name: str
    document: dict[str, typing.Any]
    process: edge_process.EdgeProcess | None = None
    task: asyncio.Task[None] | None = None

    @property
    def listen(self) -> dict[str, str]:
        """Listening addresses by name."""
        return self.document['network']['listen']

    def start(self, clock: clocks.Clock | None = None) -> None:
        """Start the process.

        Args:
            clock: Clock of the process; by default the system clock.
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
        """Cancel the process without a graceful stop."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


@attrs.define(eq=False)
class EdgeCluster:
    """A store, upstreams and VMs with one edge process each.

    Attributes:
        failure_domains: Failure domain of each VM.
        bounds: Bounds in the settings that override the defaults.
        store: Stand-in of the store.
        upstreams: Upstreams by name.
        vms: VMs, in the order of ``failure_domains``.
        session: HTTP session of the callers.
        request_numbers: Source of unique request identifiers.
        reservation: Reserved ports, four for each VM.
        addresses: Reserved ports of addresses, held until the end.
        store_runner: Server of the store.
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
    request_numbers: typing.Iterator[int] = attrs.field(
        factory=itertools.count
    )
    reservation: ports.Reservation | None = None
    addresses: list[ports.Reservation] = attrs.field(factory=list)
    store_runner: typing.Any = None

    async def __aenter__(self) -> 'EdgeCluster':
        self.session = aiohttp.ClientSession()
        self.store_runner = await self.store.start()
        self.reservation = ports.reserve_ports(4 * len(self.failure_domains))
        for number, domain in enumerate(self.failure_domains):
            self.vms.append(self._make_vm(number, domain))
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
        for reserved in (self.reservation, *self.addresses):
            reserved.close()

    def reserve_address(self) -> str:
        """Return an address that only this cluster uses until its end.

        An upstream may give it up and another one take it later.
        """
        self.addresses.append(ports.reserve_ports(1))
        return f'127.0.0.1:{self.addresses[-1].ports[0]}'

    def _make_vm(self, number: int, domain: str) -> Vm:
        listen = ('front', 'ready_addr', 'control', 'directory')
        first = 4 * number
        vm_ports = self.reservation.ports[first : first + 4]
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
                    for key, port in zip(listen, vm_ports, strict=True)
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
        """Start an upstream and write its row to the store.

        Args:
            name: Identifier of the upstream.
            **fields: Attributes that override the defaults.
        """
        upstream = upstream_standin.UpstreamStandIn(name, **fields)
        await upstream.start()
        self.upstreams[name] = upstream
        self.write_upstream(upstream)
        return upstream

    def write_upstream(
        self, upstream: upstream_standin.UpstreamStandIn
    ) -> None:
        """Write an upstream's row to the store.

        Args:
            upstream: The upstream.
        """
        self.store.put('servers', upstream.name, upstream.row)

    def configure(
        self,
        version: int = 1,
        *rules: dict[str, typing.Any],
        accounts: tuple[dict[str, typing.Any], ...] = (),
    ) -> None:
        """Write a configuration to the store.

        Args:
            version: Version of the configuration.
            *rules: Routes; by default one for idempotent requests and one for
                others.
            accounts: Client accounts, as ``documents.account`` returns them.
        """
        document = documents.configuration(
            version, *(rules or documents.DEFAULT_RULES)
        )
        if accounts:
            document['tenants'] = list(accounts)
        self.store.put('op', 'config', document)

    async def start(self) -> None:
        """Start all VMs and wait until they are ready and list each other."""
        for vm in self.vms:
            vm.start()
        await self.wait_until(self.all_ready)

    async def all_ready(self) -> bool:
        """Return whether every VM is ready and lists all VMs in lookups."""
        for vm in self.vms:
            if await self.readiness_status(vm) != 200:
                return False
            addresses: set[str] = set()
            for region in set(REGIONS.values()):
                addresses.update(await self.look_up(vm, region))
            if addresses != {other.listen['front'] for other in self.vms}:
                return False
        return True

    async def wait_until(
        self,
        condition: typing.Callable[[], typing.Awaitable[bool]],
        timeout_s: float = START_TIMEOUT_S,
    ) -> None:
        """Poll a condition until it holds.

        Args:
            condition: Returns whether the condition holds.
            timeout_s: Maximum time to wait in seconds.

        Raises:
            TimeoutError: If the condition does not hold in time.
        """
        async with asyncio.timeout(timeout_s):
            while not await condition():  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)

    async def readiness_status(self, vm: Vm) -> int:
        """Return the status of a readiness check, 0 without a response.

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
        """Return the addresses that a VM returns for a lookup.

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
        """Send a request and return the complete reply.

        Args:
            path: Path; a POST if it starts with ``/order``.
            vm: Index of the VM.
            body: Body; a POST if it is not empty.
            deadline_ms: Deadline of the request in milliseconds.
            **headers: Additional headers.
        """
        request_id = f'r{next(self.request_numbers)}'
        request_headers = {
            'Host': documents.HOST,
            'X-Request-Id': request_id,
            'X-Request-Deadline-Ms': str(deadline_ms),
            **headers,
        }
        method = 'POST' if body or path.startswith('/order') else 'GET'
        url = f'http://{self.vms[vm].listen["front"]}{path}'
        try:
            async with self.session.request(
                method, url, data=body or None, headers=request_headers
            ) as response:
                content = await response.read()
                return Reply(
                    request_id, response.status, content, response.headers
                )
        except aiohttp.ClientError as error:
            return Reply(request_id, 0, repr(error).encode(), {})

    def run_count(self, request_id: str) -> int:
        """Return how often a request ran, over all upstreams.

        Args:
            request_id: Identifier of the request.
        """
        return sum(
            arrival.request_id == request_id
            for upstream in self.upstreams.values()
            for arrival in upstream.ran
        )


@attrs.frozen
class Reply:
    """Result of a request as its caller sees it.

    Attributes:
        request_id: Identifier of the request.
        status: HTTP status, 0 if the connection failed.
        body: Complete body, the error message if the connection failed.
        headers: Response headers.
    """

    request_id: str
    status: int
    body: bytes
    headers: typing.Mapping[str, str]

    @property
    def is_own_answer(self) -> bool:
        """Whether it is an upstream's complete response to this request."""
        return self.status == 200 and self.body.endswith(
            f':{self.request_id}'.encode()
        )
