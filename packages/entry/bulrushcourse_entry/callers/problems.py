"""Error responses as JSON problem details (RFC 9457)."""

import enum
import json

import attrs
from aiohttp import web

OUTCOME_HEADER = 'Bulrushcourse-Outcome'


class Outcome(enum.Enum):
    """Outcome of a request as reported to its caller."""

    DONE = 'done'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@attrs.frozen
class Problem:
    """Error response to a request that no upstream answered.

    Attributes:
        status: HTTP status.
        code: Stable identifier of the problem.
        detail: Description for people.
        outcome: Whether the request ran, as far as is known.
        retry_after_s: Retry-After delay, 0 to omit the header.
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
    """Return a problem for a request that did not run.

    Args:
        status: HTTP status.
        code: Stable identifier of the problem.
        detail: Description for people.
        retry_after_s: Retry-After delay, 0 to omit the header.

    Examples:
        >>> not_run(404, 'no-service', 'no such service').outcome.value
        'not-run'
    """
    return Problem(status, code, detail, Outcome.NOT_RUN, retry_after_s)
