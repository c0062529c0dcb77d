"""Client of the operators' listeners of entries."""

import asyncio
import pathlib
import typing

import aiohttp
import attrs

from bulrushcourse_ctl import exits

# Longer than a publish through an entry whose store does not answer.
CALL_TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 2.0


@attrs.frozen
class Answer:
    """An entry's answer.

    Attributes:
        status: HTTP status.
        body: JSON value.
    """

    status: int
    body: typing.Any

    @property
    def is_done(self) -> bool:
        """Whether the entry did what was asked."""
        return self.status < 300


@attrs.frozen
class OperatorsClient:
    """Calls the first entry that can be reached.

    Attributes:
        addresses: ``ip:port`` of operators' listeners, in order of trial.
        token: Bearer token.
    """

    addresses: tuple[str, ...]
    token: str = attrs.field(repr=False)

    def call(self, method: str, path: str, body: typing.Any = None) -> Answer:
        """Return the answer of the first entry that can be reached.

        Args:
            method: HTTP method.
            path: Path with its query.
            body: JSON value to send.
        """
        return asyncio.run(self._call(method, path, body))

    def fetch(self, path: str) -> typing.Any:
        """Return what an entry tells, or end the command.

        Args:
            path: Path with its query.
        """
        answer = self.call('GET', path)
        if not answer.is_done:
            exits.fail(
                exits.ExitCode.UNREACHABLE
                if answer.status >= 500
                else exits.ExitCode.REFUSED,
                describe_refusal(answer),
            )
        return answer.body

    async def _call(self, method: str, path: str, body: typing.Any) -> Answer:
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
                        return Answer(response.status, content)
                except (
                    aiohttp.ClientError,
                    TimeoutError,
                    ValueError,
                ) as error:
                    errors.append(f'{address}: {error!r}')
        exits.fail(
            exits.ExitCode.UNREACHABLE,
            'no entry can be reached:\n' + '\n'.join(errors),
        )


def open_client(addresses: list[str], token_file: str) -> OperatorsClient:
    """Return a client, or end the command if the token cannot be read.

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
        exits.fail(exits.ExitCode.BAD_INPUT, f'token file: {error}')
    return OperatorsClient(tuple(addresses), token)


def describe_refusal(answer: Answer) -> str:
    """Return a refusal in words.

    Args:
        answer: An answer that is not done.

    Examples:
        >>> describe_refusal(Answer(404, {'title': 'x', 'detail': 'gone'}))
        'x: gone'
    """
    if not isinstance(answer.body, dict):
        return f'status {answer.status}'
    title = answer.body.get('title', f'status {answer.status}')
    return f'{title}: {answer.body.get("detail", "")}'
