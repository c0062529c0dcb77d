"""Stand-in of many upstream instances in one process.

Run it with ``python -m bulrushcourse_testkit.standins.upstreams SPEC`` where
SPEC is a JSON file::

    {
        'control_port': 9000,
        'seed': 1,
        'instances': [
            {'name': 'catalog-1', 'port': 9001, 'slots': 5, 'mean_ms': 20.0}
        ],
    }

``PUT /control/{instance}`` with a JSON object of ``Behaviour`` fields sets the
faults of an instance. ``GET /control/journal`` returns every run with the key
of its request, and ``GET /control/peaks`` the maximum number of concurrent
requests per instance.

The body of a response is the digest of the request's path and body, repeated
up to the size in the query parameter ``size``. From it a caller can check that
a response is complete and belongs to its request.
"""

import asyncio
import collections
import hashlib
import json
import math
import pathlib
import random
import sys
import time
import typing

import attrs
from aiohttp import web

NOT_RUN_HEADER = 'Upstream-Not-Run'
# Standard deviation of the logarithm of the service times.
LOG_SIGMA = 0.7
MAX_BODY_BYTES = 256 << 20
CHUNK_BYTES = 64 << 10


@attrs.define
class Behaviour:
    """Simulated faults and state of an instance.

    Attributes:
        slow_factor: Factor by which service times are multiplied.
        state: State that the health endpoint reports.
        shed: Whether requests are refused with the not-run header.
        reset: Whether the connection is reset after the request ran.
        reset_before: Whether it is reset before the request runs.
        truncate: Whether responses are cut off in the middle.
        hang: Whether requests never complete.
        reported_in_flight: Number of requests in flight to report, -1 for
            the actual number.
        reports_stopped: Whether load and health requests get no response.
        crash_path: Part of a path; a request whose path contains it crashes
            the instance. Empty for none.
    """

    slow_factor: float = 1.0
    state: str = 'serving'
    shed: bool = False
    reset: bool = False
    reset_before: bool = False
    truncate: bool = False
    hang: bool = False
    reported_in_flight: int = -1
    reports_stopped: bool = False
    crash_path: str = ''


@attrs.frozen
class Run:
    """One run of a request.

    Attributes:
        instance: Name of the instance.
        key: Idempotency key, empty if there was none.
        path: Path of the request.
        start: Monotonic time of the start in seconds.
        end: Monotonic time of the end in seconds.
    """

    instance: str
    key: str
    path: str
    start: float
    end: float


