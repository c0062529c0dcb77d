"""Reading of the stored configuration and exchange of it with peers."""

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

READER_POLL_INTERVAL_S = 0.5
DEFAULT_POLL_INTERVAL_S = 5.0
# The designated readers poll every 0.5 s. If the store answers 1 s after this
# entry obtained a version, they could read that version as well.
CONFIRM_AFTER_S = 1.0
# A peer needs time to check a version before it is sent again.
RESEND_AFTER_S = 1.0


@attrs.define(eq=False)
class ConfigurationExchange:
    """Reads the stored configuration and exchanges versions with peers.

    A version is staged when it is obtained and activated when another entry
    is known to have it or to be able to read it.

    Attributes:
        clock: Source of time.
        table: The platform's table service.
        configuration: Active and newest configuration.
        members: The membership of the entries.
        hub: Streams to peers.
        startup: Decides whether this entry may start to serve.
        changes: Emits each configuration that is activated.
        obtained_at: Clock seconds when the newest version was obtained.
        sent_at: Clock seconds of the last send, by peer and version.
        store: Configurations in the table.
        wake: Set to read the row before the poll interval is over.
        store_reachable: Whether the last read was answered.
    """

    clock: clocks.Clock
    table: platform_table.Table
    configuration: active_configuration.ActiveConfiguration
    members: entry_members.Members
    hub: peer_hub.PeerHub
    startup: startup_rule.StartupConfiguration = attrs.field(
        factory=startup_rule.StartupConfiguration
    )
    changes: reactivex.Subject = attrs.field(factory=subject.Subject)
    obtained_at: float = 0.0
    sent_at: dict[tuple[str, int], float] = attrs.field(factory=dict)
    store: configuration_store.ConfigurationStore = attrs.field(init=False)
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    store_reachable: bool = True

    def __attrs_post_init__(self) -> None:
        self.store = configuration_store.ConfigurationStore(self.table)

    def start(self) -> None:
        """Subscribe to the messages of peers."""
        self.hub.received.subscribe(self._on_message)

    async def run(self) -> None:
        """Poll the stored configuration until cancelled."""
        while True:
            await self.read()
            self.wake.clear()
            try:
                async with asyncio.timeout(self.poll_interval_s):
                    await self.wake.wait()
            except TimeoutError:
                continue

    @property
    def poll_interval_s(self) -> float:
        """Seconds between two reads of the row.

        The two designated readers of each region poll more often than other
        entries. So do an isolated entry, one that is not ready yet, and one
        whose newest version is not yet known to have reached others.
        """
        waiting = self.configuration.pending or not self.startup.ready
        if (
            waiting
            or self.members.isolated
            or self.members.is_designated_reader()
        ):
            return READER_POLL_INTERVAL_S
        return DEFAULT_POLL_INTERVAL_S

    async def read(self) -> None:
        """Read the stored row once."""
        requested_at = self.clock.monotonic()
        try:
            stored = await self.store.read_current()
        except platform_table.TableUnavailable as error:
            if self.store_reachable:
                events.emit(events.Event.STORE_UNREACHABLE, reason=str(error))
            self.store_reachable = False
            return
        if not self.store_reachable:
            events.emit(events.Event.STORE_REACHABLE)
        self.store_reachable = True
        self.members.view.record_store_contact()
        self.startup.record_stored_version(stored.version)
        if (
            stored.publication
            and stored.version > self.configuration.newest_version
        ):
            self.stage(stored.version, stored.publication.objects)
        elif requested_at - self.obtained_at >= CONFIRM_AFTER_S:
            self._confirm(stored.version)

    def stage(
        self,
        version: int,
        objects: configuration_set.objects.Objects,
        from_peer: bool = False,
    ) -> None:
        """Check objects and stage them if they are newer.

        Args:
            version: Their version.
            objects: The objects.
            from_peer: Whether a peer sent them, which proves that another
                entry has them.
        """
        checked = configuration_set.check_configuration(version, objects)
        if isinstance(checked, result.Failure):
            events.emit(
                events.Event.CONFIGURATION_REFUSED,
                version=version,
                findings=[str(found) for found in checked.failure()],
            )
            return
        if self.configuration.stage(checked.unwrap()):
            self.obtained_at = self.clock.monotonic()
        if from_peer:
            self._confirm(version)
        elif self.configuration.pending:
            self.wake.set()

    def send_to_peers(self) -> None:
        """Send the newest version to each connected peer that lacks it."""
        for peer in list(self.hub.streams):
            self._send(peer)

    def dump(self) -> dict[str, typing.Any]:
        """Return versions for a state dump."""
        return {
            'version': self.configuration.version,
            'held_version': self.configuration.newest_version,
            'refused': self.configuration.rejected_count,
            'row_version_at_start': self.startup.row_version,
            'ready': self.startup.ready,
            'reader': self.members.is_designated_reader(),
            'store_answers': self.store_reachable,
        }

    def _confirm(self, version: int) -> None:
        if not self.configuration.confirm(version):
            return
        events.emit(
            events.Event.CONFIGURATION_IN_FORCE,
            version=self.configuration.version,
        )
        self.changes.on_next(self.configuration.current)

    def _on_message(self, received: peer_hub.ReceivedMessage) -> None:
        message = received.message
        if isinstance(message, messages.Heartbeat):
            self._confirm(message.held_version)
            if message.held_version < self.configuration.newest_version:
                self._send(received.peer)
        elif isinstance(message, messages.Configuration):
            self._receive(received.peer, message)

    def _receive(self, peer: str, message: messages.Configuration) -> None:
        if message.version > self.configuration.version:
            parsed = documents.parse_document(
                message.document, configuration_set.objects.Objects
            )
            if isinstance(parsed, result.Success):
                self.stage(message.version, parsed.unwrap(), from_peer=True)
        # The heartbeat states the newest version, which lets the sender
        # activate it.
        self.hub.send(peer, self.hub.heartbeat())

    def _send(self, peer: str) -> None:
        newest = self.configuration.newest
        now = self.clock.monotonic()
        if newest is None:
            return
        key = peer, newest.version
        if now - self.sent_at.get(key, -RESEND_AFTER_S) < RESEND_AFTER_S:
            return
        self.sent_at = {
            peer_version: at
            for peer_version, at in self.sent_at.items()
            if peer_version[1] == newest.version
        }
        self.sent_at[key] = now
        document = documents.render_document(newest.objects)
        self.hub.send(peer, messages.Configuration(newest.version, document))
