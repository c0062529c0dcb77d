"""Peak memory and open descriptors of a process."""

import asyncio
import pathlib

import attrs

SAMPLE_S = 0.02


@attrs.define(eq=False)
class ProcessWatch:
    """Samples memory and open descriptors of a process.

    Attributes:
        process: The process.
        descriptors: Largest number of open descriptors seen.
        memory_mb: Largest memory of the process in MB.
    """

    process: asyncio.subprocess.Process
    descriptors: int = 0
    memory_mb: float = 0.0

    async def sample(self) -> None:
        """Sample until cancelled."""
        while True:
            self.read()
            await asyncio.sleep(SAMPLE_S)

    def read(self) -> None:
        """Take one sample."""
        root = pathlib.Path(f'/proc/{self.process.pid}')
        status = (root / 'status').read_text()
        lines = [x for x in status.splitlines() if x.startswith('VmHWM')]
        if lines:
            self.memory_mb = int(lines[0].split()[1]) / 1024
        self.descriptors = max(self.descriptors, self.open_descriptors())

    def open_descriptors(self) -> int:
        """Return the number of open descriptors."""
        root = pathlib.Path(f'/proc/{self.process.pid}')
        return len(list((root / 'fd').iterdir()))
