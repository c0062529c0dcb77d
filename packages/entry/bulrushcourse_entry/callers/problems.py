"""Answers that say what went wrong, as problem details in JSON."""

import enum
import json

import attrs
from aiohttp import web

OUTCOME_HEADER = 'Bulrushcourse-Outcome'


class Outcome(enum.Enum):
    """What a caller is told of its request."""

    DONE = 'done'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@attrs.frozen
class Problem:
    """A request that was not answered by an upstream.

    Attributes:
        status: HTTP status.
        code: Stable identifier of the problem.
        detail: What went wrong.
        outcome: What is known of the request.
        retry_after_s: When to try again, 0 for never.
    """

    status: int
    code: str
    detail: str
    outcome: Outcome
    retry_after_s: int = 0

    def response(self) -> web.Response:
        """Return the HTTP response that reports the problem."""
        headers = {OUTCOME_HEADER: self.outcome.value}
        if self.retry_after_s:
            headers['Retry-After'] = str(self.retry_after_s)
        body = {
            'type': f'urn:bulrushcourse:problem:{self.code}',
            'title': self.code,
            'status': self.status,
            'detail': self.detail,
            'outcome': self.outcome.value,
        }
        return web.Response(
            status=self.status,
            headers=headers,
            text=json.dumps(body),
            content_type='application/problem+json',
        )


def not_run(
    status: int, code: str, detail: str, retry_after_s: int = 0
) -> Problem:
    """Return a problem whose request did not run.

    Args:
        status: HTTP status.
        code: Stable identifier of the problem.
        detail: What went wrong.
        retry_after_s: When to try again, 0 for never.

    Examples:
        >>> not_run(404, 'no-service', 'no such service').outcome.value
        'not-run'
    """
    return Problem(status, code, detail, Outcome.NOT_RUN, retry_after_s)
