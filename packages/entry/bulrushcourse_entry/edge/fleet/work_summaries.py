"""Sums of the work and the heartbeats of VMs, for reports to other VMs."""

import typing

import attrs

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.fleet import links as fleet_links
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.fleet import stream_cursor
from bulrushcourse_wire import fleet_messages

Relation = fleet_links.Relation

# A slowness this old has lost three quarters of its weight.
MAX_SLOWNESS_AGE_S = 0.8
# Time for which reports may share the list of heartbeats.
HEARTBEATS_CACHE_S = 0.1
ELSEWHERE = 'elsewhere'
_RELAY_PREFIX = 'relay:'
_REGION_PREFIX = 'region:'


@attrs.define(eq=False)
class WorkSummaries:
    """Adds up what this VM knows, for each relation of a receiver.

    Attributes:
        state: The process state.
        heartbeats_cache: Time, roster and heartbeats by relation.
    """

    state: process_state.ProcessState
    heartbeats_cache: dict[
        Relation,
        tuple[float, stream_cursor.Roster, fleet_messages.Heartbeats],
    ] = attrs.field(factory=dict)

    def scopes(
        self, cursor: stream_cursor.StreamCursor
    ) -> tuple[fleet_messages.Scope, ...]:
        """Return the work that a report to a stream's receiver states.

        Args:
            cursor: Cursor of the stream.
        """
        builders = {
            Relation.PRIMARY: self._own_scope,
            Relation.RELAY: self._group_scopes,
            Relation.GATEWAY: self._region_scope,
            Relation.MEMBER: self._fleet_scopes,
            Relation.STANDBY: lambda _cursor: (),
        }
        return builders[cursor.relation](cursor)

    def _own_scope(
        self, _cursor: stream_cursor.StreamCursor
    ) -> tuple[fleet_messages.Scope, ...]:
        return (self._scope(self.state.settings.vm, (), include_own=True),)

    def _group_scopes(
        self, _cursor: stream_cursor.StreamCursor
    ) -> tuple[fleet_messages.Scope, ...]:
        """Return the sum of the group, and what gateways sent to this VM."""
        group = self._scope(
            _RELAY_PREFIX + self.state.settings.vm,
            self.state.links.members(),
            include_own=True,
        )
        gateways = self.state.links.senders(Relation.GATEWAY)
        regions = {self.state.fleet.peers[name].region for name in gateways}
        return (
            group,
            *(
                self._scope(source, (source,), include_own=False)
                for source in sorted(_REGION_PREFIX + r for r in regions)
            ),
        )

    def _region_scope(
        self, cursor: stream_cursor.StreamCursor
    ) -> tuple[fleet_messages.Scope, ...]:
        sources = [
            source
            for source in self.state.load.peer_loads
            if not source.startswith(_REGION_PREFIX) and source != ELSEWHERE
        ]
        return (
            self._scope(
                _REGION_PREFIX + self.state.settings.region,
                sources,
                include_own=True,
                region=cursor.region,
            ),
        )

    def _fleet_scopes(
        self, cursor: stream_cursor.StreamCursor
    ) -> tuple[fleet_messages.Scope, ...]:
        """Return the VMs of the group one by one, and the sum of all others.

        The receiver leaves itself out.
        """
        members = self.state.links.members()
        others = [
            source
            for source in self.state.load.peer_loads
            if source not in members and source != ELSEWHERE
        ]
        return (
            self._scope(self.state.settings.vm, (), include_own=True),
            *(
                self._scope(member, (member,), include_own=False)
                for member in members
                if member != cursor.receiver
            ),
            self._scope(ELSEWHERE, others, include_own=False),
        )

    def _scope(
        self,
        source: str,
        sources: typing.Collection[str],
        include_own: bool,
        region: str = '',
    ) -> fleet_messages.Scope:
        """Return the work of several sources, at one region's upstreams."""
        state = self.state
        by_name = state.upstreams.by_name
        in_flight = state.load.sum_of(sources, include_own)
        return fleet_messages.Scope(
            source,
            {
                upstreams.short_id(name): count
                for name, count in in_flight.items()
                if not region
                or (name in by_name and by_name[name].region == region)
            },
            state.demand.sum_of(sources, include_own),
            state.pressure.sum_of(sources, include_own),
        )

    def heartbeats(
        self, relation: Relation
    ) -> tuple[stream_cursor.Roster, fleet_messages.Heartbeats]:
        """Return the VMs that a report covers and their heartbeats.

        Reports of the same relation share them for a short time.

        Args:
            relation: What the receiver is to this VM.
        """
        now = self.state.clock.monotonic()
        cached = self.heartbeats_cache.get(relation)
        if cached is not None and now - cached[0] <= HEARTBEATS_CACHE_S:
            return cached[1:]
        vms = self.state.fleet
        local = vms.local_vm
        covers = self._covered(relation)
        oldest = now - fleet.SHARING_TIMEOUT_S
        covered = [
            (vms.peers[name], heartbeat)
            for name, heartbeat in vms.heartbeats.items()
            if heartbeat.at >= oldest and covers(vms.peers[name])
        ]
        roster = (
            (local.name, local.incarnation),
            *((vm.name, vm.incarnation) for vm, _ in covered),
        )
        heartbeats = fleet_messages.encode_heartbeats(
            [
                (0.0, vms.phase),
                *((now - h.at, h.phase) for _, h in covered),
            ]
        )
        self.heartbeats_cache[relation] = now, roster, heartbeats
        return roster, heartbeats

    def _covered(
        self, relation: Relation
    ) -> typing.Callable[[fleet.Vm], bool]:
        region = self.state.settings.region
        attached = {
            *self.state.links.members(),
            *self.state.links.senders(Relation.SECONDARY),
        }
        has_gateways = bool(self.state.links.senders(Relation.GATEWAY))
        return {
            Relation.PRIMARY: lambda vm: False,
            Relation.RELAY: lambda vm: (
                vm.name in attached if vm.region == region else has_gateways
            ),
            Relation.GATEWAY: lambda vm: vm.region == region,
            Relation.MEMBER: lambda vm: True,
            Relation.STANDBY: lambda vm: True,
        }[relation]

    def recent_slowness(
        self, relation: Relation
    ) -> dict[int, tuple[float, float]]:
        """Return the slowness of upstreams, and its age, for a receiver.

        Args:
            relation: What the receiver is to this VM.
        """
        known = {
            Relation.PRIMARY: self.state.load.own_slowness,
            Relation.RELAY: self.state.load.own_slowness,
            Relation.MEMBER: self.state.load.slowness,
            # It decays before another region could use it.
            Relation.GATEWAY: {},
            Relation.STANDBY: {},
        }[relation]
        if relation is Relation.RELAY and self.state.links.members():
            known = self.state.load.slowness
        now = self.state.clock.monotonic()
        return {
            upstreams.short_id(upstream): (value, now - at)
            for upstream, (value, at) in known.items()
            if now - at <= MAX_SLOWNESS_AGE_S
        }
