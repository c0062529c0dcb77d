"""Edge processes of the soak, each behind a proxy to the store."""

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
        vm: Its settings.
        folder: Where settings and log lie.
        link: Proxy to the store.
        process: The process, ``None`` while it is down.
        paused: Whether it is stopped by a signal.
        incarnation: Starts so far.
        changing: Held while the process is started or ended, since faults
            overlap and two starts would leave one process behind.
    """

    vm: clusters.Vm
    folder: pathlib.Path
    link: fault_proxy.Link
    process: asyncio.subprocess.Process | None = None
    paused: bool = False
    incarnation: int = 0
    changing: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def start(self) -> None:
        """Start the process unless it runs."""
        async with self.changing:
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
                'bulrushcourse_entry.edge',
                stdout=log,
                stderr=log,
                env={**os.environ, 'BULRUSHCOURSE_CONFIG': str(settings)},
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs.

        Args:
            number: The signal.
        """
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        async with self.changing:
            self.signal(signal.SIGKILL)
            if self.process is not None:
                await self.process.wait()
