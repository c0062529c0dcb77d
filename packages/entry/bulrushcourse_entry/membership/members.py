"""Members known from the platform's list and from heartbeats."""

import asyncio
import typing

import attrs

from bulrushcourse_domain.configuration import in_force
from bulrushcourse_entry import settings as entry_settings
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_entry.platform import vm_list
from bulrushcourse_wire import messages

LIST_INTERVAL_S = 1.0


@attrs.define(eq=False)
class Members:
    """Keeps peers connected and answers look-ups.

    Attributes:
        settings: Settings of this entry.
        vms: The platform's list of VMs.
        hub: Streams to peers.
        held: Configuration in force.
        own: Returns this entry's heartbeat.
        heartbeats: Last heartbeat by name of connected peer.
        listed: Last answer of the platform's list.
    """

    settings: entry_settings.Settings
    vms: vm_list.VmList
    hub: peer_hub.PeerHub
    held: in_force.ConfigurationInForce
    own: typing.Callable[[], messages.Heartbeat]
    heartbeats: dict[str, messages.Heartbeat] = attrs.field(factory=dict)
    listed: tuple[vm_list.Vm, ...] = ()

    def start(self) -> None:
        """Follow the messages of peers."""
        self.hub.received.subscribe(self._on_message)
        self.hub.changes.subscribe(self._on_change)
        self.hub.set_peers(self.settings.peers)

    async def run(self) -> None:
        """Poll the list of VMs until cancelled."""
        while True:
            listed = await self.vms.list()
            if listed is not None:
                self.listed = listed
                addresses = {vm.entry: vm.peer_address for vm in listed}
                self.hub.set_peers(addresses | self.settings.peers)
            await asyncio.sleep(LIST_INTERVAL_S)

    def answer(self, client: str) -> dict[str, typing.Any]:
        """Return the look-up answer for a client.

        Args:
            client: IP address of the client.
        """
        known = {self.settings.entry: self.own()} | self.heartbeats
        serving = [
            {
                'name': name,
                'address': heartbeat.callers_address,
                'region': heartbeat.region,
            }
            for name, heartbeat in known.items()
            if heartbeat.state == 'serving'
        ]
        serving.sort(
            key=lambda e: (e['region'] != self.settings.region, e['name'])
        )
        return {
            'entries': serving,
            'max_age_s': self.settings.answer_max_age_s,
            'version': self.held.version,
        }

    def region_entries(self) -> list[str]:
        """Return the serving entries of this entry's region."""
        return [
            self.settings.entry,
            *(
                name
                for name, heartbeat in self.heartbeats.items()
                if heartbeat.region == self.settings.region
                and heartbeat.state == 'serving'
            ),
        ]

    def dump(self) -> dict[str, typing.Any]:
        """Return members for a state dump."""
        return {
            'listed': [attrs.asdict(vm) for vm in self.listed],
            'heartbeats': {
                name: attrs.asdict(heartbeat)
                for name, heartbeat in self.heartbeats.items()
            },
        }

    def _on_message(self, received: peer_hub.Received) -> None:
        if isinstance(received.message, messages.Heartbeat):
            self.heartbeats[received.peer] = received.message

    def _on_change(self, change: peer_hub.PeerChange) -> None:
        if not change.connected:
            self.heartbeats.pop(change.peer, None)
