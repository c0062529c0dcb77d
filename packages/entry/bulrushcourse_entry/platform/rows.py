"""Client of the platform's store of versioned rows."""

import asyncio
import base64
import contextlib
import socket
import typing

import aiohttp
import attrs
import reactivex

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.accounts import store_clock
from bulrushcourse_domain.store import position as positions
from bulrushcourse_domain.store import store_era as store_eras
from bulrushcourse_entry import bounded_answers
from bulrushcourse_entry.platform import store_answers
from bulrushcourse_entry.platform import store_pages
from bulrushcourse_entry.platform import units

CALL_TIMEOUT_S = 1.0
# Time for the answer to a call that waits for changes, beyond its wait.
FEED_ANSWER_S = 0.6
# Interval of probes on an open connection. Unanswered ones end the connection
# about 2 s after it went silent.
KEEPALIVE_S = 1
USER_TIMEOUT_MS = 1500
# Idle connections are not used for this long after a call without an answer:
# they may have gone silent too. aiohttp closes them within 15 s.
DISTRUST_S = 20.0
PAGE_ROWS = 500
MAX_PAGES = 40
# Elements of a page of 500 rows with up to 10 fields each, four times over.
MAX_PAGE_ELEMENTS = 40 * PAGE_ROWS
# Rows of 800 bytes in all pages.
MAX_TABLE_BYTES = 800 * PAGE_ROWS * MAX_PAGES


StoredRow = store_answers.StoredRow
StoreUnavailable = store_answers.StoreUnavailable
StoreSilent = store_answers.StoreSilent
OversizedAnswer = store_answers.OversizedAnswer
OutdatedAnswer = store_answers.OutdatedAnswer
HistoryLost = store_answers.HistoryLost
StoreReturned = store_answers.StoreReturned
EraVerdict = store_answers.EraVerdict
RowBatch = store_answers.RowBatch


