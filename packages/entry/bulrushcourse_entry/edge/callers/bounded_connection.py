"""A client's connection whose bytes reach the HTTP parser within bounds.

aiohttp bounds single lines, but not a head, what precedes it, the overhead of
chunks, nor the requests behind the current one, and its parser keeps what it
was fed. Received bytes are therefore held back here: a head is passed on once
it is complete and within its limit, a body while its reader takes it, and the
next head after the response to the request before it. Only a few safe requests
are passed on before that, so that they are executed meanwhile.
"""

import asyncio
import collections
import enum
import typing

from aiohttp import http
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from bulrushcourse_domain.resources import connections
from bulrushcourse_entry import request_framing
from bulrushcourse_entry import sockets
from bulrushcourse_entry.edge.callers import bodies
from bulrushcourse_entry.edge.callers import connection_guard
from bulrushcourse_entry.edge.callers import pipelining
from bulrushcourse_entry.edge.callers import refused_heads
from bulrushcourse_entry.platform import headers as platform_headers

END_OF_HEAD = b'\r\n\r\n'
# Bytes of a chunked body that are passed on at once, at most.
CHUNKED_STEP_BYTES = 8 << 10
# Possible ends of a chunked body in one step of reading; beyond, the body is
# passed on without regard to them, and the connection is closed after it.
MAX_CUTS = 64
# Unread bytes of a body that the parser holds before reading is paused.
UNREAD_BODY_BYTES = 4 << 10
# Bytes of a body that nobody reads yet, passed on at once.
UNREAD_STEP_BYTES = 8 << 10
INTERNAL_ERROR = 500
# Overhead of chunks that is not counted as memory.
FREE_OVERHEAD_BYTES = 1 << 10
# Memory of trailers that are being received, for each of their bytes.
TRAILER_COPIES = 8


class Awaiting(enum.Enum):
    """What the next received bytes belong to."""

    HEAD = 'head'
    SIZED_BODY = 'sized-body'
    CHUNKED_BODY = 'chunked-body'
    RESPONSE = 'response'
    NOTHING = 'nothing'


