"""Membership from the platform's list of VMs and from heartbeats."""

import asyncio
import typing

import attrs
import reactivex
from reactivex import subject

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import active_configuration
from bulrushcourse_domain.membership import lookup as member_lookup
from bulrushcourse_domain.membership import member
from bulrushcourse_domain.membership import readers
from bulrushcourse_domain.membership import view as member_view
from bulrushcourse_entry import events
from bulrushcourse_entry import settings as entry_settings
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_entry.platform import vm_list
from bulrushcourse_wire import messages

VM_LIST_INTERVAL_S = 1.0
SWEEP_INTERVAL_S = 0.25


@attrs.define(eq=False)
class Members:
    """Tracks the members, keeps peers connected and answers look-ups.

    Attributes:
        settings: Settings of this entry.
        clock: Source of time.
        vms: The platform's list of VMs.
        hub: Streams to peers.
        configuration: The active configuration.
        own_heartbeat: Returns this entry's heartbeat.
        view: State of each member.
        lookup: Look-up answers from the members that may serve clients.
        sweeps: Subject of the view after each sweep.
        listed: Last list of VMs that the platform returned.
        isolated: Whether this entry was isolated at the last sweep.
    """

    settings: entry_settings.Settings
    clock: clocks.Clock
    vms: vm_list.VmList
    hub: peer_hub.PeerHub
    configuration: active_configuration.ActiveConfiguration
    own_heartbeat: typing.Callable[[], messages.Heartbeat]
    view: member_view.MemberView = attrs.field(init=False)
    lookup: member_lookup.Lookup = attrs.field(factory=member_lookup.Lookup)
    sweeps: reactivex.Subject = attrs.field(factory=subject.Subject)
    listed: tuple[vm_list.VmRecord, ...] = ()
    isolated: bool = False

    def __attrs_post_init__(self) -> None:
        identity = self.hub.identity
        own_info = member.MemberInfo(
            identity.entry, identity.incarnation, identity.vm_id
        )
        self.view = member_view.MemberView(self.clock, own_info)

    def start(self) -> None:
        """Subscribe to heartbeats and connect to the configured peers."""
        self.hub.received.subscribe(self._on_message)
        self.hub.set_peers(self.settings.peers)

    async def run(self) -> None:
        """Poll the list of VMs until cancelled."""
        while True:
            listed = await self.vms.list()
            if listed is not None:
                self.listed = listed
                self.view.update_vm_list(
                    member.ListedVm(vm.vm_id, vm.entry, vm.state == 'leaving')
                    for vm in listed
                )
                addresses = {vm.entry: vm.peer_address for vm in listed}
                self.hub.set_peers(addresses | self.settings.peers)
            await asyncio.sleep(VM_LIST_INTERVAL_S)

    async def run_sweeps(self) -> None:
        """Sweep periodically until cancelled."""
        while True:
            self.sweep()
            await asyncio.sleep(SWEEP_INTERVAL_S)

    def sweep(self) -> None:
        """Update the view, log state changes and refresh look-up answers."""
        self.view.own = self._member_info(
            self.hub.identity, self.own_heartbeat()
        )
        for changed in self.view.sweep():
            events.emit(
                events.Event.MEMBER_CHANGED,
                entry=changed.info.entry,
                incarnation=changed.info.incarnation,
                state=changed.state.value,
            )
        if self.view.is_isolated != self.isolated:
            self.isolated = self.view.is_isolated
            events.emit(
                events.Event.ISOLATED
                if self.isolated
                else events.Event.NOT_ISOLATED
            )
        self._refresh_lookup()
        self.sweeps.on_next(self.view)

    def answer(self, client: str) -> dict[str, typing.Any]:
        """Return the look-up answer for a client.

        Args:
            client: IP address of the client.
        """
        return {
            'entries': [
                {
                    'name': candidate.entry,
                    'address': candidate.address,
                    'region': candidate.region,
                }
                for candidate in self.lookup.answer(
                    client, self._client_region(client)
                )
            ],
            'max_age_s': self.settings.answer_max_age_s,
            'version': self.configuration.version,
        }

    def region_entries(self) -> list[str]:
        """Return the serving entries of this entry's region, own first."""
        return [
            self.settings.entry,
            *(
                candidate.entry
                for candidate in self.lookup.members
                if candidate.region == self.settings.region
                and candidate.entry != self.settings.entry
            ),
        ]

    def is_designated_reader(self) -> bool:
        """Return whether this entry is a designated reader of its region."""
        region = self.settings.region
        return self.settings.entry in readers.designate_readers(
            f'configuration of {region}',
            (m.entry for m in self.lookup.members if m.region == region),
        )

    def newest_peer_version(self) -> int:
        """Return the newest configuration version of any other entry."""
        return max(
            (peer.info.held_version for peer in self.view.members.values()),
            default=0,
        )

    def silent_vms(self) -> frozenset[str] | None:
        """Return live VMs without recent heartbeats, ``None`` if unknown.

        Unknown means that the list of VMs is not fresh.
        """
        return self.view.silent_vms() if self.view.list_is_fresh else None

    def dump(self) -> dict[str, typing.Any]:
        """Return members for a state dump."""
        return {
            'listed': [attrs.asdict(vm) for vm in self.listed],
            'list_is_fresh': self.view.list_is_fresh,
            'isolated': self.isolated,
            'members': self.describe(),
            'named': [candidate.entry for candidate in self.lookup.members],
        }

    def describe(self) -> list[dict[str, typing.Any]]:
        """Return the state of each known incarnation, this entry's first."""
        states = self.view.states()
        now = self.clock.monotonic()
        own = attrs.asdict(
            self._member_info(self.hub.identity, self.own_heartbeat())
        )
        own['state'] = 'isolated' if self.isolated else own['state']
        return [own | {'silent_s': 0.0}] + [
            attrs.asdict(peer.info)
            | {
                'state': states[incarnation].value,
                'silent_s': round(now - peer.heard_at, 3),
            }
            for incarnation, peer in self.view.members.items()
        ]

    def explain(self, client: str) -> dict[str, typing.Any]:
        """Return the look-up answer for a client and how it was chosen.

        Args:
            client: IP address of the client.
        """
        place = self._client_place(client)
        region = self._client_region(client)
        return {
            'client': client,
            'place': place,
            'region': region,
            'region_from': 'client blocks' if place else 'this entry',
            'regions': self.lookup.regions_by_distance(region),
            'entries': self.answer(client)['entries'],
            'left_out': [
                {'entry': described['entry'], 'state': described['state']}
                for described in self.describe()
                if described['state'] != 'live'
                and (described['state'] != 'serving' or self.isolated)
            ],
        }

    def _client_place(self, client: str) -> str:
        """Return the place of a client, empty if no address block matches."""
        if self.configuration.current is None:
            return ''
        try:
            return self.configuration.current.client_blocks.place(client)
        except ValueError:
            return ''

    def _client_region(self, client: str) -> str:
        """Return the region of a client, this entry's region if unknown."""
        place = self._client_place(client)
        if place:
            return self.configuration.current.regions[place]
        return self.settings.region

    def _refresh_lookup(self) -> None:
        current = self.configuration.current
        nearest_regions = current.nearest_regions if current else {}
        # Versions and store contact change often and affect no answer.
        candidates = tuple(
            attrs.evolve(
                candidate, version=0, held_version=0, store_reachable=True
            )
            for candidate in self.view.lookup_candidates()
        )
        if (
            candidates != self.lookup.members
            or nearest_regions != self.lookup.nearest_regions
        ):
            self.lookup = member_lookup.Lookup(candidates, nearest_regions)

    def _on_message(self, received: peer_hub.ReceivedMessage) -> None:
        stream = self.hub.streams.get(received.peer)
        if stream is None or not isinstance(
            received.message, messages.Heartbeat
        ):
            return
        before = self.view.members.get(received.incarnation)
        self.view.record_heartbeat(
            self._member_info(stream.hello, received.message)
        )
        after = self.view.members.get(received.incarnation)
        if (before and before.state) is not (after and after.state):
            self._refresh_lookup()

    @staticmethod
    def _member_info(
        identity: typing.Any, heartbeat: messages.Heartbeat
    ) -> member.MemberInfo:
        return member.MemberInfo(
            identity.entry,
            identity.incarnation,
            identity.vm_id,
            heartbeat.region,
            heartbeat.failure_domain,
            heartbeat.callers_address,
            heartbeat.state,
            heartbeat.configuration_version,
            heartbeat.held_version,
            heartbeat.store_reachable,
        )
