"""What callers and upstreams saw in a soak, and the findings about it."""

import typing

import attrs

from bulrushcourse_testkit.platform import soak_history


@attrs.frozen
class SentRequest:
    """A request as its caller saw it.

    Attributes:
        request_id: Identifier of the request.
        vm: Name of the VM.
        incarnation: Incarnation of the VM's process, 0 if it changed while
            the request was under way.
        path: Target of the request.
        prefix: Prefix of the route that it is meant for.
        account: Client account.
        repeatable: Whether it may run more than once.
        sent_at: Monotonic time in seconds before the first byte was sent.
        ended_at: Monotonic time of the response or of giving up.
        status: HTTP status, 0 without a response.
        signed: Whether the response bears an upstream's signature.
        is_own_answer: Whether a success is the upstream's complete response
            to this request.
        body_bytes: Size of its body.
        header_bytes: Size of its head.
        version: For a route that marks a version of the configuration, that
            version; 0 otherwise.
        whole_at: Monotonic time at which its last byte was sent, 0 if it was
            not sent whole.
        is_cut: Whether the connection ended without the complete response.
        deadline_s: Its deadline in seconds.
        is_behind_close: Whether it was sent behind a request whose response
            announced the end of the connection.
    """

    request_id: str
    vm: str
    incarnation: int
    path: str
    prefix: str
    account: str
    repeatable: bool
    sent_at: float
    ended_at: float
    status: int
    signed: bool = False
    is_own_answer: bool = False
    body_bytes: int = 0
    header_bytes: int = 0
    version: int = 0
    whole_at: float = 0.0
    is_cut: bool = False
    deadline_s: float = 0.0
    is_behind_close: bool = False


@attrs.frozen
class ReceivedRequest:
    """A request whose head reached an upstream.

    Attributes:
        request_id: Identifier of the request.
        upstream: Identifier of the upstream.
        address: ``ip:port`` of the upstream.
        service: Service of the upstream.
        failure_domain: Failure domain of the upstream.
        region: Region of the upstream.
        received_at: Monotonic time in seconds.
        expected: Identifier of the upstream that the request names.
        ran: Whether the upstream ran it.
        work_s: Time that a run takes, in seconds.
    """

    request_id: str
    upstream: str
    address: str
    service: str
    failure_domain: str
    region: str
    received_at: float
    expected: str
    ran: bool
    work_s: float = 0.0

    @property
    def was_misdirected(self) -> bool:
        """Whether the upstream answered 421."""
        return self.expected != self.upstream


@attrs.frozen
class Observations:
    """What callers, upstreams and the operator saw in a run.

    Attributes:
        sent: Requests of callers.
        received: Requests that reached upstreams.
        history: Configurations, evacuations and disruptions.
    """

    sent: typing.Sequence[SentRequest]
    received: typing.Sequence[ReceivedRequest]
    history: soak_history.History

    def deliveries(
        self,
    ) -> typing.Iterator[tuple[SentRequest, ReceivedRequest]]:
        """Yield each request that a caller sent with each of its arrivals."""
        requests = {request.request_id: request for request in self.sent}
        for arrival in self.received:
            if arrival.request_id in requests:
                yield requests[arrival.request_id], arrival

    def in_touch(self, request: SentRequest, last: float) -> bool:
        """Return whether the VM of a request was in touch.

        Args:
            request: The request.
            last: Monotonic time of the end in seconds.
        """
        return self.history.in_touch(request.vm, request.sent_at, last)


@attrs.frozen
class Finding:
    """A violated guarantee.

    Attributes:
        rule: Name of the rule.
        cause: What sets it apart from other findings of the rule.
        at: Monotonic time in seconds.
        details: Description of the request.
    """

    rule: str
    cause: str
    at: float
    details: str

    def __str__(self) -> str:
        return f'{self.rule} ({self.cause}): {self.details}'


Check = typing.Callable[[Observations], list[Finding]]
