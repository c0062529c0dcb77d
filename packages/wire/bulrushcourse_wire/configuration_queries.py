"""Encoding of questions about a VM's configuration, and of the answers."""

import attrs
import msgpack

from bulrushcourse_wire import fields as checks

# First bytes of a question. No report, which is a msgpack map, begins so.
PREFACE = b'configuration/1 '
MAX_ANSWER_BYTES = 4 << 20


class MalformedMessage(ValueError):
    """A message cannot be decoded."""


@attrs.frozen
class Answer:
    """Answer to a question.

    Attributes:
        version: Version of the configuration of the VM that answers.
        configuration: Compressed configuration, empty if the VM that asks has
            it.
    """

    version: int
    configuration: bytes = b''


def encode_question(version: int) -> bytes:
    """Return a question.

    Args:
        version: Version of the configuration of the VM that asks.

    Examples:
        >>> decode_question(encode_question(7))
        7
    """
    return PREFACE + msgpack.packb(version)


def decode_question(content: bytes) -> int | None:
    """Return the version in a question, ``None`` for another message.

    Args:
        content: First frame of a stream.

    Raises:
        MalformedMessage: If it is a malformed question.
    """
    if not content.startswith(PREFACE):
        return None
    try:
        return checks.integer(msgpack.unpackb(content[len(PREFACE) :]))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise MalformedMessage(f'{error!r:.200}') from error


def encode_answer(answer: Answer) -> bytes:
    """Return an answer in its binary form.

    Args:
        answer: The answer.
    """
    return msgpack.packb([answer.version, answer.configuration])


def decode_answer(content: bytes) -> Answer:
    """Return an answer.

    Args:
        content: Its binary form.

    Raises:
        MalformedMessage: If it is malformed.
    """
    try:
        count = checks.ContainerCount(1)
        version, configuration = msgpack.unpackb(
            content, list_hook=count.add, object_hook=count.add
        )
        return Answer(
            checks.integer(version),
            checks.content(configuration, MAX_ANSWER_BYTES),
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise MalformedMessage(f'{error!r:.200}') from error
