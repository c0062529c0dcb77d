"""Measures the memory of a VM under uploads, and what its budget says of it.

Run it with ``python -m bulrushcourse_testkit.platform.memory_trial --help``.
Each trial starts a real edge process and stand-ins; clients with orders on
kept connections run beside the uploads, of which half are left.
"""

import asyncio
import collections
import pathlib
import tempfile
import typing

import aiohttp
import attrs
import cappa
import plotext

from bulrushcourse_domain.resources import memory as memories
from bulrushcourse_testkit import ports
from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import memory_clients
from bulrushcourse_testkit.platform import soak_vms
from bulrushcourse_testkit.platform import upstream_faults
from bulrushcourse_testkit.standins import fault_proxy

MIB = 1 << 20
SAMPLE_S = 0.1
MAX_BODY_BYTES = 64 * MIB
SLOTS = 50
PLOT_WIDTH = 100
# Lines of each trial in the plot.
PLOT_LINES = 4
RULES = (
    documents.rule('/answer/', service='answers', timeout='8s'),
    documents.rule('/order/', kind='non_idempotent', service='orders'),
    documents.rule('/upload/', kind='upload', service='artwork', timeout='4s'),
    documents.rule('/silent/', kind='upload', service='silent', timeout='2s'),
)
USES = tuple(f'{use.value}_bytes' for use in memories.Use)


@attrs.frozen
class Sample:
    """Memory of a process at one moment, in MiB.

    Attributes:
        resident: What the process occupies.
        counted: What its budget counts.
    """

    resident: float
    counted: float

    @property
    def uncounted(self) -> float:
        """What is neither counted nor taken for the process itself."""
        process = memories.PROCESS_BYTES / MIB
        return self.resident - self.counted - process


@attrs.frozen
class Trial:
    """Result of one trial.

    Attributes:
        memory_mb: Memory of the VM.
        size_mb: Size of an upload.
        uploaders: Number of clients with uploads.
        peak_mb: Largest memory of the process.
        at_peak: Sample with the largest memory.
        uploads: Uploads by outcome.
        orders: Orders by outcome.
        lost: Orders without an answer.
        processor_s: Processor time of the process.
    """

    memory_mb: int
    size_mb: int
    uploaders: int
    peak_mb: float
    at_peak: Sample
    uploads: dict[str, int]
    orders: dict[str, int]
    lost: int
    processor_s: float

    def row(self) -> str:
        """Return the trial as a row of a Markdown table."""
        refused = sum(
            self.uploads.get(str(status), 0)
            for status in memory_clients.REFUSALS
        )
        cells = (
            self.memory_mb,
            self.size_mb,
            self.uploaders,
            f'{self.peak_mb:.0f}',
            f'{self.at_peak.counted:.0f}',
            f'{self.at_peak.uncounted:.0f}',
            self.uploads.get('200', 0),
            refused,
            sum(self.uploads.values()),
            self.orders.get('200', 0),
            self.lost,
            f'{self.processor_s:.1f}',
        )
        return '| ' + ' | '.join(map(str, cells)) + ' |'


HEADING = (
    '| memory MB | upload MiB | clients | peak MB | counted at peak'
    ' | uncounted at peak | uploads served | refused | of all | orders served'
    ' | orders lost | processor s |\n' + '|---' * 12 + '|'
)


@attrs.define(eq=False)
class Watch:
    """Samples a process and its budget.

    Attributes:
        vm: The process.
        session: HTTP session.
        samples: The samples so far.
    """

    vm: soak_vms.SoakVm
    session: aiohttp.ClientSession
    samples: list[Sample] = attrs.field(factory=list)

    async def run(self) -> None:
        """Sample until cancelled or until the process ends."""
        while self.vm.process.returncode is None:
            try:
                self.samples.append(await self._sample())
            except (OSError, aiohttp.ClientError, StopIteration):
                # The process has no time for it, or has ended.
                pass
            await asyncio.sleep(SAMPLE_S)

    async def _sample(self) -> Sample:
        host = self.vm.vm.listen['front'].rpartition(':')[0]
        url = f'http://{host}:{self.vm.metrics_port}/state'
        async with self.session.get(url) as response:
            state = await response.json()
        counted = sum(state['memory'][use] for use in USES)
        resident_mb = self.vm.memory_mb('VmRSS')
        return Sample(resident_mb, counted / MIB)