@attrs.define(eq=False)
class Instance:
    """One upstream instance.

    Attributes:
        name: Name of the instance.
        slots: Maximum number of requests that run concurrently; further
            requests wait.
        mean_ms: Mean service time in milliseconds.
        rng: Source of service times.
        journal: Runs of all instances.
        behaviour: Active faults.
        in_flight: Number of requests that run or wait.
        peak: Maximum of ``in_flight`` so far.
        waited: Number of requests that found no free slot.
        arrived: Number of requests that arrived and were not shed or reset.
        crashed: Whether the instance aborts health checks and all work.
        received: Bytes of request bodies by hundredth of a second of arrival.
        slot_semaphore: Free slots.
    """

    name: str
    slots: int
    mean_ms: float
    rng: random.Random
    journal: list[Run]
    behaviour: Behaviour = attrs.field(factory=Behaviour)
    in_flight: int = 0
    peak: int = 0
    waited: int = 0
    arrived: int = 0
    crashed: bool = False
    received: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )
    slot_semaphore: asyncio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.slot_semaphore = asyncio.Semaphore(self.slots)

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_get('/health', self.health)
        application.router.add_get('/load', self.load)
        application.router.add_route('*', '/{path:.*}', self.work)
        return application

    async def health(self, request: web.Request) -> web.Response:
        """Return whether the instance is serving or draining."""
        if self.crashed:
            request.transport.abort()
        if self.behaviour.reports_stopped:
            await asyncio.sleep(3600)
        return web.json_response({'state': self.behaviour.state, 'warm': 1.0})

    async def load(self, request: web.Request) -> web.Response:
        """Return the requests in flight, or the number set as a fault."""
        if self.behaviour.reports_stopped:
            await asyncio.sleep(3600)
        reported = self.behaviour.reported_in_flight
        in_flight = self.in_flight if reported < 0 else reported
        return web.json_response({'in_flight': in_flight, 'slots': self.slots})

    async def work(self, request: web.Request) -> web.StreamResponse:
        """Run a request for a random service time."""
        behaviour = self.behaviour
        if behaviour.crash_path and behaviour.crash_path in request.path:
            self.crashed = True
        if self.crashed or behaviour.reset_before:
            request.transport.abort()
            return web.Response()
        if behaviour.shed:
            return web.Response(status=503, headers={NOT_RUN_HEADER: '1'})
        self.arrived += 1
        self.waited += self.in_flight >= self.slots
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        deadline_ms = request.headers.get('Bulrushcourse-Deadline-Ms')
        limit_s = int(deadline_ms) / 1000 if deadline_ms else None
        try:
            async with asyncio.timeout(limit_s), self.slot_semaphore:
                return await self._run_request(request)
        except TimeoutError:
            return web.Response(status=504)
        finally:
            self.in_flight -= 1

    async def _run_request(self, request: web.Request) -> web.StreamResponse:
        start = time.monotonic()
        digest = hashlib.sha256(request.path_qs.encode())
        async for chunk in request.content.iter_chunked(CHUNK_BYTES):
            digest.update(chunk)
            self.received[int(time.monotonic() * 100)] += len(chunk)
        if self.behaviour.hang:
            await asyncio.sleep(3600)
        mean_ms = float(request.query.get('work_ms', self.mean_ms))
        mu = math.log(mean_ms / 1000) - LOG_SIGMA * LOG_SIGMA / 2
        service_s = self.rng.lognormvariate(mu, LOG_SIGMA)
        await asyncio.sleep(service_s * self.behaviour.slow_factor)
        key = request.headers.get('Idempotency-Key', '')
        self.journal.append(
            Run(self.name, key, request.path_qs, start, time.monotonic())
        )
        if self.behaviour.reset:
            request.transport.abort()
            return web.Response()
        return await self._respond(request, digest.hexdigest())

    async def _respond(
        self, request: web.Request, digest: str
    ) -> web.StreamResponse:
        size = int(request.query.get('size', str(len(digest))))
        body = (digest * (size // len(digest) + 1))[:size].encode()
        if not self.behaviour.truncate:
            return web.Response(body=body, headers={'Served-By': self.name})
        response = web.StreamResponse()
        response.content_length = len(body)
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        request.transport.abort()
        return response


@attrs.define
class UpstreamsStandIn:
    """All instances of the process and their control interface.

    Attributes:
        instances: Instances by name.
        journal: Runs of all instances.
    """

    instances: dict[str, Instance]
    journal: list[Run]

    def application(self) -> web.Application:
        """Return the HTTP application of the control interface."""
        application = web.Application()
        application.router.add_get('/control/journal', self.show_journal)
        application.router.add_get('/control/peaks', self.show_peaks)
        application.router.add_get('/control/received', self.show_received)
        application.router.add_put('/control/{name}', self.set_behaviour)
        return application

    async def show_journal(self, request: web.Request) -> web.Response:
        """Return all runs."""
        return web.json_response([attrs.asdict(run) for run in self.journal])

    async def show_peaks(self, request: web.Request) -> web.Response:
        """Return the concurrency and the waiting requests of each instance."""
        return web.json_response(
            {
                name: {
                    'slots': instance.slots,
                    'peak': instance.peak,
                    'arrived': instance.arrived,
                    'waited': instance.waited,
                    'crashed': instance.crashed,
                }
                for name, instance in self.instances.items()
            }
        )

    async def show_received(self, request: web.Request) -> web.Response:
        """Return received bytes by instance and hundredth of a second."""
        return web.json_response(
            {n: dict(i.received) for n, i in self.instances.items()}
        )

    async def set_behaviour(self, request: web.Request) -> web.Response:
        """Replace the faults of an instance, or of all if it is ``all``."""
        name = request.match_info['name']
        fields = await request.json()
        crashed = fields.pop('crashed', False)
        names = self.instances if name == 'all' else (name,)
        for instance in names:
            self.instances[instance].behaviour = Behaviour(**fields)
            self.instances[instance].crashed = crashed
        return web.Response(status=204)


async def serve(spec: dict[str, typing.Any]) -> None:
    """Serve all instances of a specification until cancelled.

    Args:
        spec: Content of the JSON file.
    """
    journal: list[Run] = []
    instances = {
        i['name']: Instance(
            i['name'],
            i['slots'],
            i['mean_ms'],
            random.Random(f'{spec["seed"]}/{i["name"]}'),
            journal,
        )
        for i in spec['instances']
    }
    ports = {i['port']: instances[i['name']] for i in spec['instances']}
    ports[spec['control_port']] = UpstreamsStandIn(instances, journal)
    for port, server in ports.items():
        runner = web.AppRunner(
            server.application(), access_log=None, handler_cancellation=True
        )
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', port, backlog=1024).start()
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(serve(json.loads(pathlib.Path(sys.argv[1]).read_text())))
