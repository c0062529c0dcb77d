"""Stand-in for the messenger that needs no sockets."""

import types

import attrs
from reactivex import subject

from bulrushcourse_entry.peers import hub as peer_hub


@attrs.define(eq=False)
class FakeMessenger:
    """Records sent messages; the test delivers incoming ones."""

    entry: str = 'e1'
    hub: types.SimpleNamespace = attrs.field(
        factory=lambda: types.SimpleNamespace(
            received=subject.Subject(), changes=subject.Subject()
        )
    )
    sent: list = attrs.field(factory=list)
    connected: dict = attrs.field(factory=lambda: {'e1': 'e1-1'})

    def send(self, peer, message):
        self.sent.append((peer, message))
        return True

    def broadcast(self, message):
        self.sent.append(('*', message))

    def incarnations(self):
        return self.connected

    def receive(self, peer, message, incarnation=None):
        self.hub.received.on_next(
            peer_hub.ReceivedMessage(peer, incarnation or f'{peer}-1', message)
        )

    def change_connection(self, peer, connected):
        self.hub.changes.on_next(
            peer_hub.PeerConnectionChange(peer, f'{peer}-1', connected)
        )

    def take_sent(self, cls):
        """Remove and return the sent messages of a class, with their peer."""
        found = [(p, m) for p, m in self.sent if isinstance(m, cls)]
        self.sent = [s for s in self.sent if s not in found]
        return found
