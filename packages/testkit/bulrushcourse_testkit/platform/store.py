"""Stand-in of the platform's store of versioned rows."""

import asyncio
import base64
import bisect
import json
import operator
import time
import typing

import attrs
from aiohttp import web

POLL_INTERVAL_S = 0.02
ERA_HEADER = 'Store-Era'
_VERSION_OF = operator.attrgetter('version')


@attrs.frozen
class Change:
    """A change of a row.

    Attributes:
        version: Version of the store that it made.
        table: Name of the table.
        key: Key of the row.
        value: Content; ``None`` if the row was removed.
        at: When it was made, monotonic seconds.
    """

    version: int
    table: str
    key: str
    value: bytes | None
    at: float


@attrs.define(eq=False)
class StoreStandIn:
    """In-memory rows behind the HTTP interface of the platform's store.

    Attributes:
        rows: Value and version by table and key.
        version: Version of the newest change.
        history: All changes, oldest first.
        era: Number of the copy that the store runs on, which it states in
            each answer.
        stated_era: What it states in place of the era; empty for no
            statement, ``None`` for the era.
        keeps_calls: Whether calls that wait for changes survive a return
            from a copy.
        down: Whether calls get status 503.
        silent: Whether calls get no response.
        calls: Number of calls so far, by path.
        address: ``ip:port`` once started.
    """

    rows: dict[tuple[str, str], tuple[bytes, int]] = attrs.field(factory=dict)
    version: int = 0
    history: list[Change] = attrs.field(factory=list)
    era: int = 1
    stated_era: str | None = None
    keeps_calls: bool = False
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
        self._record(table, key, content)
        return self.version

    def remove(self, table: str, key: str) -> None:
        """Remove a row.

        Args:
            table: Name of the table.
            key: Key of the row.
        """
        self._record(table, key, None)

    def _record(self, table: str, key: str, value: bytes | None) -> None:
        change = Change(self.version + 1, table, key, value, time.monotonic())
        self.history.append(change)
        self._apply(change)

    def _apply(self, change: Change) -> None:
        self.version = change.version
        if change.value is None:
            self.rows.pop((change.table, change.key), None)
        else:
            self.rows[change.table, change.key] = (
                change.value,
                change.version,
            )

    def return_from_copy(self, copied_at: float) -> list[Change]:
        """Go back to the rows and the version of an earlier moment.

        Args:
            copied_at: The moment, monotonic seconds.

        Returns:
            The changes that are lost, oldest first.
        """
        kept = [c for c in self.history if c.at <= copied_at]
        lost = self.history[len(kept) :]
        self.rows, self.history, self.version = {}, kept, 0
        for change in kept:
            self._apply(change)
        self.era += 1
        return lost

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a call to the store.

        Args:
            request: HTTP request of the call.
        """
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        response = await self._answer(request)
        era = str(self.era) if self.stated_era is None else self.stated_era
        if era:
            response.headers[ERA_HEADER] = era
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
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
        if after > self.version or (
            self.history and self.history[0].version > after + 1
        ):
            return web.Response(status=410)
        era = self.era
        while True:
            if era != self.era and not self.keeps_calls:
                # A call whose caller is gone has no transport.
                if request.transport is not None:
                    request.transport.abort()
                return web.Response(status=503)
            first = bisect.bisect(self.history, after, key=_VERSION_OF)
            rows = [
                _row(c.table, c.key, c.value, c.version)
                for c in self.history[first:]
                if c.table == table
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
