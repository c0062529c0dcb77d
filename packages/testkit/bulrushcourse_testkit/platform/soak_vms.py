"""Run the soak's edge processes, each with a proxy to the store."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys

import attrs
import tomlkit

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.standins import fault_proxy


@attrs.define(eq=False)
class SoakVm:
    """An edge process and the proxy between it and the store.

    Attributes:
        vm: VM with its settings.
        folder: Directory of the settings and log files.
        link: Proxy to the store.
        process: Edge process, ``None`` before the first start.
        paused: Whether the process is stopped by a signal.
        incarnation: Number of starts so far.
        program: Module that runs the edge process.
        metrics_port: Port of metrics and state dump, 0 for none.
        lifecycle_lock: Held while the process is started or killed. Faults
            overlap, and of two concurrent starts one process would be left
            running.
    """

    vm: clusters.Vm
    folder: pathlib.Path
    link: fault_proxy.Link
    process: asyncio.subprocess.Process | None = None
    paused: bool = False
    incarnation: int = 0
    program: str = 'bulrushcourse_entry.edge'
    metrics_port: int = 0
    lifecycle_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def start(self) -> None:
        """Start the process unless it is running."""
        async with self.lifecycle_lock:
            await self._start()

    async def _start(self) -> None:
        if self.process is not None and self.process.returncode is None:
            return
        settings = self.folder / f'{self.vm.name}.toml'
        settings.write_text(tomlkit.dumps(self.vm.document))
        self.paused = False
        self.incarnation += 1
        with (self.folder / f'{self.vm.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                self.program,
                str(self.metrics_port),
                stdout=log,
                stderr=log,
                env={**os.environ, 'BULRUSHCOURSE_CONFIG': str(settings)},
            )

    def peak_memory_mb(self) -> float:
        """Return the largest memory of the process so far in MB."""
        return self.memory_mb('VmHWM')

    def memory_mb(self, field: str) -> float:
        """Return a figure of the process's memory in MB.

        Args:
            field: Its name in ``/proc/PID/status``, such as ``VmRSS``.
        """
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        line = next(x for x in status.splitlines() if x.startswith(field))
        return int(line.split()[1]) / 1024

    def processor_s(self) -> float:
        """Return the processor time of the process in seconds."""
        stat = pathlib.Path(f'/proc/{self.process.pid}/stat').read_text()
        # The name of the program, in brackets, may contain spaces.
        fields = stat.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it is running.

        Args:
            number: Number of the signal.
        """
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        async with self.lifecycle_lock:
            self.send_signal(signal.SIGKILL)
            if self.process is not None:
                await self.process.wait()
