"""Stand-in of the platform's store of versioned rows."""

import asyncio
import base64
import json
import time
import typing

import attrs
from aiohttp import web

HISTORY = 1000
POLL_INTERVAL_S = 0.02


@attrs.define(eq=False)
class StoreStandIn:
    """In-memory rows behind the HTTP interface of the platform's store.

    Attributes:
        rows: Value and version by table and key.
        version: Version of the newest change.
        history: Changes as version, table, key and value, oldest first.
        down: Whether calls get status 503.
        silent: Whether calls get no response.
        calls: Number of calls so far, by path.
        address: ``ip:port`` once started.
    """

    rows: dict[tuple[str, str], tuple[bytes, int]] = attrs.field(factory=dict)
    version: int = 0
    history: list[tuple[int, str, str, bytes | None]] = attrs.field(
        factory=list
    )
    down: bool = False
    silent: bool = False
    calls: dict[str, int] = attrs.field(factory=dict)
    address: str = ''

    async def start(self) -> web.ServerRunner:
        """Listen on a free loopback port and return the server's runner."""
        runner = web.ServerRunner(
            web.Server(self.handle, access_log=None), shutdown_timeout=0.1
        )
        await runner.setup()
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        host, port = site._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return runner

    def put(self, table: str, key: str, value: typing.Any) -> int:
        """Write a row as an operator or an upstream does.

        Args:
            table: Name of the table.
            key: Key of the row.
            value: Bytes, or an object to write as JSON.
        """
        content = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self.version += 1
        self.rows[table, key] = content, self.version
        self.history.append((self.version, table, key, content))
        return self.version

    def remove(self, table: str, key: str) -> None:
        """Remove a row.

        Args:
            table: Name of the table.
            key: Key of the row.
        """
        self.version += 1
        self.rows.pop((table, key), None)
        self.history.append((self.version, table, key, None))

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a call to the store.

        Args:
            request: HTTP request of the call.
        """
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        while self.silent:  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)
        if self.down:
            return web.Response(status=503)
        handlers = {
            '/rows-get': self._get,
            '/rows-feed': self._feed,
            '/rows-tx': self._transact,
        }
        return await handlers[request.path](request)

    async def _get(self, request: web.BaseRequest) -> web.StreamResponse:
        table = request.query['table']
        start = request.query.get('from', '')
        limit = int(request.query.get('limit', 500))
        matching = sorted(
            (key, value, version)
            for (name, key), (value, version) in self.rows.items()
            if name == table and key >= start
        )
        rows = [
            _row(table, key, value, version)
            for key, value, version in matching[:limit]
        ]
        return self._rows_response(rows, has_more=len(matching) > limit)

    async def _feed(self, request: web.BaseRequest) -> web.StreamResponse:
        table = request.query['table']
        after = int(request.query['after'])
        wait_end = time.monotonic() + int(request.query['wait_ms']) / 1000
        if self.history and self.history[0][0] > after + 1:
            return web.Response(status=410)
        while True:
            rows = [
                _row(name, key, value, version)
                for version, name, key, value in self.history
                if version > after and name == table
            ]
            if rows or time.monotonic() >= wait_end:
                return self._rows_response(rows)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _transact(self, request: web.BaseRequest) -> web.StreamResponse:
        body = json.loads(await request.read())
        for row in body['writes']:
            value = base64.b64decode(row['value'])
            self.put(row['table'], row['key'], value)
        for row in body['remove']:
            self.remove(row['table'], row['key'])
        return self._rows_response([])

    def _rows_response(
        self, rows: list[dict[str, typing.Any]], has_more: bool = False
    ) -> web.Response:
        now = f'{int(time.monotonic() * 1000)}ms'
        return web.json_response(
            {
                'rows': rows,
                'has_more': has_more,
                'ver': self.version,
                'now': now,
            }
        )


def _row(
    table: str, key: str, value: bytes | None, version: int
) -> dict[str, typing.Any]:
    row = {'table': table, 'part': '', 'key': key, 'ver': version}
    if value is None:
        return {**row, 'removed': True}
    return {**row, 'value': base64.b64encode(value).decode()}