async def run_trial(
    memory_mb: int, size_mb: int, uploaders: int, seconds: float
) -> Trial:
    """Run the clients against a VM of some memory.

    Args:
        memory_mb: Memory in the settings of the VM. A process that exceeds it
            is not ended, so that the peak shows by how much it does.
        size_mb: Size of an upload in MiB.
        uploaders: Number of clients with uploads.
        seconds: Time of the trial.
    """
    async with clusters.EdgeCluster() as cluster:
        document = documents.configuration(1, *RULES)
        document['limits']['max_body_bytes'] = MAX_BODY_BYTES
        cluster.store.put('op', 'config', document)
        await _add_upstreams(cluster)
        vm = cluster.vms[0]
        vm.document['self']['limits'] = {'memory_mb': memory_mb}
        reserved = ports.reserve_ports(1)
        with tempfile.TemporaryDirectory() as folder:
            soaked = soak_vms.SoakVm(
                vm,
                pathlib.Path(folder),
                fault_proxy.Link('unused', 0, cluster.store.address),
                metrics_port=reserved.ports[0],
            )
            try:
                await soaked.start()
                await cluster.wait_until(cluster.all_ready)
                return await _measure(
                    cluster, soaked, (memory_mb, size_mb, uploaders), seconds
                )
            finally:
                await soaked.kill()
                reserved.close()


async def _measure(
    cluster: clusters.EdgeCluster,
    soaked: soak_vms.SoakVm,
    sizes: tuple[int, int, int],
    seconds: float,
) -> Trial:
    watch = Watch(soaked, cluster.session)
    watching = asyncio.create_task(watch.run())
    until = asyncio.get_running_loop().time() + seconds
    _, size_mb, uploaders = sizes
    crowd = memory_clients.Crowd(
        soaked.vm.listen['front'], size_mb * MIB, until
    )
    await crowd.run(uploaders)
    watching.cancel()
    await asyncio.gather(watching, return_exceptions=True)
    return Trial(
        *sizes,
        soaked.peak_memory_mb(),
        max(watch.samples, key=lambda sample: sample.resident),
        crowd.uploads,
        crowd.orders,
        crowd.lost,
        soaked.processor_s(),
    )


async def _add_upstreams(cluster: clusters.EdgeCluster) -> None:
    for service, fields in (
        ('answers', {'content': bytes(memory_clients.ANSWER_BYTES)}),
        ('orders', {'work_s': 0.2}),
        ('artwork', {'work_s': 0.5}),
        ('silent', {'fault': upstream_faults.Fault.SILENT}),
    ):
        for number in range(2):
            upstream = await cluster.add_upstream(
                f'{service}-{number}', service=service, slots=SLOTS, **fields
            )
            # The bodies that reached it would fill this process.
            upstream.arrivals = collections.deque(maxlen=0)
            upstream.heads = collections.deque(maxlen=0)


def plot(trials: typing.Sequence[Trial]) -> str:
    """Return the peaks of some trials beside the memory of their VMs, as text.

    Args:
        trials: The trials.
    """
    plotext.clear_figure()
    plotext.theme('clear')
    plotext.plot_size(PLOT_WIDTH, PLOT_LINES * (len(trials) + 1))
    plotext.multiple_bar(
        [f'{t.memory_mb} MB, {t.uploaders} x {t.size_mb}' for t in trials],
        [
            [t.memory_mb for t in trials],
            [t.peak_mb for t in trials],
            [t.at_peak.counted for t in trials],
        ],
        labels=['memory of the VM', 'process', 'counted'],
        orientation='horizontal',
        marker='#',
    )
    plotext.title('Memory at the peak, MB')
    return plotext.uncolorize(plotext.build())


@cappa.command(
    name='memory_trial',
    help='Measure the memory of a VM under uploads.',
    description='Example: memory_trial --memory 200 --size 8 --clients 12',
)
@attrs.frozen
class MemoryTrial:
    """Arguments of the command.

    Attributes:
        memory: Memory of the VMs in MB.
        size: Sizes of an upload in MiB.
        clients: Numbers of clients with uploads.
        seconds: Time of each trial.
        plot: Text file to draw the peaks into, empty for none.
    """

    memory: typing.Annotated[list[int], cappa.Arg(long=True, num_args=-1)] = (
        attrs.field(factory=lambda: [128, 200, 300])
    )
    size: typing.Annotated[list[int], cappa.Arg(long=True, num_args=-1)] = (
        attrs.field(factory=lambda: [1, 8, 60])
    )
    clients: typing.Annotated[list[int], cappa.Arg(long=True, num_args=-1)] = (
        attrs.field(factory=lambda: [4, 12, 40])
    )
    seconds: typing.Annotated[float, cappa.Arg(long=True)] = 60.0
    plot: typing.Annotated[str, cappa.Arg(long=True, default='')] = ''

    def __call__(self) -> None:
        """Print a row for each trial, and draw the plot."""
        print(HEADING, flush=True)
        trials = []
        for memory in self.memory:
            for size in self.size:
                for clients in self.clients:
                    trial = asyncio.run(
                        run_trial(memory, size, clients, self.seconds)
                    )
                    print(trial.row(), flush=True)
                    trials.append(trial)
        if self.plot:
            pathlib.Path(self.plot).write_text(plot(trials))


if __name__ == '__main__':
    cappa.invoke(MemoryTrial)
