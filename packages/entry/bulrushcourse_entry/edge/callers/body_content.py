"""The content of a body as it was received, without joining its parts."""

import attrs
from aiohttp import abc
from aiohttp import payload

from bulrushcourse_domain.resources import memory as memories

# Parts are joined up to this size, so that a body of many small chunks takes
# no more memory than its bytes.
PART_BYTES = 64 << 10


class PartsPayload(payload.Payload):
    """Writes the parts of a body one by one."""

    _autoclose = True

    def __init__(self, content: 'Content') -> None:
        super().__init__(content)
        self._size = content.size

    def decode(self, encoding: str = 'utf-8', errors: str = 'strict') -> str:
        """Return the body as text; aiohttp does so only for debugging.

        Args:
            encoding: Encoding.
            errors: Treatment of errors.
        """
        return b''.join(self._value.parts).decode(encoding, errors)

    async def write(self, writer: abc.AbstractStreamWriter) -> None:
        """Write the parts.

        Args:
            writer: Destination.
        """
        for part in self._value.parts:
            await writer.write(part)
        await writer.drain()


@attrs.define(eq=False)
class Content:
    """Content of a body.

    Attributes:
        parts: Parts in the order in which they were received.
        size: Total size in bytes.
        memory: Memory that the parts take, ``None`` if it is not counted.
    """

    parts: list[bytes | bytearray] = attrs.field(factory=list)
    size: int = 0
    memory: memories.BodyMemory | None = None

    def __len__(self) -> int:
        return self.size

    def append(self, chunk: bytes) -> None:
        """Append received bytes.

        Args:
            chunk: The bytes.

        Examples:
            >>> content = Content()
            >>> content.append(b'a')
            >>> content.append(b'b')
            >>> content.parts
            [bytearray(b'ab')]
        """
        self.size += len(chunk)
        last = self.parts[-1] if self.parts else b''
        if not last or len(last) + len(chunk) > PART_BYTES:
            self.parts.append(chunk)
        elif isinstance(last, bytearray):
            last += chunk
        else:
            self.parts[-1] = bytearray(last)
            self.parts[-1] += chunk

    def payload(self) -> bytes | PartsPayload:
        """Return what aiohttp sends as the body of a request or response.

        It refers to the content, so that its memory stays counted, unless it
        is small.
        """
        if self.size > PART_BYTES or len(self.parts) > 1:
            return PartsPayload(self)
        return bytes(self.parts[0]) if self.parts else b''


def from_bytes(*parts: bytes) -> Content:
    """Return content with the given parts.

    Args:
        *parts: The parts.
    """
    return Content(list(parts), sum(len(part) for part in parts))
