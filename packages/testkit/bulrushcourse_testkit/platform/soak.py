"""Inject random faults into real edge processes and check the guarantees.

Run ``python -m bulrushcourse_testkit.platform.soak FIRST COUNT [JOBS]
[FAULT_SET] [VMS]``; see ``soak_faults.FAULT_SETS`` for the fault set. Each
seed starts edge processes behind loopback proxies, injects overlapping faults,
and then checks that the fleet recovers within the required time. Several jobs
run in processes of their own. The logs of seeds with findings are kept.
"""

import asyncio
import collections
import itertools
import pathlib
import random
import shutil
import sys
import tempfile
import typing

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import soak_drill_run
from bulrushcourse_testkit.platform import soak_faults
from bulrushcourse_testkit.platform import soak_fleet_run
from bulrushcourse_testkit.platform import soak_run
from bulrushcourse_testkit.platform import soak_stop_run

DEFAULT_VMS = 3
FAILURE_DOMAINS = (*soak_run.FAILURE_DOMAINS, 'b2')
SHOWN_FINDINGS = 10


async def run_seed(
    seed: int,
    folder: pathlib.Path,
    fault_set: int = soak_faults.LATEST,
    vms: int = DEFAULT_VMS,
) -> soak_run.Soak:
    """Run the soak with one seed and return it.

    Args:
        seed: Seed of all random choices.
        folder: Directory of the settings and log files.
        fault_set: Number of the faults to choose from.
        vms: Number of VMs.
    """
    faults = soak_faults.FAULT_SETS[fault_set]
    soak_class = soak_run.Soak
    if faults.has_fleet:
        soak_class = soak_fleet_run.FleetSoak
    if faults.has_stops:
        soak_class = soak_stop_run.StopSoak
    if faults.has_drills:
        soak_class = soak_drill_run.DrillSoak
    domains = tuple(itertools.islice(itertools.cycle(FAILURE_DOMAINS), vms))
    cluster = clusters.EdgeCluster(domains, soak_class.bounds())
    soak = soak_class(seed, random.Random(seed), cluster, faults)
    await soak.run(folder)
    return soak


async def _report_seed(seed: int, fault_set: int, vms: int) -> bool:
    """Run a seed, print its result and return whether it has findings."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    soak = await run_seed(seed, folder, fault_set, vms)
    lines = [
        f'seed {seed}, fault set {fault_set}, {vms} VMs:'
        f' {len(soak.statuses)} requests, {soak.statuses.count(200)} served,'
        f' {len(soak.injector.injected)} faults,'
        f' {len(soak.findings)} findings',
        *soak.figures(),
    ]
    if soak.findings:
        lines += [
            f'  logs in {folder}',
            *(f'  {fault}' for fault in soak.injector.injected),
            *(f'  {finding}' for finding in soak.findings[:SHOWN_FINDINGS]),
            *(f'  {count} x {cause}' for cause, count in _causes(soak)),
        ]
        (folder / 'result.txt').write_text(
            '\n'.join((*lines, *soak.notes(), *soak.findings))
        )
    else:
        shutil.rmtree(folder)
    print(*lines, sep='\n', flush=True)
    return bool(soak.findings)


def _causes(soak: soak_run.Soak) -> list[tuple[str, int]]:
    causes = (finding.partition(':')[0] for finding in soak.findings)
    return collections.Counter(causes).most_common()


async def _run_seeds(
    seeds: typing.Sequence[int], jobs: int, fault_set: int, vms: int
) -> int:
    if jobs == 1:
        return sum(
            [await _report_seed(seed, fault_set, vms) for seed in seeds]
        )
    limit = asyncio.Semaphore(jobs)

    async def run_one(seed: int) -> int:
        arguments = map(str, (seed, 1, 1, fault_set, vms))
        async with limit:
            process = await asyncio.create_subprocess_exec(
                sys.executable, '-m', __spec__.name, *arguments
            )
            return await process.wait() != 0

    return sum(await asyncio.gather(*map(run_one, seeds)))


def main() -> int:
    """Run the seeds of the command line; return 1 if there are findings."""
    first, count, *options = map(int, sys.argv[1:])
    defaults = (1, soak_faults.LATEST, DEFAULT_VMS)
    jobs, fault_set, vms = (*options, *defaults[len(options) :])
    seeds = range(first, first + count)
    failed_seeds = asyncio.run(_run_seeds(seeds, jobs, fault_set, vms))
    if count > 1:
        print(f'{count} seeds, {failed_seeds} with findings')
    return 1 if failed_seeds else 0


if __name__ == '__main__':
    sys.exit(main())
