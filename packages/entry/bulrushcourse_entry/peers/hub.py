"""Streams to all peers, one task for each."""

import asyncio
import contextlib
import typing

import attrs
import reactivex
from reactivex import subject

from bulrushcourse_entry import events
from bulrushcourse_entry import settings as entry_settings
from bulrushcourse_entry.peers import stream as peer_stream
from bulrushcourse_wire import frames
from bulrushcourse_wire import messages

HEARTBEAT_INTERVAL_S = 0.25
# Six heartbeats; shorter limits close the streams of a busy VM.
MAX_SILENCE_S = 1.5
REDIAL_DELAY_S = 0.3


@attrs.frozen
class ReceivedMessage:
    """A message and the peer that sent it.

    Attributes:
        peer: Name of the sending entry.
        incarnation: The sender's incarnation.
        message: The message.
    """

    peer: str
    incarnation: str
    message: messages.Message


@attrs.frozen
class PeerConnectionChange:
    """A stream to a peer was established or lost.

    Attributes:
        peer: Name of the peer.
        incarnation: The peer's incarnation.
        connected: Whether the stream is now established.
    """

    peer: str
    incarnation: str
    connected: bool


@attrs.define(eq=False)
class PeerHub:
    """Maintains a stream to each peer; the entry with the lower name dials.

    Attributes:
        identity: Identity of this entry.
        listen: ``ip:port`` to listen on.
        heartbeat: Returns the heartbeat to send now.
        streams: Established streams by peer name.
        received: Subject of messages from all peers.
        changes: Subject of streams that are established or lost.
        addresses: ``ip:port`` by peer name.
        dial_tasks: Tasks that connect to peers, by peer name.
        connection_tasks: Tasks of accepted connections.
        server: Listener for peers, ``None`` before the start.
    """

    identity: peer_stream.Identity
    listen: str
    heartbeat: typing.Callable[[], messages.Heartbeat]
    streams: dict[str, peer_stream.PeerStream] = attrs.field(factory=dict)
    received: reactivex.Subject = attrs.field(factory=subject.Subject)
    changes: reactivex.Subject = attrs.field(factory=subject.Subject)
    addresses: dict[str, str] = attrs.field(factory=dict)
    dial_tasks: dict[str, asyncio.Task] = attrs.field(factory=dict)
    connection_tasks: set[asyncio.Task] = attrs.field(factory=set)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen for peers."""
        host, port = entry_settings.split_address(self.listen)
        self.server = await asyncio.start_server(self._accept, host, port)

    async def stop(self) -> None:
        """Close all streams and stop listening."""
        if self.server:
            self.server.close()
        tasks = [*self.dial_tasks.values(), *self.connection_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for stream in list(self.streams.values()):
            stream.close()

    def set_peers(self, addresses: dict[str, str]) -> None:
        """Replace the addresses of peers; dial those with a higher name.

        Args:
            addresses: ``ip:port`` by peer name.
        """
        self.addresses = {
            name: address
            for name, address in addresses.items()
            if name != self.identity.entry
        }
        for name in self.dial_tasks.keys() - self.addresses.keys():
            self.dial_tasks.pop(name).cancel()
        for name in self.addresses.keys() - self.dial_tasks.keys():
            if self.identity.entry < name:
                self.dial_tasks[name] = asyncio.create_task(
                    self._dial(name), name=f'dial {name}'
                )

    def send(self, peer: str, message: messages.Message) -> bool:
        """Queue a message for a peer; return false if there is no stream.

        Args:
            peer: Name of the peer.
            message: Message to send.
        """
        stream = self.streams.get(peer)
        return stream is not None and stream.send(message)

    def broadcast(self, message: messages.Message) -> None:
        """Queue a message for each connected peer.

        Args:
            message: Message to send.
        """
        for stream in list(self.streams.values()):
            stream.send(message)

    def dump(self) -> dict[str, typing.Any]:
        """Return peers and connected streams for a state dump."""
        return {
            'addresses': dict(self.addresses),
            'connected': {
                name: stream.hello.incarnation
                for name, stream in self.streams.items()
            },
        }

    async def _dial(self, name: str) -> None:
        while True:
            host, port = entry_settings.split_address(self.addresses[name])
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(peer_stream.HANDSHAKE_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(host, port)
                await self._serve(reader, writer, dialer=True)
            await asyncio.sleep(REDIAL_DELAY_S)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self.connection_tasks.add(task)
        try:
            await self._serve(reader, writer, dialer=False)
        finally:
            self.connection_tasks.discard(task)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dialer: bool,
    ) -> None:
        try:
            stream = await peer_stream.open_stream(
                reader, writer, self.identity, dialer
            )
        except peer_stream.HandshakeError as error:
            events.emit(events.Event.PEER_REFUSED, reason=str(error))
            writer.transport.abort()
            return
        peer = stream.hello.entry
        self._register(peer, stream)
        heartbeats = asyncio.create_task(self._send_heartbeats(stream))
        try:
            await self._receive(peer, stream)
        except (
            frames.FrameError,
            asyncio.IncompleteReadError,
            TimeoutError,
            OSError,
        ) as error:
            events.emit(events.Event.PEER_LOST, peer=peer, reason=repr(error))
        finally:
            heartbeats.cancel()
            stream.close()
            self._unregister(peer, stream)

    async def _receive(
        self, peer: str, stream: peer_stream.PeerStream
    ) -> None:
        while True:
            async with asyncio.timeout(MAX_SILENCE_S):
                message = await stream.receive()
            if message is not None:
                self.received.on_next(
                    ReceivedMessage(peer, stream.hello.incarnation, message)
                )

    async def _send_heartbeats(self, stream: peer_stream.PeerStream) -> None:
        while True:
            if not stream.send(self.heartbeat()):
                return
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _register(self, peer: str, stream: peer_stream.PeerStream) -> None:
        previous = self.streams.get(peer)
        self.streams[peer] = stream
        if previous is not None:
            previous.close()
        events.emit(events.Event.PEER_CONNECTED, peer=peer)
        self.changes.on_next(
            PeerConnectionChange(peer, stream.hello.incarnation, True)
        )

    def _unregister(self, peer: str, stream: peer_stream.PeerStream) -> None:
        if self.streams.get(peer) is not stream:
            return
        del self.streams[peer]
        self.changes.on_next(
            PeerConnectionChange(peer, stream.hello.incarnation, False)
        )
