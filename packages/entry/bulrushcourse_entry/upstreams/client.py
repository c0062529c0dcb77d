"""HTTP client of upstream instances."""

import asyncio
import enum
import typing

import aiohttp
import attrs
import multidict
from returns import result

from bulrushcourse_domain.configuration import objects
from bulrushcourse_entry.upstreams import sessions

DEADLINE_HEADER = 'Bulrushcourse-Deadline-Ms'
CONNECT_TIMEOUT_S = 1.0
MAX_PREFIX_BYTES = 64 << 10
CHUNK_BYTES = 16 << 10
# Charged to a link for the request line and headers.
HEADER_CHARGE_BYTES = 512


class Failure(enum.Enum):
    """How a request to an instance failed.

    ``NOT_SENT``, ``SHED``, ``NO_SHARE`` and ``MISDIRECTED`` prove that the
    request did not run. So do ``UNPROVEN``, not sent since the address may
    have passed to another instance, and ``OUTDATED``, not sent since the
    choice of the instance no longer held when a connection was open.
    ``FOREIGN``, a response that belongs to another request, proves nothing,
    and neither does ``STALE``, the reset of a reused connection that the
    instance has apparently dropped.
    """

    NOT_SENT = 'not-sent'
    SHED = 'shed'
    NO_SHARE = 'no-share'
    LOST = 'lost'
    TRUNCATED = 'truncated'
    DEADLINE = 'deadline'
    MISDIRECTED = 'misdirected'
    UNPROVEN = 'unproven-address'
    OUTDATED = 'outdated-choice'
    FOREIGN = 'foreign'
    STALE = 'stale'


class LinkThrottle(typing.Protocol):
    """Charges bytes to the link between this entry and an instance."""

    async def send(self, size: int) -> None:
        """Wait until the link admits bytes to the instance."""
        ...

    async def receive(self, size: int) -> None:
        """Wait until the link admits bytes from the instance."""
        ...


@attrs.frozen
class UpstreamRequest:
    """A request to an instance.

    Attributes:
        method: HTTP method.
        path: Path and query.
        headers: Headers to forward.
        body: Body, or its beginning if ``body_stream`` is given.
        body_stream: Remaining chunks of the body.
        remaining_s: Seconds until the deadline.
        idempotent: Whether the request may run more than once.
        throttle: Throttle of the link to the instance, ``None`` within a
            region.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    body_stream: typing.AsyncIterator[bytes] | None
    remaining_s: float
    idempotent: bool
    throttle: LinkThrottle | None = None

    async def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yield the chunks of the body, each when the link admits it."""
        for start in range(0, len(self.body), CHUNK_BYTES):
            yield await self._throttle(self.body[start : start + CHUNK_BYTES])
        if self.body_stream is not None:
            async for chunk in self.body_stream:
                yield await self._throttle(chunk)

    async def _throttle(self, chunk: bytes) -> bytes:
        if self.throttle is not None:
            await self.throttle.send(len(chunk))
        return chunk


@attrs.define
class UpstreamResponse:
    """A response whose headers and first bytes have arrived.

    Attributes:
        status: HTTP status.
        headers: Headers of the response.
        prefix: First bytes of the body.
        complete: Whether ``prefix`` is the whole body.
        response: Where the rest of the body is read from.
        throttle: Throttle of the link from the instance, ``None`` within a
            region.
    """

    status: int
    headers: multidict.CIMultiDictProxy[str]
    prefix: bytes
    complete: bool
    response: aiohttp.ClientResponse
    throttle: LinkThrottle | None = None

    async def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yield the rest of the body after ``prefix``.

        Raises:
            aiohttp.ClientError: If the response is truncated.
        """
        if not self.complete:
            async for chunk in self.response.content.iter_chunked(CHUNK_BYTES):
                if self.throttle is not None:
                    await self.throttle.receive(len(chunk))
                yield chunk

    def close(self) -> None:
        """Close the connection, which cancels the request."""
        self.response.close()


@attrs.define
class UpstreamClient:
    """Sends requests to instances.

    Attributes:
        pooled: Session that reuses connections, for idempotent requests.
        fresh: Session that opens a connection for each request. If a reused
            connection breaks, it is unknown whether the request ran.
    """

    pooled: aiohttp.ClientSession
    fresh: aiohttp.ClientSession

    async def send(
        self,
        instance: objects.Instance,
        request: UpstreamRequest,
        not_run_header: str = '',
    ) -> result.Result[UpstreamResponse, Failure]:
        """Send a request and return the beginning of its response.

        Args:
            instance: The instance to send it to.
            request: The request.
            not_run_header: Response header that proves that the request was
                shed and did not run.
        """
        response = None
        try:
            async with asyncio.timeout(request.remaining_s):
                response = await self._request(instance, request)
                if not_run_header and not_run_header in response.headers:
                    response.release()
                    return result.Failure(Failure.SHED)
                prefix, complete = await _read_prefix(
                    response.content, request.throttle
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            # There was no connection, so no byte of the request was sent.
            return result.Failure(Failure.NOT_SENT)
        except TimeoutError:
            _close(response)
            return result.Failure(Failure.DEADLINE)
        except (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError):
            _close(response)
            failure = Failure.TRUNCATED if response else Failure.LOST
            return result.Failure(failure)
        except (aiohttp.ClientError, OSError):
            _close(response)
            return result.Failure(Failure.LOST)
        except asyncio.CancelledError:
            _close(response)
            raise
        return result.Success(
            UpstreamResponse(
                response.status,
                response.headers,
                prefix,
                complete,
                response,
                request.throttle,
            )
        )

    async def _request(
        self, instance: objects.Instance, request: UpstreamRequest
    ) -> aiohttp.ClientResponse:
        headers = dict(request.headers)
        streamed = request.body_stream is not None or (
            request.throttle is not None and request.body
        )
        if request.throttle is not None:
            await request.throttle.send(HEADER_CHARGE_BYTES)
            if request.body_stream is None and request.body:
                headers['Content-Length'] = str(len(request.body))
        headers[DEADLINE_HEADER] = str(int(request.remaining_s * 1000))
        session = self.pooled if request.idempotent else self.fresh
        return await session.request(
            request.method,
            f'http://{instance.address}{request.path}',
            headers=headers,
            data=request.chunks() if streamed else request.body or None,
            allow_redirects=False,
        )


def open_client(connections_per_instance: int) -> UpstreamClient:
    """Return a client; call it inside a running event loop.

    Args:
        connections_per_instance: Maximum number of connections of this entry
            to one instance.
    """
    pooled, fresh = (
        sessions.open_session(
            connections_per_instance, fresh, CONNECT_TIMEOUT_S
        )
        for fresh in (False, True)
    )
    return UpstreamClient(pooled, fresh)


async def close_client(client: UpstreamClient) -> None:
    """Close all connections of a client.

    Args:
        client: The client to close.
    """
    await client.pooled.close()
    await client.fresh.close()


def _close(response: aiohttp.ClientResponse | None) -> None:
    if response is not None:
        response.close()


async def _read_prefix(
    content: aiohttp.StreamReader, throttle: LinkThrottle | None
) -> tuple[bytes, bool]:
    chunks = bytearray()
    while len(chunks) < MAX_PREFIX_BYTES:
        chunk = await content.read(
            min(CHUNK_BYTES, MAX_PREFIX_BYTES - len(chunks))
        )
        if not chunk and content.at_eof():
            return bytes(chunks), True
        if throttle is not None:
            await throttle.receive(len(chunk))
        chunks += chunk
    return bytes(chunks), content.at_eof()
