"""Processes and ports of a test cluster."""

import asyncio
import contextlib
import pathlib

import attrs


@attrs.define(eq=False)
class ManagedProcess:
    """A process that a test cluster has started and will kill.

    Attributes:
        name: Name of the process and of its log file.
        process: Handle of the process.
        log: File with its standard output and standard error.
    """

    name: str
    process: asyncio.subprocess.Process
    log: pathlib.Path

    def signal(self, number: int) -> None:
        """Send a signal unless the process has ended.

        Args:
            number: Signal number, such as ``signal.SIGKILL``.
        """
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process has ended and return its exit code."""
        return await self.process.wait()


@attrs.frozen
class EntryPorts:
    """Ports of one entry.

    Attributes:
        callers: Port of the callers' listener.
        operators: Port of the operators' listener.
        peers: Port of the peers' listener.
    """

    callers: int
    operators: int
    peers: int
