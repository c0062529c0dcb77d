"""Forwarding of requests to the issuers of their keys over peer streams."""

import asyncio
import typing
import uuid

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.claims import keys
from bulrushcourse_domain.claims import outcomes
from bulrushcourse_domain.configuration import active_configuration
from bulrushcourse_entry.callers import request_parsing
from bulrushcourse_entry.claims import dispatch
from bulrushcourse_entry.claims import gateway as claim_gateway
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_wire import key_messages

# Larger bodies would delay the heartbeats on the same stream.
MAX_FORWARDED_BYTES = 2 << 20


@attrs.define(eq=False)
class PeerIssuers:
    """Forwards requests to the issuers of their keys over peer streams.

    Attributes:
        hub: Streams to peers.
        clock: Source of time.
        pending: Peer and future of the reply, by exchange identifier.
    """

    hub: peer_hub.PeerHub
    clock: clocks.Clock
    pending: dict[str, tuple[str, asyncio.Future]] = attrs.field(factory=dict)

    def start(self) -> None:
        """Subscribe to the messages of peers."""
        self.hub.received.subscribe(self._on_message)
        self.hub.changes.subscribe(self._on_change)

    async def forward(
        self,
        key: keys.IssuedKey,
        request: dispatch.KeyedRequest,
        ask_only: bool,
    ) -> outcomes.Reply | None:
        """Return the issuer's reply, ``None`` if it is unreachable.

        Args:
            key: The key.
            request: The request with the key.
            ask_only: Whether to request only the outcome, without a run.
        """
        stream = self.hub.streams.get(key.entry)
        if stream is None or stream.hello.incarnation != key.incarnation:
            return None
        remaining_s = request.deadline - self.clock.monotonic()
        exchange = uuid.uuid4().hex
        message = _encode_forward(exchange, request, ask_only, remaining_s)
        if len(message.body) > MAX_FORWARDED_BYTES:
            return outcomes.Reply(outcomes.Outcome.UNKNOWN, 'body-too-large')
        future = asyncio.get_running_loop().create_future()
        self.pending[exchange] = (key.entry, future)
        try:
            if not self.hub.send(key.entry, message):
                return None
            async with asyncio.timeout(remaining_s):
                return await future
        except TimeoutError:
            return outcomes.Reply(outcomes.Outcome.UNKNOWN, 'under-way')
        finally:
            del self.pending[exchange]

    def _on_message(self, received: peer_hub.ReceivedMessage) -> None:
        answer = received.message
        if not isinstance(answer, key_messages.KeyAnswer):
            return
        peer, future = self.pending.get(answer.exchange, ('', None))
        if peer == received.peer and not future.done():
            future.set_result(_decode_answer(answer))

    def _on_change(self, change: peer_hub.PeerConnectionChange) -> None:
        if change.connected:
            return
        for peer, future in self.pending.values():
            if peer == change.peer and not future.done():
                future.set_result(None)


@attrs.define(eq=False)
class ForwardedKeys:
    """Serves requests that peers forward since this entry issued their keys.

    Attributes:
        hub: Streams to peers.
        gateway: Runs requests.
        configuration: Holder of the active configuration.
        clock: Source of time.
        tasks: Exchanges in progress.
    """

    hub: peer_hub.PeerHub
    gateway: claim_gateway.Gateway
    configuration: active_configuration.ActiveConfiguration
    clock: clocks.Clock
    tasks: set[asyncio.Task] = attrs.field(factory=set)

    def start(self) -> None:
        """Subscribe to the messages of peers."""
        self.hub.received.subscribe(self._on_message)

    def _on_message(self, received: peer_hub.ReceivedMessage) -> None:
        if isinstance(received.message, key_messages.KeyForward):
            task = asyncio.create_task(
                self._serve_forward(received.peer, received.message)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _serve_forward(
        self, peer: str, message: key_messages.KeyForward
    ) -> None:
        request = self._decode_request(message)
        if request is None:
            reply = outcomes.Reply(outcomes.Outcome.UNKNOWN, 'no-service')
        else:
            reply = await self.gateway.serve_own(request, message.ask_only)
        self.hub.send(peer, _encode_answer(message.exchange, reply))

    def _decode_request(
        self, message: key_messages.KeyForward
    ) -> dispatch.KeyedRequest | None:
        current = self.configuration.current
        service = current and current.services.get(message.service)
        if not service:
            return None
        deadline = self.clock.monotonic() + message.remaining_ms / 1000
        call = request_parsing.Call(
            request_id=uuid.uuid4().hex,
            service=service,
            pool=current.pools[service.pool],
            request_class=message.request_class,
            deadline=deadline,
            method=message.method,
            path=message.path,
            headers=message.headers,
            body=message.body,
            body_stream=None,
            fingerprint=request_parsing.fingerprint(
                service.name,
                message.method,
                message.path,
                message.body,
                len(message.body),
            ),
            key=message.key,
        )
        return dispatch.KeyedRequest(
            message.service, message.key, message.digest, deadline, call
        )


def _encode_forward(
    exchange: str,
    request: dispatch.KeyedRequest,
    ask_only: bool,
    remaining_s: float,
) -> key_messages.KeyForward:
    call: typing.Any = None if ask_only else request.call
    return key_messages.KeyForward(
        exchange=exchange,
        service=request.service,
        key=request.key,
        digest=request.digest,
        ask_only=ask_only,
        remaining_ms=max(int(remaining_s * 1000), 1),
        request_class=call.request_class if call else '',
        method=call.method if call else '',
        path=call.path if call else '',
        headers=call.headers if call else {},
        body=call.body if call else b'',
    )


def _encode_answer(
    exchange: str, reply: outcomes.Reply
) -> key_messages.KeyAnswer:
    answer = reply.answer
    if answer is None:
        return key_messages.KeyAnswer(
            exchange, reply.outcome.value, reply.reason
        )
    if len(answer.body) > MAX_FORWARDED_BYTES:
        unknown = outcomes.Outcome.UNKNOWN.value
        return key_messages.KeyAnswer(exchange, unknown, 'answer-too-large')
    return key_messages.KeyAnswer(
        exchange,
        reply.outcome.value,
        status=answer.status,
        headers=[list(pair) for pair in answer.headers],
        body=answer.body,
    )


def _decode_answer(message: key_messages.KeyAnswer) -> outcomes.Reply:
    outcome = outcomes.Outcome(message.outcome)
    if outcome is not outcomes.Outcome.DONE:
        return outcomes.Reply(outcome, message.reason)
    headers = tuple((name, value) for name, value in message.headers)
    return outcomes.Reply(
        outcome,
        answer=outcomes.Answer(message.status, headers, message.body),
    )
