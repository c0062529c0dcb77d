"""Frames of a peer stream: length, authentication code, msgpack map."""

import hashlib
import hmac
import struct

import attrs
import msgpack
from cattrs.preconf import msgpack as msgpack_converter

from bulrushcourse_wire import messages

MAX_FRAME_BYTES = 8 << 20
AUTH_CODE_BYTES = 16
_HEADER = struct.Struct('>I')
HEADER_BYTES = _HEADER.size
_CONVERTER = msgpack_converter.make_converter()


class FrameError(Exception):
    """A frame is malformed, too large or not authentic."""


def encode_message(value: messages.Message) -> bytes:
    """Return the msgpack form of a message.

    Args:
        value: An instance of a registered message class.

    Examples:
        >>> payload = encode_message(messages.Proof(b'x'))
        >>> decode_message(payload)
        Proof(digest=b'x')
    """
    fields = _CONVERTER.unstructure(value)
    fields['t'] = value.type_name
    return msgpack.packb(fields)


def decode_message(payload: bytes) -> messages.Message | None:
    """Return the message in a payload; ``None`` if its type is unknown.

    Args:
        payload: A msgpack map.

    Raises:
        FrameError: If the payload is not a well-formed message.
    """
    try:
        fields = msgpack.unpackb(payload)
        cls = messages.message_class(fields.pop('t'))
        return None if cls is None else _CONVERTER.structure(fields, cls)
    except Exception as error:
        # msgpack and cattrs raise many unrelated types on bad input.
        raise FrameError(f'malformed message: {error!r}') from error


def frame_length(header: bytes) -> int:
    """Return the number of bytes that follow a header.

    Args:
        header: ``HEADER_BYTES`` bytes.

    Raises:
        FrameError: If the frame is larger than ``MAX_FRAME_BYTES`` or too
            short for its authentication code.
    """
    (length,) = _HEADER.unpack(header)
    if not AUTH_CODE_BYTES <= length <= MAX_FRAME_BYTES:
        raise FrameError(f'frame length of {length} bytes is out of range')
    return length


@attrs.define
class FrameSealer:
    """Authenticates the frames of one direction of a stream.

    The authentication code covers a sequence number, so that replayed,
    reordered and dropped frames are detected.

    Attributes:
        key: Key of this direction.
        sequence: Number of the next frame.
    """

    key: bytes
    sequence: int = 0

    def auth_code(self, payload: bytes) -> bytes:
        """Return the next frame's authentication code; advance the sequence.

        Args:
            payload: Payload of the frame.
        """
        number = self.sequence.to_bytes(8, 'big')
        self.sequence += 1
        code = hmac.digest(self.key, number + payload, hashlib.sha256)
        return code[:AUTH_CODE_BYTES]

    def seal(self, payload: bytes) -> bytes:
        """Return the frame of a payload: header, authentication code, payload.

        Args:
            payload: Payload of the frame.

        Raises:
            FrameError: If the frame would be too large.

        Examples:
            >>> frame = FrameSealer(b'k').seal(b'abc')
            >>> FrameSealer(b'k').open(frame[HEADER_BYTES:])
            b'abc'
        """
        length = len(payload) + AUTH_CODE_BYTES
        if length > MAX_FRAME_BYTES:
            raise FrameError(f'frame of {length} bytes is too large')
        return _HEADER.pack(length) + self.auth_code(payload) + payload

    def open(self, body: bytes) -> bytes:
        """Check the authentication code of a frame and return its payload.

        Args:
            body: The frame without its header.

        Raises:
            FrameError: If the authentication code does not match.
        """
        payload = body[AUTH_CODE_BYTES:]
        if not hmac.compare_digest(
            body[:AUTH_CODE_BYTES], self.auth_code(payload)
        ):
            raise FrameError('frame is not authentic')
        return payload


def handshake_digest(secret: bytes, role: str, *nonces: bytes) -> bytes:
    """Return the HMAC-SHA256 of a role and nonces under the shared secret.

    Args:
        secret: The shared secret.
        role: Purpose of the digest, such as ``dialer`` or ``dialer key``.
        nonces: Nonces of dialer and listener; none for the keys of the
            handshake itself.

    Examples:
        >>> len(handshake_digest(b'secret', 'dialer', b'a', b'b'))
        32
    """
    content = b'\x00'.join((role.encode(), *nonces))
    return hmac.digest(secret, content, hashlib.sha256)
