"""Run the soak with planned stops while callers use their connections."""

import asyncio
import contextlib
import functools

import aiohttp
import attrs

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import raw_http
from bulrushcourse_testkit.platform import soak_fleet_run
from bulrushcourse_testkit.platform import soak_history
from bulrushcourse_testkit.platform import soak_stop_callers
from bulrushcourse_testkit.platform import soak_stop_faults

CALLERS_PER_VM = 6
SLOTS = 20
# Longest time between two look-ups at a VM in seconds.
MAX_POLL_PAUSE_S = 0.5
# Times that upstreams need for a request, in seconds.
WORK_S = (0.01, 0.01, 0.03, 0.3)
LARGE_RESPONSE_BYTES = 400 << 10


@attrs.define(eq=False, repr=False)
class StopSoak(soak_fleet_run.FleetSoak):
    """A run in which slowed VMs stop as planned."""

    def __attrs_post_init__(self) -> None:
        """Create operator, fleet, callers and fault injector."""
        super().__attrs_post_init__()
        self.callers = soak_stop_callers.StopCallerGroup(
            self.rng, self.vms, self.operator
        )
        self.injector = soak_stop_faults.StopInjector(
            self.rng,
            self.cluster,
            self.vms,
            self.operator.publish,
            self.started,
            self.fault_set,
            self.history,
            fleet=self.fleet,
            operator=self.operator,
            callers=self.callers,
        )

    @classmethod
    def callers_per_vm(cls) -> int:
        """Return the number of callers for each VM."""
        return CALLERS_PER_VM

    @classmethod
    def bounds(cls) -> dict[str, str]:
        """Return the bounds of the users' deployments."""
        grace = f'{soak_history.GRACE_S:g}s'
        return {**super().bounds(), 'grace': grace}

    def figures(self) -> list[str]:
        """Return how many requests met a planned stop, and their results."""
        stops = self.history.stops
        met = [
            request
            for request in self.callers.sent
            if self.history.stop_during(
                request.vm, request.sent_at, request.ended_at
            )
        ]
        cut = [request for request in met if request.is_cut]
        whole = sum(bool(request.whole_at) for request in cut)
        lost = sum(finding.startswith('LOST') for finding in self.findings)
        longest = max((s.exited_at - s.term_at for s in stops), default=0.0)
        return [
            f'  {len(stops)} stops, the longest {longest:.2f} s,'
            f' {sum(stop.was_killed for stop in stops)} killed;'
            f' {len(met)} requests met one,'
            f' {sum(request.status == 200 for request in met)} served,'
            f' {sum(request.status == 503 for request in met)} refused,'
            f' {len(cut)} cut ({whole} sent whole), {lost} lost'
        ]

    def notes(self) -> list[str]:
        """Return the history of the run."""
        return [*super().notes(), *map(str, self.history.stops)]

    def _start_callers(self) -> list[asyncio.Task[None]]:
        return [
            *super()._start_callers(),
            *(asyncio.create_task(self._poll(vm)) for vm in self.cluster.vms),
        ]

    async def _poll(self, vm: clusters.Vm) -> None:
        """Keep connections of readiness checks and look-ups in use."""
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                await self.cluster.readiness_status(vm)
                await self.cluster.look_up(vm, 'a')
            await asyncio.sleep(self.rng.uniform(0.0, MAX_POLL_PAUSE_S))

    async def _start_upstreams(self) -> None:
        await super()._start_upstreams()
        for upstream in self.fleet.running:
            upstream.work_s = self.rng.choice(WORK_S)
            upstream.slots = SLOTS
            self.cluster.write_upstream(upstream)
            if upstream.service == 'artwork':
                upstream.respond = functools.partial(
                    _large_response, upstream.name
                )


def _large_response(name: str, request_id: str) -> bytes:
    own_name = f':{name}:{request_id}'.encode()
    return raw_http.format_response(
        200,
        request_id,
        bytes(LARGE_RESPONSE_BYTES) + own_name,
        'X-Server-Signature: signed',
    )
