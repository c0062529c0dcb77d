"""Reads whole request bodies within the memory that they may take."""

import attrs
from aiohttp import web

# Bytes of bodies that a process keeps at one time. The process alone takes
# 33 MB, a body up to three times its size while it is read and sent on, and
# the users' smallest VMs have 128 MB for control.
MOST_BYTES = 24 << 20
TOO_LARGE = 'body-too-large'
NO_MEMORY = 'no-memory'


@attrs.define
class BodyMemory:
    """Memory that the bodies of open requests take.

    Attributes:
        most: Bytes that they may take.
        held: Bytes that they take now.
    """

    most: int = MOST_BYTES
    held: int = 0

    def take(self, size: int, own: int = 0) -> bool:
        """Return whether a body may take more bytes, and count them.

        A body that is alone may take any number, so that an agreed limit
        on bodies holds whatever its size.

        Args:
            size: The bytes.
            own: Bytes that the same body has taken already.

        Examples:
            >>> memory = BodyMemory(most=10)
            >>> memory.take(8), memory.take(8)
            (True, False)
        """
        if self.held > own and self.held + size > self.most:
            return False
        self.held += size
        return True

    def give_back(self, size: int) -> None:
        """Free bytes that were taken.

        Args:
            size: The bytes.
        """
        self.held -= size


@attrs.define(eq=False)
class Body:
    """The body of one request.

    Attributes:
        memory: Memory of all bodies.
        content: What was read so far.
        taken: Bytes taken from the memory.
    """

    memory: BodyMemory
    content: bytes = b''
    taken: int = 0

    async def read(self, request: web.BaseRequest, limit: int) -> str:
        """Read the body and return why it cannot be taken, empty if it can.

        Args:
            request: The request.
            limit: Largest size that is allowed.
        """
        if not request.body_exists:
            return ''
        announced = request.content_length or 0
        if announced > limit:
            return TOO_LARGE
        if not self._grow(announced):
            return NO_MEMORY
        pieces = []
        size = 0
        async for piece in request.content.iter_any():
            pieces.append(piece)
            size += len(piece)
            if size > limit:
                return TOO_LARGE
            if not self._grow(size - self.taken):
                return NO_MEMORY
        self.content = b''.join(pieces)
        return ''

    def _grow(self, size: int) -> bool:
        if size <= 0:
            return True
        if not self.memory.take(size, self.taken):
            return False
        self.taken += size
        return True

    def release(self) -> None:
        """Free the memory of the body."""
        self.memory.give_back(self.taken)
        self.taken = 0
        self.content = b''
