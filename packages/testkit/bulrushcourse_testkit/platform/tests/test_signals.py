"""Signals that come while a process starts or ends."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys

import attrs
import pytest
import tomlkit

from bulrushcourse_entry import events
from bulrushcourse_testkit.platform import cluster as clusters

# It is imported in the middle of the imports of the program.
IMPORTED = 'aiohttp.client'
# Each SIGHUP writes a line until the event loop ends, and the number of lines
# is limited.
SIGNAL_INTERVAL_S = 0.01


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


@attrs.define
class StartedProcess:
    """An edge process that has been started.

    Attributes:
        cluster: The store and the VM.
        settings: Path of its settings file.
        log: Path of its log file.
        process: The process.
    """

    cluster: clusters.EdgeCluster
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen | None = None

    def start(self, **variables):
        with self.log.open('wb') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'bulrushcourse_entry.edge'],
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    'BULRUSHCOURSE_CONFIG': str(self.settings),
                    **variables,
                },
            )

    def write_settings(self, path):
        path.write_text(tomlkit.dumps(self.cluster.vms[0].document))

    async def wait_until_ready(self):
        vm = self.cluster.vms[0]

        async def is_ready():
            assert self.process.poll() is None
            return await self.cluster.readiness_status(vm) == 200

        await self.cluster.wait_until(is_ready)

    def has_logged(self, event):
        lines = self.log.read_text().splitlines()
        numbers = [json.loads(x)['event'] for x in lines if x[:1] == '{']
        return event.number in numbers

    async def wait_until_silent(self):
        vm = self.cluster.vms[0]

        async def is_silent():
            return await self.cluster.readiness_status(vm) == 0

        await self.cluster.wait_until(is_silent)

    async def wait_for_end(self):
        return await asyncio.to_thread(self.process.wait, 30)

    async def wait_for_event(self, event):
        async def is_logged():
            return self.has_logged(event)

        await self.cluster.wait_until(is_logged)


@contextlib.asynccontextmanager
async def edge_process(folder):
    """Provide an edge process that is started by the test."""
    async with clusters.EdgeCluster(bounds={'grace': '1s'}) as cluster:
        cluster.configure()
        await cluster.add_upstream('u1')
        settings = folder / 'settings.toml'
        started = StartedProcess(cluster, settings, folder / 'log')
        started.write_settings(settings)
        try:
            yield started
        finally:
            if started.process is not None:
                started.process.kill()
                started.process.wait()


@contextlib.asynccontextmanager
async def importing(started):
    """Start a process that imports modules inside of the context."""
    started.start(PYTHONPROFILEIMPORTTIME='1')

    async def is_importing():
        return IMPORTED in started.log.read_text()

    await started.cluster.wait_until(is_importing)
    yield


@contextlib.asynccontextmanager
async def reading_settings(started):
    """Start a process that reads its settings inside of the context."""
    started.settings.unlink()
    os.mkfifo(started.settings)
    started.start()
    pipe = await open_pipe(started)
    try:
        yield
        other = started.settings.with_suffix('.other')
        started.write_settings(other)
        content = other.read_bytes()
        other.replace(started.settings)
        assert os.write(pipe, content) == len(content)
    finally:
        os.close(pipe)


async def open_pipe(started):
    """Open a pipe for writing once the process has opened it for reading."""
    async with asyncio.timeout(clusters.START_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError):
                return os.open(started.settings, os.O_WRONLY | os.O_NONBLOCK)
            await asyncio.sleep(clusters.POLL_INTERVAL_S)


STAGES = pytest.mark.parametrize('stage', [importing, reading_settings])


@STAGES
def test_reload_during_the_start_is_done_once_the_process_runs(
    stage, tmp_path
):
    # Guards against SIGHUP that ends a process which is starting, as its
    # default action does.
    async def scenario():
        async with edge_process(tmp_path) as started:
            async with stage(started):
                started.process.send_signal(signal.SIGHUP)
            await started.wait_until_ready()
            await started.wait_for_event(events.Event.RELOADED)

    run(scenario())


@STAGES
@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_stop_during_the_start_is_a_planned_one(stage, number, tmp_path):
    # Guards against a process that is ended by a signal while it starts, and
    # has said nothing of a stop.
    async def scenario():
        async with edge_process(tmp_path) as started:
            async with stage(started):
                started.process.send_signal(number)
            assert await started.wait_for_end() == 0
            assert started.has_logged(events.Event.STOPPING)
            assert started.has_logged(events.Event.STOPPED)

    run(scenario())


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGHUP])
def test_signals_until_the_end_of_a_stop_change_nothing(number, tmp_path):
    # Guards against a process that is ended by a signal when its event loop
    # has closed, before its last lines are written.
    async def scenario():
        async with edge_process(tmp_path) as started:
            started.start()
            await started.wait_until_ready()
            started.process.send_signal(signal.SIGTERM)
            await started.wait_until_silent()
            while started.process.poll() is None:
                started.process.send_signal(number)
                await asyncio.sleep(SIGNAL_INTERVAL_S)
            assert started.process.returncode == 0
            assert started.has_logged(events.Event.STOPPED)

    run(scenario())
