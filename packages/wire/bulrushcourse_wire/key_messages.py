"""Messages that carry a request with an issued key to its issuer."""

import attrs

from bulrushcourse_wire import messages


@messages.message('key_forward')
class KeyForward:
    """A request, or a question about it, for the issuer of its key.

    Attributes:
        exchange: Identifier of the exchange, unique for the sender.
        service: Name of the service.
        key: The issued key.
        digest: Digest of the request.
        ask_only: Whether only the outcome is asked for.
        remaining_ms: Milliseconds until the deadline.
        request_class: Name of the request's class.
        method: HTTP method.
        path: Path with query.
        headers: Headers to pass on.
        body: Whole body.
    """

    exchange: str
    service: str
    key: str
    digest: str
    ask_only: bool
    remaining_ms: int
    request_class: str = ''
    method: str = ''
    path: str = ''
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b''


@messages.message('key_answer')
class KeyAnswer:
    """What the issuer says of a key.

    Attributes:
        exchange: Identifier of the exchange.
        outcome: ``done``, ``not-run`` or ``unknown``.
        reason: Why there is no answer; empty with one.
        status: HTTP status of the run's answer, 0 without one.
        headers: Headers of the run's answer as name and value.
        body: Content of the run's answer.
    """

    exchange: str
    outcome: str
    reason: str = ''
    status: int = 0
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    body: bytes = b''
