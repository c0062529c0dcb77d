"""Client of the platform's object store."""

import asyncio
import typing

import aiohttp
import attrs

from bulrushcourse_entry import bounded_answers

# Maximum size of an object. Responses are stored as objects.
MAX_OBJECT_BYTES = 32 << 20
CALL_TIMEOUT_S = 5.0


class ObjectStoreUnavailable(Exception):
    """A call to the object store failed."""


class ObjectStore(typing.Protocol):
    """The platform's object store."""

    async def put(self, key: str, content: bytes) -> None:
        """Store an object.

        Raises:
            ObjectStoreUnavailable: If the call failed.
        """
        ...

    async def get(self, key: str) -> bytes | None:
        """Return an object, ``None`` if absent.

        Raises:
            ObjectStoreUnavailable: If the call failed.
        """
        ...

    async def delete(self, key: str) -> None:
        """Delete an object if it exists.

        Raises:
            ObjectStoreUnavailable: If the call failed.
        """
        ...


@attrs.define
class HttpObjectStore:
    """Object store over HTTP.

    Attributes:
        base: Base URL.
        session: HTTP session.
        timeout_s: Timeout of a call.
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
            ObjectStoreUnavailable: If the call failed.
        """
        await self._call('PUT', key, content)

    async def get(self, key: str) -> bytes | None:
        """Return an object, ``None`` if absent.

        Args:
            key: Key of the object.

        Raises:
            ObjectStoreUnavailable: If the call failed.
        """
        return await self._call('GET', key)

    async def delete(self, key: str) -> None:
        """Delete an object if it exists.

        Args:
            key: Key of the object.

        Raises:
            ObjectStoreUnavailable: If the call failed.
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
                    return await bounded_answers.read(
                        response, MAX_OBJECT_BYTES
                    )
        except (aiohttp.ClientError, TimeoutError) as error:
            raise ObjectStoreUnavailable(repr(error)) from error
