"""Client of the platform's object store."""

import asyncio
import typing

import aiohttp
import attrs

CALL_TIMEOUT_S = 5.0


class ObjectsUnavailable(Exception):
    """The object store did not answer."""


class ObjectStore(typing.Protocol):
    """The platform's object store."""

    async def put(self, key: str, content: bytes) -> None:
        """Store an object.

        Raises:
            ObjectsUnavailable: If there was no answer.
        """
        ...

    async def get(self, key: str) -> bytes | None:
        """Return an object, ``None`` if absent.

        Raises:
            ObjectsUnavailable: If there was no answer.
        """
        ...

    async def delete(self, key: str) -> None:
        """Delete an object if it is there.

        Raises:
            ObjectsUnavailable: If there was no answer.
        """
        ...


@attrs.define
class HttpObjectStore:
    """Object store over HTTP.

    Attributes:
        base: Base URL.
        session: HTTP session.
        timeout_s: Longest time to wait for an answer.
    """

    base: str
    session: aiohttp.ClientSession
    timeout_s: float = CALL_TIMEOUT_S

    async def put(self, key: str, content: bytes) -> None:
        """Store an object.

        Args:
            key: Key of the object.
            content: Its content.

        Raises:
            ObjectsUnavailable: If there was no answer.
        """
        await self._call('PUT', key, content)

    async def get(self, key: str) -> bytes | None:
        """Return an object, ``None`` if absent.

        Args:
            key: Key of the object.

        Raises:
            ObjectsUnavailable: If there was no answer.
        """
        return await self._call('GET', key)

    async def delete(self, key: str) -> None:
        """Delete an object if it is there.

        Args:
            key: Key of the object.

        Raises:
            ObjectsUnavailable: If there was no answer.
        """
        await self._call('DELETE', key)

    async def _call(
        self, method: str, key: str, content: bytes | None = None
    ) -> bytes | None:
        try:
            async with asyncio.timeout(self.timeout_s):
                async with self.session.request(
                    method, f'{self.base}/{key}', data=content
                ) as response:
                    if response.status == 404:
                        return None
                    response.raise_for_status()
                    return await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise ObjectsUnavailable(repr(error)) from error
