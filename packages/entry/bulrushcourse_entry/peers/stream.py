"""An authenticated stream of messages to one peer."""

import asyncio
import secrets
import typing

import attrs

from bulrushcourse_wire import frames
from bulrushcourse_wire import messages

HANDSHAKE_TIMEOUT_S = 3.0
MAX_UNSENT_BYTES = 4 << 20
NONCE_BYTES = 16


class HandshakeError(Exception):
    """The peer did not complete the handshake or prove the shared secret."""


@attrs.frozen
class Identity:
    """Identity of this entry towards its peers.

    Attributes:
        entry: Name of the entry.
        incarnation: Random identifier of this process.
        vm_id: The platform's identifier of the VM.
        secret: Secret shared by all entries.
    """

    entry: str
    incarnation: str
    vm_id: str
    secret: bytes = attrs.field(repr=False)


@attrs.define
class PeerStream:
    """An established, authenticated stream.

    Attributes:
        hello: The peer's hello message.
        reader: Incoming bytes.
        writer: Outgoing bytes.
        outgoing: Seals the frames that are sent.
        incoming: Opens the frames that are received.
    """

    hello: messages.Hello
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    outgoing: frames.FrameSealer
    incoming: frames.FrameSealer

    def send(self, message: messages.Message) -> bool:
        """Queue a message without waiting for the peer.

        Args:
            message: Message to send.

        Returns:
            Whether it was queued. A stream whose peer does not read is aborted
            so that its buffer stays bounded.
        """
        transport = self.writer.transport
        if transport.is_closing():
            return False
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            transport.abort()
            return False
        payload = frames.encode_message(message)
        self.writer.write(self.outgoing.seal(payload))
        return True

    async def receive(self) -> messages.Message | None:
        """Return the next message, ``None`` if its type is unknown.

        Raises:
            FrameError: If the frame is too large, malformed or not authentic.
            IncompleteReadError: If the peer closed the stream.
        """
        payload = await _read_frame(self.reader, self.incoming)
        return frames.decode_message(payload)

    def close(self) -> None:
        """Close the stream immediately and discard unsent bytes."""
        self.writer.transport.abort()


async def _read_frame(
    reader: asyncio.StreamReader, sealer: frames.FrameSealer
) -> bytes:
    header = await reader.readexactly(frames.HEADER_BYTES)
    body = await reader.readexactly(frames.frame_length(header))
    return sealer.open(body)


async def open_stream(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    identity: Identity,
    dialer: bool,
) -> PeerStream:
    """Return an authenticated stream over a new connection.

    Args:
        reader: Incoming bytes.
        writer: Outgoing bytes.
        identity: Identity of this entry.
        dialer: Whether this entry opened the connection.

    Raises:
        HandshakeError: If the connection fails, the peer breaks the protocol
            or it does not prove that it knows the shared secret.
    """
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            return await _handshake(reader, writer, identity, dialer)
    except (
        frames.FrameError,
        asyncio.IncompleteReadError,
        TimeoutError,
        OSError,
    ) as error:
        raise HandshakeError(repr(error)) from error


async def _handshake(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    identity: Identity,
    dialer: bool,
) -> PeerStream:
    local_role, peer_role = (
        ('dialer', 'listener') if dialer else ('listener', 'dialer')
    )
    secret = identity.secret
    outgoing = frames.FrameSealer(frames.handshake_digest(secret, local_role))
    incoming = frames.FrameSealer(frames.handshake_digest(secret, peer_role))

    def send(message: messages.Message) -> None:
        writer.write(outgoing.seal(frames.encode_message(message)))

    async def expect(cls: type) -> typing.Any:
        payload = await _read_frame(reader, incoming)
        message = frames.decode_message(payload)
        if not isinstance(message, cls):
            raise HandshakeError(f'expected {cls.__name__}, got {message!r}')
        return message

    nonce = secrets.token_bytes(NONCE_BYTES)
    send(
        messages.Hello(
            protocol=messages.PROTOCOL_VERSION,
            entry=identity.entry,
            incarnation=identity.incarnation,
            vm_id=identity.vm_id,
            nonce=nonce,
        )
    )
    hello = await expect(messages.Hello)
    if hello.protocol != messages.PROTOCOL_VERSION:
        raise HandshakeError(f'protocol {hello.protocol} is not supported')
    nonces = (nonce, hello.nonce) if dialer else (hello.nonce, nonce)
    send(messages.Proof(frames.handshake_digest(secret, local_role, *nonces)))
    proof = await expect(messages.Proof)
    if proof.digest != frames.handshake_digest(secret, peer_role, *nonces):
        raise HandshakeError('peer does not know the shared secret')
    return PeerStream(
        hello,
        reader,
        writer,
        frames.FrameSealer(
            frames.handshake_digest(secret, f'{local_role} key', *nonces)
        ),
        frames.FrameSealer(
            frames.handshake_digest(secret, f'{peer_role} key', *nonces)
        ),
    )
