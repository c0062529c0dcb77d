"""Faults of the stand-in of an upstream."""

import enum
import typing

from bulrushcourse_testkit.platform import endless


class Fault(enum.Enum):
    """Fault that an upstream simulates.

    Attributes:
        NONE: No fault.
        EXTRA_ANSWER: A stray response follows each response.
        UNFRAMED: A response has no length and ends with its connection.
        UNFRAMED_RESET: Like ``UNFRAMED``, but truncated by a reset.
        CUT: The connection closes before the end of the response.
        LOSE_ANSWER: The connection is aborted after the request ran.
        SHED: Requests get status 503 with the not-run header.
        ERROR: Responses have status 500.
        SILENT: Requests get no response.
        LATE_COPY: Each response on a reused connection follows a second copy
            of the response before it.
        REFUSAL_COPY: The first request on a connection is shed; each later
            one runs, and its response follows a copy of that refusal.
        NAMELESS_REFUSAL_COPY: The same, and refusals name no request.
        HEAD_CUT: The connection closes before the end of the response's head.
        ENDLESS_HEAD: Responses never end, like in the other faults with this
            prefix; see ``endless`` for each.
        ENDLESS_IDLE: Bytes without end follow each response.
    """

    NONE = 'none'
    EXTRA_ANSWER = 'extra-answer'
    UNFRAMED = 'unframed'
    UNFRAMED_RESET = 'unframed-reset'
    CUT = 'cut'
    LOSE_ANSWER = 'lose-answer'
    SHED = 'shed'
    ERROR = 'error'
    SILENT = 'silent'
    LATE_COPY = 'late-copy'
    REFUSAL_COPY = 'refusal-copy'
    NAMELESS_REFUSAL_COPY = 'nameless-refusal-copy'
    HEAD_CUT = 'head-cut'
    ENDLESS_HEAD = 'endless-head'
    ENDLESS_FIELDS = 'endless-fields'
    ENDLESS_BODY = 'endless-body'
    ENDLESS_CHUNKS = 'endless-chunks'
    ENDLESS_EXTENSIONS = 'endless-extensions'
    ENDLESS_TRAILERS = 'endless-trailers'
    ENDLESS_INTERIM = 'endless-interim'
    ENDLESS_IDLE = 'endless-idle'


# What is sent of a response before its connection closes.
PARTS: typing.Mapping[Fault, typing.Callable[[bytes], bytes]] = {
    Fault.CUT: lambda response: response[:-3],
    Fault.HEAD_CUT: lambda response: response[
        : response.index(b'\r\n\r\n') - 1
    ],
}
# Faults with a copy of an earlier response before a response.
COPYING = (
    Fault.LATE_COPY,
    Fault.REFUSAL_COPY,
    Fault.NAMELESS_REFUSAL_COPY,
)
ENDLESS: typing.Mapping[
    Fault, typing.Callable[[bytes], typing.Iterator[bytes]]
] = {
    Fault.ENDLESS_HEAD: endless.head,
    Fault.ENDLESS_FIELDS: endless.fields,
    Fault.ENDLESS_BODY: endless.body,
    Fault.ENDLESS_CHUNKS: endless.chunks,
    Fault.ENDLESS_EXTENSIONS: endless.extensions,
    Fault.ENDLESS_TRAILERS: endless.trailers,
    Fault.ENDLESS_INTERIM: endless.interim,
}
