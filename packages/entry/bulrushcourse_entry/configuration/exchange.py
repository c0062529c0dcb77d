"""How configurations reach this entry and are passed on to peers."""

import asyncio
import typing

import attrs
import reactivex
from reactivex import subject
from returns import result

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import active_configuration
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import startup as startup_rule
from bulrushcourse_entry import events
from bulrushcourse_entry.configuration import store as configuration_store
from bulrushcourse_entry.membership import members as entry_members
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_entry.platform import table as platform_table
from bulrushcourse_wire import documents
from bulrushcourse_wire import messages

READER_INTERVAL_S = 0.5
OTHER_INTERVAL_S = 5.0
# Readers poll every 0.5 s; an answer 1 s after the version was obtained means
# that they could read it as well.
TRUST_AFTER_S = 1.0
# A peer that was sent a version needs time to check it before the next try.
RESEND_AFTER_S = 1.0


@attrs.define(eq=False)
class ConfigurationExchange:
    """Reads the stored configuration and exchanges versions with peers.

    Attributes:
        clock: Source of time.
        table: The platform's table service.
        held: Configuration in force.
        members: Which entries are live.
        hub: Streams to peers.
        startup: Whether this entry may serve.
        changes: Each configuration that is put in force.
        obtained_at: Clock seconds when the newest version was obtained.
        sent: When a version was last sent to a peer, by both.
        store: Configurations in the table.
        wake: Set when the row is to be read soon.
        store_answers: Whether the last read was answered.
    """

    clock: clocks.Clock
    table: platform_table.Table
    held: active_configuration.ActiveConfiguration
    members: entry_members.Members
    hub: peer_hub.PeerHub
    startup: startup_rule.StartupConfiguration = attrs.field(
        factory=startup_rule.StartupConfiguration
    )
    changes: reactivex.Subject = attrs.field(factory=subject.Subject)
    obtained_at: float = 0.0
    sent: dict[tuple[str, int], float] = attrs.field(factory=dict)
    store: configuration_store.ConfigurationStore = attrs.field(init=False)
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    store_answers: bool = True

    def __attrs_post_init__(self) -> None:
        self.store = configuration_store.ConfigurationStore(self.table)

    def start(self) -> None:
        """Follow the messages of peers."""
        self.hub.received.subscribe(self._on_message)

    async def run(self) -> None:
        """Read the stored configuration until cancelled."""
        while True:
            await self.read()
            self.wake.clear()
            try:
                async with asyncio.timeout(self.interval_s):
                    await self.wake.wait()
            except TimeoutError:
                continue

    @property
    def interval_s(self) -> float:
        """Time between two reads of the row.

        Two readers in each region suffice. An entry that waits for its first
        version, or for the proof that others have its newest, reads as often.
        """
        waiting = self.held.pending or not self.startup.ready
        if waiting or self.members.isolated or self.members.is_reader():
            return READER_INTERVAL_S
        return OTHER_INTERVAL_S

    async def read(self) -> None:
        """Read the stored row once."""
        asked_at = self.clock.monotonic()
        try:
            stored = await self.store.read_current()
        except platform_table.TableUnavailable as error:
            if self.store_answers:
                events.emit(events.Event.STORE_UNREACHABLE, reason=str(error))
            self.store_answers = False
            return
        if not self.store_answers:
            events.emit(events.Event.STORE_REACHABLE)
        self.store_answers = True
        self.members.view.record_store_contact()
        self.startup.record_stored_version(stored.version)
        if stored.publication and stored.version > self.held.newest_version:
            self.accept(stored.version, stored.publication.objects)
        elif asked_at - self.obtained_at >= TRUST_AFTER_S:
            self._confirm(stored.version)

    def accept(
        self,
        version: int,
        objects: configuration_set.objects.Objects,
        by_peer: bool = False,
    ) -> None:
        """Check objects and hold them if they are newer.

        Args:
            version: Their version.
            objects: The objects.
            by_peer: Whether a peer sent them, so that it holds them too.
        """
        checked = configuration_set.check_configuration(version, objects)
        if isinstance(checked, result.Failure):
            events.emit(
                events.Event.CONFIGURATION_REFUSED,
                version=version,
                findings=[str(found) for found in checked.failure()],
            )
            return
        if self.held.stage(checked.unwrap()):
            self.obtained_at = self.clock.monotonic()
        if by_peer:
            self._confirm(version)
        elif self.held.pending:
            self.wake.set()

    def pass_on(self) -> None:
        """Send the newest version to each connected peer that lacks it."""
        for peer in list(self.hub.streams):
            self._send(peer)

    def dump(self) -> dict[str, typing.Any]:
        """Return versions for a state dump."""
        return {
            'version': self.held.version,
            'held_version': self.held.newest_version,
            'refused': self.held.refused,
            'row_version_at_start': self.startup.row_version,
            'ready': self.startup.ready,
            'reader': self.members.is_reader(),
            'store_answers': self.store_answers,
        }

    def _confirm(self, version: int) -> None:
        if not self.held.confirm(version):
            return
        events.emit(
            events.Event.CONFIGURATION_IN_FORCE, version=self.held.version
        )
        self.changes.on_next(self.held.current)

    def _on_message(self, received: peer_hub.ReceivedMessage) -> None:
        message = received.message
        if isinstance(message, messages.Heartbeat):
            self._confirm(message.held_version)
            if message.held_version < self.held.newest_version:
                self._send(received.peer)
        elif isinstance(message, messages.Configuration):
            self._receive(received.peer, message)

    def _receive(self, peer: str, message: messages.Configuration) -> None:
        if message.version > self.held.version:
            parsed = documents.parse_document(
                message.document, configuration_set.objects.Objects
            )
            if isinstance(parsed, result.Success):
                self.accept(message.version, parsed.unwrap(), by_peer=True)
        # The sender waits for the proof that it no longer holds it alone.
        self.hub.send(peer, self.hub.heartbeat())

    def _send(self, peer: str) -> None:
        newest = self.held.newest
        now = self.clock.monotonic()
        if newest is None:
            return
        key = peer, newest.version
        if now - self.sent.get(key, -RESEND_AFTER_S) < RESEND_AFTER_S:
            return
        self.sent = {
            known: at
            for known, at in self.sent.items()
            if known[1] == newest.version
        }
        self.sent[key] = now
        document = documents.render_document(newest.objects)
        self.hub.send(peer, messages.Configuration(newest.version, document))
