"""HTTP client for the operators' API of entries."""

import asyncio
import pathlib
import typing

import aiohttp
import attrs

from bulrushcourse_ctl import exits

# Longer than a publish takes at an entry whose store does not respond.
CALL_TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 2.0


@attrs.frozen
class Response:
    """Response of an entry.

    Attributes:
        status: HTTP status.
        body: Decoded JSON body.
    """

    status: int
    body: typing.Any

    @property
    def is_success(self) -> bool:
        """Whether the entry carried out the request."""
        return self.status < 300


@attrs.frozen
class OperatorsClient:
    """Sends each request to the first reachable entry.

    Attributes:
        addresses: ``ip:port`` of operators' listeners, tried in this order.
        token: Bearer token.
    """

    addresses: tuple[str, ...]
    token: str = attrs.field(repr=False)

    def request(
        self, method: str, path: str, body: typing.Any = None
    ) -> Response:
        """Send a request to the first reachable entry.

        Exits with ``UNREACHABLE`` if there is none.

        Args:
            method: HTTP method.
            path: Path, with query if any.
            body: Value to send as JSON.
        """
        return asyncio.run(self._request(method, path, body))

    def fetch(self, path: str) -> typing.Any:
        """Return the JSON body of a GET; exit if the entry refuses it.

        Args:
            path: Path, with query if any.
        """
        response = self.request('GET', path)
        if not response.is_success:
            exits.fail(
                exits.ExitCode.UNREACHABLE
                if response.status >= 500
                else exits.ExitCode.REFUSED,
                describe_error(response),
            )
        return response.body

    async def _request(
        self, method: str, path: str, body: typing.Any
    ) -> Response:
        errors = []
        timeout = aiohttp.ClientTimeout(
            CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S
        )
        headers = {'Authorization': f'Bearer {self.token}'}
        async with aiohttp.ClientSession(
            timeout=timeout, headers=headers
        ) as session:
            for address in self.addresses:
                try:
                    async with session.request(
                        method, f'http://{address}{path}', json=body
                    ) as response:
                        content = await response.json(content_type=None)
                        return Response(response.status, content)
                except (
                    aiohttp.ClientError,
                    TimeoutError,
                    ValueError,
                ) as error:
                    errors.append(f'{address}: {error!r}')
        exits.fail(
            exits.ExitCode.UNREACHABLE,
            'no entry is reachable:\n' + '\n'.join(errors),
        )


def open_client(addresses: list[str], token_file: str) -> OperatorsClient:
    """Return a client; exit with ``BAD_INPUT`` if an option is unusable.

    Args:
        addresses: ``ip:port`` of operators' listeners.
        token_file: File with the bearer token.
    """
    if not addresses:
        exits.fail(
            exits.ExitCode.BAD_INPUT,
            'no entry given: use --entry or BULRUSHCTL_ENTRIES',
        )
    try:
        token = pathlib.Path(token_file).read_text(encoding='utf-8').strip()
    except OSError as error:
        exits.fail(
            exits.ExitCode.BAD_INPUT, f'cannot read the token file: {error}'
        )
    return OperatorsClient(tuple(addresses), token)


def describe_error(response: Response) -> str:
    """Return the problem details of an error response as one line.

    Args:
        response: Response with an error status.

    Examples:
        >>> describe_error(Response(404, {'title': 'x', 'detail': 'gone'}))
        'x: gone'
    """
    if not isinstance(response.body, dict):
        return f'status {response.status}'
    title = response.body.get('title', f'status {response.status}')
    return f'{title}: {response.body.get("detail", "")}'
