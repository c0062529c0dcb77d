"""Message delivery to entries, including this one."""

import asyncio

import attrs

from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_wire import messages


@attrs.define(eq=False)
class EntryMessenger:
    """Sends messages to peers, and to this entry through its own handlers.

    Attributes:
        hub: Streams to peers.
    """

    hub: peer_hub.PeerHub

    @property
    def entry(self) -> str:
        """Name of this entry."""
        return self.hub.identity.entry

    def send(self, peer: str, message: messages.Message) -> bool:
        """Queue a message; return false if there is no stream to the peer.

        Args:
            peer: Name of the peer or of this entry.
            message: Message to send.
        """
        if peer != self.entry:
            return self.hub.send(peer, message)
        received = peer_hub.ReceivedMessage(
            peer, self.hub.identity.incarnation, message
        )
        loop = asyncio.get_running_loop()
        loop.call_soon(self.hub.received.on_next, received)
        return True

    def broadcast(self, message: messages.Message) -> None:
        """Queue a message for this entry and each connected peer.

        Args:
            message: Message to send.
        """
        self.send(self.entry, message)
        self.hub.broadcast(message)

    def incarnations(self) -> dict[str, str]:
        """Return incarnations of this entry and of connected peers by name."""
        connected = {
            peer: stream.hello.incarnation
            for peer, stream in self.hub.streams.items()
        }
        return connected | {self.entry: self.hub.identity.incarnation}
