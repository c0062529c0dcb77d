"""TCP proxy that injects faults into connections between two processes.

Run it with ``python -m bulrushcourse_testkit.standins.fault_proxy SPEC`` where
SPEC is a JSON file::

    {
        'control_port': 9000,
        'links': [{'name': 'store', 'port': 9001, 'target': '127.0.0.1:8000'}],
    }

``PUT /control/{link}`` with a JSON object of ``LinkFaults`` fields sets the
faults of a link.
"""

import asyncio
import contextlib
import json
import pathlib
import sys
import time
import typing

import attrs
from aiohttp import web

CHUNK_BYTES = 16 << 10
STALL_POLL_S = 0.02


@attrs.define
class LinkFaults:
    """Faults of a link.

    Attributes:
        cut: Whether connections are reset, open and new ones.
        stalled: Whether the proxy holds back all bytes until the fault ends.
        delay_ms: One-way delay.
        mbit_per_s: Bandwidth per direction over all connections, 0 for no
            limit.
        drop_answers: Whether bytes from the target are dropped.
    """

    cut: bool = False
    stalled: bool = False
    delay_ms: float = 0.0
    mbit_per_s: float = 0.0
    drop_answers: bool = False


@attrs.define(eq=False)
class Link:
    """A listening port whose connections are relayed to a target.

    Attributes:
        name: Name of the link.
        port: Port to listen on.
        target: ``ip:port`` to connect to.
        faults: Active faults.
        writers: Writers of open connections.
        silent_writers: Those of connections that stay open and relay nothing;
            only a time-out of their user shows it.
        free_at: Monotonic time at which the bandwidth limit allows the next
            byte, by direction.
        passed: Number of bytes relayed, by direction.
    """

    name: str
    port: int
    target: str
    faults: LinkFaults = attrs.field(factory=LinkFaults)
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    silent_writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    free_at: dict[str, float] = attrs.field(factory=dict)
    passed: dict[str, int] = attrs.field(factory=dict)

    async def start(self) -> None:
        """Start to listen."""
        await asyncio.start_server(self._accept, '127.0.0.1', self.port)

    def set_faults(self, faults: LinkFaults) -> None:
        """Replace the faults; a cut resets open connections.

        Args:
            faults: New faults.
        """
        self.faults = faults
        if faults.cut:
            for writer in list(self.writers):
                writer.transport.abort()

    def silence_open(self) -> int:
        """Silence the open connections, not new ones; return their number."""
        self.silent_writers.update(self.writers)
        return len(self.writers) // 2

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.cut:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        writers = (writer, target_writer)
        if self.faults.cut:
            # The link was cut while the connection was being opened.
            for opened in writers:
                opened.transport.abort()
            return
        self.writers.update(writers)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._relay(reader, target_writer, 'to'))
                group.create_task(self._relay(target_reader, writer, 'from'))
        except* OSError:
            pass
        finally:
            self.writers.difference_update(writers)
            self.silent_writers.difference_update(writers)
            for open_writer in writers:
                open_writer.transport.abort()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        queue: asyncio.Queue = asyncio.Queue(256)
        sender = asyncio.create_task(self._deliver(queue, writer, direction))
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                deliver_at = time.monotonic() + self.faults.delay_ms / 1000
                await queue.put((deliver_at, chunk))
            await queue.put((time.monotonic(), b''))
            await sender
        finally:
            sender.cancel()

    async def _deliver(
        self,
        queue: asyncio.Queue,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        while True:
            deliver_at, chunk = await queue.get()
            await asyncio.sleep(max(0.0, deliver_at - time.monotonic()))
            await self._throttle(len(chunk), direction)
            if writer in self.silent_writers:
                continue
            if not chunk:
                with contextlib.suppress(OSError, RuntimeError):
                    writer.write_eof()
                return
            if direction == 'from' and self.faults.drop_answers:
                continue
            self.passed[direction] = self.passed.get(direction, 0) + len(chunk)
            with contextlib.suppress(OSError):
                writer.write(chunk)
                await writer.drain()

    async def _throttle(self, size: int, direction: str) -> None:
        while self.faults.stalled:  # noqa: ASYNC110
            await asyncio.sleep(STALL_POLL_S)
        if self.faults.mbit_per_s:
            now = time.monotonic()
            start = max(now, self.free_at.get(direction, 0.0))
            end = start + size * 8 / (self.faults.mbit_per_s * 1e6)
            self.free_at[direction] = end
            await asyncio.sleep(end - now)


@attrs.define
class FaultProxy:
    """All links of the process and their control interface.

    Attributes:
        links: Links by name.
    """

    links: dict[str, Link]

    def application(self) -> web.Application:
        """Return the HTTP application of the control interface."""
        application = web.Application()
        application.router.add_get('/control/passed', self.show_passed)
        application.router.add_put('/control/{name}', self.set_faults)
        return application

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replace a link's faults."""
        link = self.links[request.match_info['name']]
        link.set_faults(LinkFaults(**await request.json()))
        return web.Response(status=204)

    async def show_passed(self, request: web.Request) -> web.Response:
        """Return the number of bytes that each link relayed."""
        return web.json_response(
            {name: link.passed for name, link in self.links.items()}
        )


async def serve(spec: dict[str, typing.Any]) -> None:
    """Serve all links of a specification until cancelled.

    Args:
        spec: Content of the JSON file.
    """
    links = {link['name']: Link(**link) for link in spec['links']}
    for link in links.values():
        await link.start()
    runner = web.AppRunner(FaultProxy(links).application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', spec['control_port']).start()
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(serve(json.loads(pathlib.Path(sys.argv[1]).read_text())))
