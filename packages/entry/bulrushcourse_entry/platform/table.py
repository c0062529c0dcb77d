"""Client of the platform's transactional table service."""

import asyncio
import enum
import json
import typing
import urllib.parse

import aiohttp
import attrs

from bulrushcourse_entry import bounded_answers

# Maximum size of an answer.
MAX_ANSWER_BYTES = 16 << 20
CALL_TIMEOUT_S = 2.0


class WriteResult(enum.Enum):
    """Result of a transaction, as far as it is known."""

    COMMITTED = 'committed'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


class TableUnavailable(Exception):
    """A call to the table service failed."""


@attrs.frozen
class Row:
    """A row of the table.

    Attributes:
        version: Increases with each write; 0 stands for an absent row.
        value: JSON value.
    """

    version: int
    value: typing.Any


@attrs.frozen
class Write:
    """One write of a transaction.

    Attributes:
        key: Key of the row.
        value: New JSON value; ``None`` deletes the row.
        expected: Version that the row must have, 0 for absent.
    """

    key: str
    value: typing.Any
    expected: int


class Table(typing.Protocol):
    """The platform's table service.

    Attributes:
        reachable: Whether the last call succeeded.
    """

    reachable: bool

    async def get(self, key: str) -> Row | None:
        """Return a row, ``None`` if absent.

        Raises:
            TableUnavailable: If the call failed.
        """
        ...

    async def transact(self, writes: typing.Sequence[Write]) -> WriteResult:
        """Apply all writes or none."""
        ...


class TableScanner(typing.Protocol):
    """Lists the rows of the table service."""

    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> tuple[tuple[str, Row], ...]:
        """Return rows with their keys, in the order of the keys.

        Raises:
            TableUnavailable: If the call failed.
        """
        ...


@attrs.define
class HttpTable:
    """Table service over HTTP with JSON.

    Attributes:
        base: Base URL.
        session: HTTP session.
        reachable: Whether the last call succeeded.
        timeout_s: Timeout of a call.
    """

    base: str
    session: aiohttp.ClientSession
    reachable: bool = False
    timeout_s: float = CALL_TIMEOUT_S

    async def get(self, key: str) -> Row | None:
        """Return a row, ``None`` if absent.

        Args:
            key: Key of the row.

        Raises:
            TableUnavailable: If the call failed.
        """
        try:
            row = await self._call('GET', f'rows/{key}')
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise TableUnavailable(repr(error)) from error
        if not row['version']:
            return None
        return Row(row['version'], row['value'])

    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> tuple[tuple[str, Row], ...]:
        """Return rows with their keys, in the order of the keys.

        Args:
            prefix: Prefix of the keys.
            after: Key after which the rows begin.
            limit: Largest number of rows.

        Raises:
            TableUnavailable: If the call failed.
        """
        query = urllib.parse.urlencode({'after': after, 'limit': limit})
        try:
            rows = await self._call('GET', f'scan/{prefix}?{query}')
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise TableUnavailable(repr(error)) from error
        return tuple(
            (row['key'], Row(row['version'], row['value'])) for row in rows
        )

    async def transact(self, writes: typing.Sequence[Write]) -> WriteResult:
        """Apply all writes or none.

        Args:
            writes: Writes with the versions that they expect.

        Returns:
            ``UNKNOWN`` if the call failed; the writes may have taken effect.
        """
        body = [attrs.asdict(write) for write in writes]
        try:
            reply = await self._call('POST', 'transact', body)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return WriteResult.UNKNOWN
        return WriteResult(reply['result'])

    async def _call(
        self, method: str, path: str, body: typing.Any = None
    ) -> typing.Any:
        succeeded = False
        try:
            async with asyncio.timeout(self.timeout_s):
                async with self.session.request(
                    method, f'{self.base}/{path}', json=body
                ) as response:
                    response.raise_for_status()
                    content = json.loads(
                        await bounded_answers.read(response, MAX_ANSWER_BYTES)
                    )
            succeeded = True
            return content
        except RecursionError as error:
            raise ValueError('response is nested too deeply') from error
        finally:
            self.reachable = succeeded
