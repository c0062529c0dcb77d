"""Stand-in of the platform's store whose answers have no end or no bound."""

import asyncio
import base64
import functools
import itertools
import json
import typing

import attrs
from aiohttp import web

from bulrushcourse_testkit.platform import flood
from bulrushcourse_testkit.platform import store

MIB = 1 << 20
PAGE_ROWS = 500
# Store version that all faulty answers state.
VERSION = 1000


@functools.cache
def many_rows(table: str) -> bytes:
    """Return an answer with a million small rows.

    Args:
        table: Name of the table.
    """
    row = json.dumps({'table': table, 'key': 'k', 'ver': 1, 'removed': True})
    return _answer(','.join(itertools.repeat(row, 1_000_000)))


@functools.cache
def huge_row(table: str) -> bytes:
    """Return an answer with one row of 64 MiB.

    Args:
        table: Name of the table.
    """
    row = {'table': table, 'key': 'k', 'ver': 1, 'value': 'A' * (64 * MIB)}
    return _answer(json.dumps(row))


@functools.cache
def small_lists(_table: str) -> bytes:
    """Return an answer of 3 MiB whose rows are empty lists.

    Args:
        _table: Not used.
    """
    return _answer(','.join(itertools.repeat('[]', MIB)))


@functools.cache
def nested_lists(_table: str) -> bytes:
    """Return an answer with lists nested four million deep.

    Args:
        _table: Not used.
    """
    return _answer('[' * (4 * MIB))


@functools.cache
def many_pages(table: str) -> bytes:
    """Return a page of 1 MiB that says that more pages follow.

    Args:
        table: Name of the table.
    """
    value = 'A' * 2000
    rows = ','.join(
        json.dumps({'table': table, 'key': f'k{n}', 'ver': 1, 'value': value})
        for n in range(PAGE_ROWS)
    )
    return _answer(rows, 'true')


@functools.cache
def configuration_of_lists(table: str) -> bytes:
    """Return an answer with a configuration of 750 KiB of empty lists.

    Args:
        table: Name of the table.
    """
    value = base64.b64encode(b'[' + b'[],' * (256 << 10) + b'[]]').decode()
    row = {'table': table, 'key': 'config', 'ver': VERSION, 'value': value}
    return _answer(json.dumps(row))


PAGES = (
    many_rows,
    huge_row,
    small_lists,
    nested_lists,
    many_pages,
    configuration_of_lists,
)


@attrs.define(eq=False)
class FaultyStore(store.StoreStandIn):
    """A store that answers reads as usual until it becomes faulty.

    Attributes:
        stream: Bytes that answer a read, without end.
        page: Returns the content that answers a read of a table.
        trickles: Whether a few bytes are sent at a time, with pauses.
        faulty_answers: Number of reads that were answered so.
        sending: Number of connections on which it sends without end.
    """

    stream: flood.Stream | None = None
    page: typing.Callable[[str], bytes] | None = None
    trickles: bool = False
    faulty_answers: int = 0
    sending: int = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a call to the store.

        Args:
            request: HTTP request of the call.
        """
        if request.method == 'GET' and self.stream is not None:
            self.faulty_answers += 1
            return await self._send_without_end(request)
        if request.method == 'GET' and self.page is not None:
            self.faulty_answers += 1
            content = self.page(request.query['table'])
            return web.Response(body=content, content_type='application/json')
        return await super().handle(request)

    async def _send_without_end(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        stream = self.stream
        self.sending += 1
        try:
            request.transport.write(stream.begin(b'x'))
            piece = stream.repeated if self.trickles else stream.piece()
            while not request.transport.is_closing():
                request.transport.write(piece)
                await request.protocol._drain_helper()
                await asyncio.sleep(flood.TRICKLE_S if self.trickles else 0)
        finally:
            self.sending -= 1
        raise ConnectionResetError


def _answer(rows: str, has_more: str = 'false') -> bytes:
    return (
        f'{{"rows":[{rows}],"has_more":{has_more},"ver":{VERSION},'
        '"now":"5000ms"}'
    ).encode()
