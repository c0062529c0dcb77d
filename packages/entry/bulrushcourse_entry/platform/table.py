"""Client of the transactional table service."""

import asyncio
import enum
import json
import typing
import urllib.parse

import aiohttp
import attrs

CALL_TIMEOUT_S = 2.0


class WriteResult(enum.Enum):
    """What is known of a write."""

    COMMITTED = 'committed'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


class TableUnavailable(Exception):
    """The table service did not answer."""


@attrs.frozen
class Row:
    """A row of the table.

    Attributes:
        version: Grows with each write; 0 stands for an absent row.
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
        reachable: Whether the last call was answered.
    """

    reachable: bool

    async def get(self, key: str) -> Row | None:
        """Return a row, ``None`` if absent.

        Raises:
            TableUnavailable: If there was no answer.
        """
        ...

    async def transact(self, writes: typing.Sequence[Write]) -> WriteResult:
        """Apply all writes or none."""
        ...


class Scanner(typing.Protocol):
    """Lists rows of the table."""

    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> tuple[tuple[str, Row], ...]:
        """Return rows by key, in order of their keys.

        Raises:
            TableUnavailable: If there was no answer.
        """
        ...


@attrs.define
class HttpTable:
    """Table service over HTTP with JSON.

    Attributes:
        base: Base URL.
        session: HTTP session.
        reachable: Whether the last call was answered.
        timeout_s: Longest time to wait for an answer.
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
            TableUnavailable: If there was no answer.
        """
        try:
            answer = await self._call('GET', f'rows/{key}')
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise TableUnavailable(repr(error)) from error
        if not answer['version']:
            return None
        return Row(answer['version'], answer['value'])

    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> tuple[tuple[str, Row], ...]:
        """Return rows by key, in order of their keys.

        Args:
            prefix: Beginning of the keys.
            after: Rows up to this key are left out.
            limit: Largest number of rows.

        Raises:
            TableUnavailable: If there was no answer.
        """
        query = urllib.parse.urlencode({'after': after, 'limit': limit})
        try:
            found = await self._call('GET', f'scan/{prefix}?{query}')
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise TableUnavailable(repr(error)) from error
        return tuple(
            (row['key'], Row(row['version'], row['value'])) for row in found
        )

    async def transact(self, writes: typing.Sequence[Write]) -> WriteResult:
        """Apply all writes or none.

        Args:
            writes: Writes with the versions that they expect.

        Returns:
            ``UNKNOWN`` if no answer came; the writes may have taken effect.
        """
        body = [attrs.asdict(write) for write in writes]
        try:
            answer = await self._call('POST', 'transact', body)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return WriteResult.UNKNOWN
        return WriteResult(answer['result'])

    async def _call(
        self, method: str, path: str, body: typing.Any = None
    ) -> typing.Any:
        self_reachable = False
        try:
            async with asyncio.timeout(self.timeout_s):
                async with self.session.request(
                    method, f'{self.base}/{path}', json=body
                ) as response:
                    response.raise_for_status()
                    answer = json.loads(await response.text())
            self_reachable = True
            return answer
        finally:
            self.reachable = self_reachable
