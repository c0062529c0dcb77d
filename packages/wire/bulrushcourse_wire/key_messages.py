"""Messages that forward a request with an issued key to the key's issuer."""

import attrs

from bulrushcourse_wire import messages


@messages.message('key_forward')
class KeyForward:
    """A request, or a query for its outcome, for the issuer of its key.

    Attributes:
        exchange: Identifier of the exchange, unique per sender.
        service: Name of the service.
        key: The issued key.
        digest: Digest of the request.
        ask_only: Whether only the outcome is requested.
        remaining_ms: Milliseconds until the deadline.
        request_class: Name of the request's class.
        method: HTTP method.
        path: Path with query.
        headers: Headers to forward.
        body: Complete body.
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
    """The issuer's reply about a key.

    Attributes:
        exchange: Identifier of the exchange.
        outcome: ``done``, ``not-run`` or ``unknown``.
        reason: Why there is no response; empty if there is one.
        status: HTTP status of the run's response, 0 without one.
        headers: Names and values of the headers of the run's response.
        body: Body of the run's response.
    """

    exchange: str
    outcome: str
    reason: str = ''
    status: int = 0
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    body: bytes = b''