class BoundedConnection(
    pipelining.PipeliningProtocol, asyncio.BufferedProtocol
):
    """HTTP connection of a client.

    Attributes:
        guard: Limits over all connections.
        entry: This connection in the guard's table.
        wire: Transport, kept until the connection is lost.
        awaiting: What the next received bytes belong to.
        held: Received bytes that have not been passed on.
        searched: Bytes of ``held`` without an end of the head.
        before_head: Bytes of empty lines before the head.
        body_left: Bytes of a body with a length that are still to come.
        payload: Body of the current request.
        overhead: Bytes of chunked coding since the last byte of the body.
        body_bytes: Bytes of the body when ``overhead`` was last updated.
        cuts: Possible ends of the body in this step of reading.
        last_bytes: Last bytes that were passed on of a chunked body.
        responded: Whether the current response was written.
        backlogged: Whether reading is paused until the current response.
        reads_body: Whether the handler is reading the body.
        heads: Memory of the heads that were passed on and not answered.
        is_safe: Whether the request in progress changes nothing.
        parsing: Whether the parser is being fed.
        lingering: Whether the last response is on its way and everything
            that arrives is discarded.
        closed_here: Whether this VM has closed the connection.
        caller_left: Whether the connection ended, and not by this VM.
    """

    __slots__ = (
        'guard',
        'entry',
        'wire',
        'awaiting',
        'held',
        'searched',
        'before_head',
        'body_left',
        'payload',
        'overhead',
        'body_bytes',
        'cuts',
        'last_bytes',
        'responded',
        'backlogged',
        'reads_body',
        'heads',
        'is_safe',
        'parsing',
        'lingering',
        'closed_here',
        'caller_left',
    )

    def __init__(
        self,
        manager: web.Server,
        guard: connection_guard.ConnectionGuard,
        executor: pipelining.Executor[typing.Any] | None,
        **options: typing.Any,
    ) -> None:
        super().__init__(
            manager,
            executor,
            read_bufsize=UNREAD_BODY_BYTES,
            auto_decompress=False,
            **options,
        )
        self.guard = guard
        self.entry = connections.Connection(self)
        self.wire: asyncio.Transport | None = None
        self.held = b''
        self.last_bytes = b''
        self.body_left = 0
        self.cuts = 0
        self.payload: streams.StreamReader = streams.EMPTY_PAYLOAD
        self.responded = False
        self.backlogged = False
        self.reads_body = False
        self.heads: collections.deque[int] = collections.deque()
        self.is_safe = False
        self.parsing = False
        self.lingering = False
        self.closed_here = False
        self.caller_left = False
        self._await_head()

    def _await_head(self) -> None:
        self.awaiting = Awaiting.HEAD
        self.searched = 0
        self.before_head = 0
        self.overhead = 0
        self.body_bytes = 0

    # Calls of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve a connection, or close it if there are too many.

        Args:
            transport: The connection.
        """
        self.wire = typing.cast(asyncio.Transport, transport)
        # Memory of a response is released when nothing of it is left to send.
        self.wire.set_write_buffer_limits(high=0)
        super().connection_made(transport)
        self.guard.admit(self.entry)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget a connection.

        Args:
            exc: Why it was lost.
        """
        self.guard.remove(self.entry)
        self.awaiting = Awaiting.NOTHING
        self.held = b''
        # A close by aiohttp has cleared the transport before.
        self.caller_left = self.transport is not None and not self.closed_here
        super().connection_lost(exc)
        self.wire = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to receive into.

        Args:
            sizehint: Ignored; the size bounds what one read may bring.
        """
        if self.reads_body:
            return self.guard.buffer
        return self.guard.buffer[: connection_guard.READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received bytes on as far as the limits allow.

        Args:
            nbytes: Number of received bytes in the buffer.
        """
        if self._force_close or self.awaiting is Awaiting.NOTHING:
            return
        data = bytes(self.guard.buffer[:nbytes])
        self.held = self.held + data if self.held else data
        self._pass_on()

    def pause_writing(self) -> None:
        """Record that the client does not read its response."""
        super().pause_writing()
        self.guard.table.enter(self.entry, connections.Stage.WRITING)

    def resume_writing(self) -> None:
        """Record that the client has read its response."""
        super().resume_writing()
        if self.entry.stage is connections.Stage.WRITING:
            self.guard.table.enter(self.entry, connections.Stage.SERVED)

    # Calls of aiohttp.

    def data_received(self, data: bytes) -> None:
        """Feed bytes to the parser.

        Args:
            data: The bytes, none to resume the parser.
        """
        self.parsing = True
        try:
            super().data_received(data)
        finally:
            self.parsing = False

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Continue with a body whose reader has caught up.

        Args:
            resume_parser: Whether the parser continues.
        """
        super().resume_reading(resume_parser)
        if self.parsing:
            # The parser calls this at the end of a body and can't be fed
            # until it has returned; whoever feeds it continues.
            return
        self._end_body_if_complete()
        self._end_request_if_complete()
        self._pass_on()

    def _resume_transport_reading(self) -> None:
        if not self.backlogged:
            super()._resume_transport_reading()

    async def start(self) -> None:
        """Serve the requests, then close when the last response has arrived.

        A request behind the last response would reset a closed connection, by
        which the client could lose the response (RFC 9112, section 9.6).
        """
        await super().start()
        if self.wire is not None and self.lingering:
            await sockets.close_when_delivered(self.wire)

    def _begin_lingering(self) -> None:
        """End the responses, and read on without regard to what arrives."""
        if self.wire is None or not sockets.has_undelivered_bytes(
            self.wire.get_extra_info('socket')
        ):
            return
        self.lingering = True
        self.awaiting = Awaiting.NOTHING
        self.held = b''
        self.guard.table.enter(self.entry, connections.Stage.WRITING)
        self.wire.write_eof()
        if not self.wire.is_reading():
            self.wire.resume_reading()
        # aiohttp would close it.
        self.transport = None

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response, then continue with the next request.

        Args:
            request: The request.
            resp: The response.
            start_time: Time of its start, for aiohttp's access log.
        """
        finished = await super().finish_response(request, resp, start_time)
        self.responded = True
        self._end_request_if_complete()
        self._pass_on()
        if not resp.keep_alive and self.payload.is_eof():
            self._begin_lingering()
        return finished

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that was refused unread.

        Unlike in aiohttp, it has no body and no trace is logged: clients
        choose how often this happens.

        Args:
            request: The request.
            status: Status.
            exc: Error, if any.
            message: Reason.

        Raises:
            ConnectionError: If a response was begun already.
        """
        if status == INTERNAL_ERROR and exc is not None:
            self.guard.record_error(exc)
        if request.writer.output_size > 0:
            raise ConnectionError('a response was begun')
        refused_heads.use_own_version(request)
        response = web.Response(status=status)
        if status == platform_headers.UNAVAILABLE:
            response.headers.update(
                platform_headers.encode_retry_after(
                    connection_guard.RETRY_AFTER_S
                )
            )
        response.force_close()
        return response

    def log_exception(self, *args: typing.Any, **kw: typing.Any) -> None:
        """Count an error instead of writing a trace.

        Args:
            *args: Message and its arguments.
            **kw: Options of the logger.
        """
        self.guard.record('connection-error', self.entry.stage)

    # Calls of the handler.

    @property
    def has_received_more(self) -> bool:
        """Whether bytes behind the request in progress were received."""
        return bool(self._messages or self.held)

    def begin_body(self) -> None:
        """Receive larger parts of a body, for which there is memory."""
        self.reads_body = True

    # Calls of the guard.

    def abort(self) -> None:
        """Close the connection at once; nothing more is passed on."""
        self.awaiting = Awaiting.NOTHING
        self.held = b''
        self.closed_here = True
        if self.wire is not None:
            self.wire.abort()

    def unsent_bytes(self) -> int:
        """Return how many bytes of responses the client has not taken."""
        return 0 if self.wire is None else self.wire.get_write_buffer_size()

    def refuse(self, status: int, reason: str) -> None:
        """Answer with a status after the earlier responses, then close.

        Args:
            status: Status.
            reason: Reason.
        """
        self.awaiting = Awaiting.NOTHING
        self.held = b''
        self.guard.table.try_take_head(self.entry, 0)
        self.guard.table.enter(self.entry, connections.Stage.SERVED)
        # Messages of the parser take the same way.
        error = web_protocol._ErrInfo(status, ValueError(reason), reason)
        self._messages.append((error, streams.EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # Calls of a planned stop.

    def close_if_idle(self) -> None:
        """Close the connection if nothing is unread, unanswered or unsent.

        What arrives afterwards is never read, so that no request is begun
        without an answer.
        """
        if self.wire is None:
            return
        source = self.wire.get_extra_info('socket')
        # Nobody needs the rest of a body whose request was answered.
        is_idle = (
            self.responded and self.entry.stage is connections.Stage.BODY
        ) or (
            self.guard.table.may_stop(self.entry)
            and not sockets.is_readable(source)
        )
        if is_idle and not sockets.has_undelivered_bytes(source):
            self.awaiting = Awaiting.NOTHING
            self.closed_here = True
            self.wire.close()

    def refuse_unread(self) -> None:
        """Refuse the request that is being received, if there is one."""
        stage = self.entry.stage
        if stage in connection_guard.HEAD_STAGES:
            self.refuse(platform_headers.UNAVAILABLE, bodies.STOPPING)
        elif stage is connections.Stage.BODY:
            self._fail_body(bodies.STOPPING)

    # Passing on of received bytes.

    def _pass_on(self) -> None:
        self.cuts = 0
        while self.held and not self._force_close:
            if not _STEPS[self.awaiting](self):
                return

    def _feed(self, data: bytes) -> None:
        if self.transport is not None:
            self.data_received(data)

    def _pass_head(self) -> bool:
        """Pass a complete head on; return whether to continue."""
        stripped = self.held.lstrip(b'\r\n')
        self.before_head += len(self.held) - len(stripped)
        self.held = stripped
        end = self.held.find(END_OF_HEAD, max(0, self.searched - 3))
        size = len(self.held) if end < 0 else end + len(END_OF_HEAD)
        if stripped:
            # Empty lines alone, as behind a request, begin none.
            self.guard.table.begin_head(self.entry)
        if self.before_head + size > self.guard.head_limit:
            if self.guard.may_deny():
                self._refuse(431, 'head-too-large', self.held)
            else:
                self._refuse(503, bodies.UNKNOWN_LIMITS, self.held)
            return False
        if end < 0:
            self.searched = size
            if not self.guard.try_take_head(self.entry, size):
                self._refuse(503, 'head-memory')
            return False
        head, self.held = self.held[:size], self.held[size:]
        parsed = connections.parsed_bytes(head)
        if not self.guard.try_take_head(self.entry, parsed):
            self._refuse(503, 'head-memory')
            return False
        self.heads.clear()
        self.heads.append(parsed)
        self.is_safe = pipelining.may_precede_response(head)
        self._feed(head)
        return self._begin_request(head)

    def _pass_next_head(self) -> bool:
        """Pass on a safe request that waits for a response before it.

        Returns:
            Whether there was one, so that a further one may follow.
        """
        ahead = len(self.heads) - 1
        if (
            self.pipelined is None
            or not self.is_safe
            or self._close
            or ahead >= pipelining.MAX_AHEAD
        ):
            return False
        size = self.held.find(END_OF_HEAD) + len(END_OF_HEAD)
        head = self.held[:size]
        if (
            size < len(END_OF_HEAD)
            or size > self.guard.head_limit
            or not pipelining.may_precede_response(head)
        ):
            return False
        parsed = connections.parsed_bytes(head)
        taken = sum(self.heads)
        if not self.guard.try_take_head(self.entry, taken + parsed):
            # It is passed on in its turn.
            self.guard.try_take_head(self.entry, taken)
            return False
        queued = len(self._messages)
        self.held = self.held[size:]
        self.heads.append(parsed)
        self._feed(head)
        if len(self._messages) == queued or not isinstance(
            self._messages[-1][0], http.RawRequestMessage
        ):
            # The parser has refused the head; nothing behind it is read.
            self.guard.record('malformed', self.entry.stage, head)
            self.awaiting = Awaiting.NOTHING
            self.held = b''
            return False
        self.begin_waiting()
        return True

    def _begin_request(self, head: bytes) -> bool:
        if not self._messages:
            # The parser expects more of the head.
            self.searched = 0
            self.before_head += 1
            return True
        message, self.payload = self._messages[-1]
        if not isinstance(message, http.RawRequestMessage):
            self._refuse_head(message.exc, head)
            return False
        reason = request_framing.find_unframed(
            message.method, message.headers, self.payload.is_eof()
        )
        if reason:
            # Nothing tells where the next request begins.
            self._messages.pop()
            self._refuse(request_framing.STATUSES[reason], reason, head)
            return False
        self.responded = False
        self.body_left = 0
        if self.payload.is_eof():
            self._end_body()
            return True
        self.guard.table.enter(self.entry, connections.Stage.BODY)
        self.last_bytes = b''
        if message.chunked:
            self.awaiting = Awaiting.CHUNKED_BODY
            return True
        self.body_left = int(message.headers['Content-Length'])
        self.awaiting = Awaiting.SIZED_BODY
        return True

    def _pass_sized_body(self) -> bool:
        if self._reading_paused:
            return False
        step = self.body_left if self.reads_body else UNREAD_STEP_BYTES
        part = self.held[: min(step, self.body_left)]
        self.held = self.held[len(part) :]
        self.body_left -= len(part)
        self._feed(part)
        self._end_body_if_complete()
        return True

    def _pass_chunked_body(self) -> bool:
        """Pass part of a chunked body on; return whether to continue.

        The body ends with an empty line. Parts end with one where possible,
        so that no byte of the next head is passed on with the body.
        """
        if self._reading_paused:
            return False
        part = self._next_chunked_part()
        self.held = self.held[len(part) :]
        self.last_bytes = (self.last_bytes + part)[-3:]
        queued = len(self._messages)
        self._feed(part)
        surplus = len(self._messages) > queued
        while len(self._messages) > queued:
            # An error of the parser, or a request that began in this part.
            self._messages.pop()
        if self.payload.is_eof():
            if surplus or self.last_bytes != END_OF_HEAD[-3:]:
                # Part of what follows is in the parser already.
                self.close()
            self._end_body()
            return True
        if surplus:
            self._refuse_body(bodies.MALFORMED)
            return False
        return self._check_overhead(len(part))

    def _next_chunked_part(self) -> bytes:
        part = self.held[:CHUNKED_STEP_BYTES]
        ended = (self.last_bytes + part).find(END_OF_HEAD)
        self.cuts += 1
        if ended < 0 or self.cuts > MAX_CUTS:
            return part
        return part[: ended + len(END_OF_HEAD) - len(self.last_bytes)]

    def _check_overhead(self, size: int) -> bool:
        """Count what was received beside the body; return whether to go on."""
        self.overhead += size
        if self._reading_paused:
            # The parser has not taken all of it yet.
            return True
        if self.payload.total_bytes > self.body_bytes:
            self.body_bytes = self.payload.total_bytes
            self.overhead = 0
        if self.overhead > self.guard.head_limit:
            self._refuse_body(
                'chunk-overhead',
                bodies.MALFORMED
                if self.guard.may_deny()
                else bodies.UNKNOWN_LIMITS,
            )
            return False
        if self.overhead <= FREE_OVERHEAD_BYTES:
            return True
        # The parser keeps trailers like the lines of a head.
        taken = max(self.entry.head_bytes, TRAILER_COPIES * self.overhead)
        if not self.guard.try_take_head(self.entry, taken):
            self._refuse_body('head-memory', bodies.NO_MEMORY)
            return False
        return True

    def _end_body_if_complete(self) -> None:
        in_body = (Awaiting.SIZED_BODY, Awaiting.CHUNKED_BODY)
        if self.awaiting in in_body and self.payload.is_eof():
            self._end_body()

    def _end_body(self) -> None:
        self.reads_body = False
        self.awaiting = Awaiting.RESPONSE
        if self.entry.stage is not connections.Stage.WRITING:
            self.guard.table.enter(self.entry, connections.Stage.SERVED)
        # The response may have preceded the end of the body.
        self._end_request_if_complete()

    def _end_request_if_complete(self) -> None:
        """Continue with the next head after the response and the body."""
        if self.awaiting is Awaiting.RESPONSE and self.responded:
            self.heads.popleft()
            self.guard.table.try_take_head(self.entry, sum(self.heads))
            if self.heads:
                # The next request is in progress.
                self.responded = False
                self._resume_if_drained()
                return
            if self._close or self._force_close:
                self.awaiting = Awaiting.NOTHING
                return
            self._decline_upgrade()
            self._await_head()
            self.guard.table.enter(self.entry, connections.Stage.KEPT)
            self._resume_if_drained()

    def _decline_upgrade(self) -> None:
        """Keep to HTTP/1.1 after a request that offered another protocol.

        aiohttp does so with the response, but its parser accepts the offer at
        the end of the body, which may come later.
        """
        if self._upgraded and self._parser is not None:
            self._parser.set_upgraded(False)
            self._upgraded = False

    def _resume_if_drained(self) -> None:
        """Resume reading after a backlog of pipelined requests."""
        if self.backlogged:
            self.backlogged = False
            if not self._reading_paused:
                super()._resume_transport_reading()

    def _wait_for_response(self) -> bool:
        if self._pass_next_head():
            return True
        if len(self.held) >= connection_guard.READ_BYTES:
            self.backlogged = True
            self._pause_transport_reading()
        return False

    def _discard(self) -> bool:
        self.held = b''
        return False

    def _refuse_head(self, error: BaseException, head: bytes) -> None:
        """Answer a head that the parser has refused, with its reason."""
        reason = refused_heads.classify(error, head)
        self._messages.pop()
        self._refuse(request_framing.STATUSES[reason], reason, head)

    def _refuse(self, status: int, reason: str, head: bytes = b'') -> None:
        self.guard.record(reason, self.entry.stage, head)
        self.refuse(status, reason)

    def _refuse_body(self, reason: str, answer: str = '') -> None:
        """End a request whose body is refused; nothing was passed on.

        Args:
            reason: Reason for the log.
            answer: Reason by which the request is answered, if another one.
        """
        self.guard.record(reason, self.entry.stage)
        self._fail_body(answer or reason)

    def _fail_body(self, reason: str) -> None:
        self.awaiting = Awaiting.NOTHING
        self.held = b''
        if not self.payload.is_eof():
            self.payload.set_exception(bodies.BodyRefused(reason))
        self.close()


_STEPS: typing.Mapping[
    Awaiting, typing.Callable[[BoundedConnection], bool]
] = {
    Awaiting.HEAD: BoundedConnection._pass_head,
    Awaiting.SIZED_BODY: BoundedConnection._pass_sized_body,
    Awaiting.CHUNKED_BODY: BoundedConnection._pass_chunked_body,
    Awaiting.RESPONSE: BoundedConnection._wait_for_response,
    Awaiting.NOTHING: BoundedConnection._discard,
}