@attrs.define
class RowStore:
    """Client of the store.

    Attributes:
        address: ``ip:port`` of the store.
        clock: Source of time.
        pooled: HTTP session that reuses connections.
        fresh: HTTP session with a new connection for each call.
        calls: Number of calls so far.
        distrust_until: Time until which no idle connection is used.
        readings: Stream of the times that the store stated.
        store_era: Which era of the store this VM is in.
        verdicts: Stream of what its answers are, by the era that they state.
    """

    address: str
    clock: clocks.Clock
    pooled: aiohttp.ClientSession
    fresh: aiohttp.ClientSession
    calls: int = 0
    distrust_until: float = float('-inf')
    readings: reactivex.Subject[store_clock.StoreReading] = attrs.field(
        factory=reactivex.Subject
    )
    store_era: store_eras.StoreEra = attrs.field(kw_only=True)
    verdicts: reactivex.Subject[EraVerdict] = attrs.field(
        factory=reactivex.Subject
    )

    async def read(self, table: str) -> RowBatch:
        """Return all rows of a table.

        Args:
            table: Name of the table.

        Raises:
            StoreUnavailable: If the call failed, or the store returned from
                a copy between two pages.
        """
        rows: list[StoredRow] = []
        size = 0
        query = {'table': table, 'part': '', 'limit': str(PAGE_ROWS)}
        version = era = 0
        started = self.clock.monotonic()
        store_s = None
        for _ in range(MAX_PAGES):
            _, page = await self._call('GET', '/rows-get', query)
            if version and self.store_era.era != era:
                raise OutdatedAnswer('the store returned between two pages')
            page_rows = store_pages.rows(page)
            rows.extend(page_rows)
            size += sum(len(row.value or b'') for row in page_rows)
            if len(rows) > PAGE_ROWS * MAX_PAGES or size > MAX_TABLE_BYTES:
                raise StoreUnavailable(f'table {table} is too large')
            # The pages may be of different versions. That of the first page
            # is the oldest, which all of them include.
            if not version:
                version, store_s, era = (
                    store_pages.version(page),
                    store_pages.store_s(page),
                    self.store_era.era,
                )
            if not page.get('has_more') or not page_rows:
                return RowBatch(
                    version, tuple(rows), started, store_s, era=era
                )
            query['from'] = page_rows[-1].key + '\x00'
        raise StoreUnavailable(f'table {table} has too many pages')

    async def changes(
        self, table: str, after: positions.Position, wait_s: float
    ) -> RowBatch:
        """Return the rows changed after a position; wait for the first change.

        Args:
            table: Name of the table.
            after: Position after which the changes begin.
            wait_s: Longest time to wait in seconds.

        Raises:
            HistoryLost: If the whole table has to be read again; a
                ``StoreReturned`` if the position is of an earlier era.
            StoreUnavailable: If the call failed.
        """
        # A connection that went silent is noticed only after the wait, so that
        # a long call uses a new one.
        query = {
            'table': table,
            'after': str(after.version),
            'wait_ms': str(int(wait_s * 1000)),
        }
        self._check_era(after)
        started = self.clock.monotonic()
        try:
            status, page = await self._call(
                'GET',
                '/rows-feed',
                query,
                wait_s + FEED_ANSWER_S,
                fresh=wait_s > CALL_TIMEOUT_S,
            )
        except OversizedAnswer as e:
            raise HistoryLost(str(e)) from e
        self._check_era(after)
        if status == 410:
            raise HistoryLost('the store has discarded them')
        return RowBatch(
            store_pages.version(page),
            tuple(store_pages.rows(page)),
            started,
            store_pages.store_s(page),
            not page.get('has_more'),
            after.era,
        )

    def _check_era(self, after: positions.Position) -> None:
        if after.era != self.store_era.era:
            raise StoreReturned('the store returned from a copy')

    async def write(self, table: str, key: str, value: bytes) -> None:
        """Write a row unconditionally.

        Args:
            table: Name of the table.
            key: Key of the row.
            value: Content.

        Raises:
            StoreUnavailable: If the call failed; the write may have taken
                effect or may still do so.
        """
        row = {
            'table': table,
            'part': '',
            'key': key,
            'value': base64.b64encode(value).decode(),
        }
        await self._transact([row], [])

    async def remove(self, table: str, key: str) -> None:
        """Remove a row if it exists.

        Args:
            table: Name of the table.
            key: Key of the row.

        Raises:
            StoreUnavailable: If the call failed; the removal may have taken
                effect or may still do so.
        """
        await self._transact([], [{'table': table, 'part': '', 'key': key}])

    async def _transact(self, writes: list, remove: list) -> None:
        body = {'expected': [], 'writes': writes, 'remove': remove}
        await self._call('POST', '/rows-tx', body=body)

    async def _call(  # noqa: PLR0913
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        body: typing.Any = None,
        fresh: bool = False,
    ) -> tuple[int, dict[str, typing.Any]]:
        self.calls += 1
        started = self.clock.monotonic()
        fresh = fresh or self.clock.monotonic() < self.distrust_until
        session = self.fresh if fresh else self.pooled
        try:
            async with asyncio.timeout(timeout_s):
                async with session.request(
                    method,
                    f'http://{self.address}{path}',
                    params=query,
                    json=body,
                ) as response:
                    content = await bounded_answers.read(response)
                    stated = store_pages.era(response.headers)
            if response.status == 410:
                self._judge_era(stated, None)
                return 410, {}
            if response.status != 200:
                raise StoreUnavailable(f'{path}: status {response.status}')
            page = units.parse_json(content, MAX_PAGE_ELEMENTS)
        except TimeoutError as e:
            self.distrust_until = self.clock.monotonic() + DISTRUST_S
            raise StoreSilent(f'{path}: no answer in {timeout_s} s') from e
        except (
            bounded_answers.AnswerTooLarge,
            units.OversizedDocument,
        ) as e:
            raise OversizedAnswer(f'{path}: {e!r}') from e
        except (
            aiohttp.ClientError,
            OSError,
            ValueError,
        ) as e:
            raise StoreUnavailable(f'{path}: {e!r}') from e
        if not isinstance(page, dict):
            raise StoreUnavailable(f'{path}: response is not a JSON object')
        self._judge_era(stated, store_pages.version(page))
        self._record_time(started, store_pages.store_s(page))
        return 200, page

    def _judge_era(self, stated: int | None, version: int | None) -> None:
        """Enter the era of an answer, or refuse the answer.

        Raises:
            OutdatedAnswer: If it is of an earlier era, or states none.
        """
        before = self.store_era.era
        verdict = self.store_era.admit(stated, version)
        self.verdicts.on_next(
            EraVerdict(verdict, self.store_era.era, before, stated)
        )
        if verdict in store_eras.UNUSED:
            raise OutdatedAnswer(f'answer of era {stated}, not {before}')

    def _record_time(self, started: float, store_s: float | None) -> None:
        if store_s is not None:
            received = self.clock.monotonic()
            self.readings.on_next(
                store_clock.StoreReading(started, received, store_s)
            )


@contextlib.asynccontextmanager
async def open_store(
    address: str, clock: clocks.Clock, store_era: store_eras.StoreEra
) -> typing.AsyncIterator[RowStore]:
    """Open a client of the store.

    Args:
        address: ``ip:port`` of the store.
        clock: Source of time.
        store_era: Which era of the store this VM is in.
    """
    pooling = bounded_answers.open_session(socket_factory=_open_socket)
    closing = bounded_answers.open_session(
        socket_factory=_open_socket, force_close=True
    )
    async with pooling as pooled, closing as fresh:
        yield RowStore(address, clock, pooled, fresh, store_era=store_era)


def _open_socket(address: tuple[typing.Any, ...]) -> socket.socket:
    """Return a socket that notices a peer that went silent."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
        sock.setsockopt(socket.IPPROTO_TCP, option, KEEPALIVE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    return sock
