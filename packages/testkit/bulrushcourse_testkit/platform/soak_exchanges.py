"""Requests of a soak's callers and their responses."""

import asyncio
import enum
import time
import typing

import attrs

from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import raw_client
from bulrushcourse_testkit.platform import soak_observations
from bulrushcourse_testkit.platform import soak_operator
from bulrushcourse_testkit.platform import soak_responses
from bulrushcourse_testkit.platform import soak_vms

PIECE_BYTES = 64 << 10


class Form(enum.Enum):
    """Form of a proper request.

    Attributes:
        PLAIN: Path in the request line, and a length if there is a body.
        CHUNKED: A body is sent in chunks.
        ABSOLUTE: The request line has the absolute form of the target.
        PADDED: With header lines that come near the smallest limit.
        OVERSIZED: With header lines that only the larger limit allows.
    """

    PLAIN = 'plain'
    CHUNKED = 'chunked'
    ABSOLUTE = 'absolute'
    PADDED = 'padded'
    OVERSIZED = 'oversized'


FORMS = (
    *(Form.PLAIN,) * 12,
    *(Form.CHUNKED,) * 4,
    Form.ABSOLUTE,
    Form.PADDED,
    Form.OVERSIZED,
)
# Header lines of about 1,000 bytes by form.
PADDING_LINES = {Form.PADDED: 7, Form.OVERSIZED: 12}


@attrs.define(eq=False)
class Exchange:
    """A request and its response.

    Attributes:
        vm: VM that it is sent to.
        request_id: Identifier of the request.
        prefix: Prefix of its route.
        account: Client account.
        size: Size of the body in bytes.
        deadline_ms: Deadline in milliseconds.
        version: Version that the route marks, 0 for other routes.
        form: Form of the request.
        incarnation: Incarnation of the VM's process when it was sent.
        sent_at: Monotonic time at which it was sent, in seconds.
        ended_at: Monotonic time of the response, 0 before it.
        response: The response, ``None`` before it.
        whole_at: Monotonic time at which its last byte was sent, 0 before.
        is_cut: Whether the connection ended without the complete response.
        is_behind_close: Whether it was sent behind a request whose response
            announced the end of the connection.
        read_pause_s: Pause of a slow reader between pieces of the response.
    """

    vm: soak_vms.SoakVm
    request_id: str
    prefix: str
    account: str
    size: int
    deadline_ms: int
    version: int
    form: Form = Form.PLAIN
    incarnation: int = attrs.field(init=False)
    sent_at: float = attrs.field(factory=time.monotonic)
    ended_at: float = 0.0
    response: raw_client.RawResponse | None = None
    whole_at: float = 0.0
    is_cut: bool = False
    is_behind_close: bool = False
    read_pause_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Note the process that the request is sent to."""
        self.incarnation = self.vm.incarnation

    @property
    def target(self) -> str:
        """Target in the request line."""
        path = f'{self.prefix}x'
        if self.form is Form.ABSOLUTE:
            return f'http://{documents.HOST}{path}'
        return path

    @property
    def head(self) -> bytes:
        """Head of the request."""
        method = 'POST' if self.size else 'GET'
        framing = f'Content-Length: {self.size}'
        if self.form is Form.CHUNKED:
            framing = 'Transfer-Encoding: chunked'
        padding = PADDING_LINES.get(self.form, 0)
        lines = (
            f'{method} {self.target} HTTP/1.1',
            f'Host: {documents.HOST}',
            f'X-Request-Id: {self.request_id}',
            f'X-Request-Deadline-Ms: {self.deadline_ms}',
            f'Api-Key: key-{self.account}',
            *(f'X-Padding-{number}: {"x" * 980}' for number in range(padding)),
            *([framing] if self.size else ()),
        )
        return '\r\n'.join((*lines, '', '')).encode()

    def body_pieces(self) -> typing.Iterator[bytes]:
        """Yield the body, framed, in pieces."""
        is_chunked = self.size and self.form is Form.CHUNKED
        for start in range(0, self.size, PIECE_BYTES):
            piece = bytes(min(PIECE_BYTES, self.size - start))
            yield (
                b'%x\r\n%s\r\n' % (len(piece), piece) if is_chunked else piece
            )
        if is_chunked:
            yield b'0\r\n\r\n'

    async def receive(self, reader: asyncio.StreamReader) -> bool:
        """Read the response; return whether the connection stays open.

        Args:
            reader: Connection.
        """
        self.response = await soak_responses.read_response(
            reader, self.read_pause_s
        )
        self.ended_at = time.monotonic()
        fields = dict(self.response.fields())
        return fields.get('connection', b'').lower() != b'close'

    def mark_cut(self, is_behind_close: bool = False) -> None:
        """Note that the connection ended, unless there is a response.

        Args:
            is_behind_close: Whether an earlier response announced it.
        """
        if self.response is None:
            self.ended_at = time.monotonic()
            self.is_cut = True
            self.is_behind_close = is_behind_close

    def result(self) -> soak_observations.SentRequest:
        """Return the request as its caller saw it."""
        response = self.response
        fields = dict(response.fields()) if response else {}
        own_body = f':{self.request_id}'.encode()
        is_same = self.incarnation == self.vm.incarnation
        return soak_observations.SentRequest(
            self.request_id,
            self.vm.vm.name,
            self.incarnation if is_same else 0,
            self.target,
            self.prefix,
            self.account,
            soak_operator.is_repeatable(self.prefix),
            self.sent_at,
            self.ended_at or time.monotonic(),
            response.status if response else 0,
            'x-server-signature' in fields,
            bool(response and response.body.endswith(own_body)),
            self.size,
            len(self.head),
            self.version,
            self.whole_at,
            self.is_cut,
            self.deadline_ms / 1000,
            self.is_behind_close,
        )
