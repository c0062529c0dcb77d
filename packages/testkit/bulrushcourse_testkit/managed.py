"""Processes and ports that a cluster under test manages."""

import asyncio
import contextlib
import pathlib

import attrs


@attrs.define(eq=False)
class ManagedProcess:
    """A process that the test started and will end.

    Attributes:
        name: Name for messages and log file.
        process: The running process.
        log: Path of its output.
    """

    name: str
    process: asyncio.subprocess.Process
    log: pathlib.Path

    def signal(self, number: int) -> None:
        """Send a signal if the process still runs.

        Args:
            number: Such as ``signal.SIGKILL``.
        """
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Return the exit code once the process has ended."""
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
