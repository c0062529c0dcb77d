"""Reports that the VMs send to each other: building and applying them."""

import attrs

from bulrushcourse_domain.accounts import key_permission
from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.fleet import links as fleet_links
from bulrushcourse_domain.fleet import news
from bulrushcourse_domain.fleet import peer_versions
from bulrushcourse_domain.store import store_era as store_eras
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.fleet import directory_forwarding
from bulrushcourse_entry.edge.fleet import evidence_forwarding
from bulrushcourse_entry.edge.fleet import report_intervals
from bulrushcourse_entry.edge.fleet import stream_cursor
from bulrushcourse_entry.edge.fleet import work_summaries
from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_entry.edge.store import operator_changes
from bulrushcourse_wire import era_messages
from bulrushcourse_wire import fleet_messages
from bulrushcourse_wire import packing

Relation = fleet_links.Relation

# Time between two lists of all VMs to the same VM. New VMs are passed on one
# by one; the list is for a VM that missed some.
VMS_INTERVAL_S = 2.0
# Heartbeats of many VMs need not be in each report.
HEARTBEATS_INTERVAL_S = 0.45
_WITHOUT_WORK = frozenset(
    {Relation.SECONDARY, Relation.CONTACT, Relation.INTRODUCED}
)


@attrs.define(eq=False)
class Reports:
    """Builds reports from the process state and applies received ones.

    Attributes:
        state: The process state.
        event_log: Log.
        evidence: Evidence about crash-inducing requests.
        leaving: Incarnations of upstreams that said that they are leaving.
        new_vms: VMs that were added since the start.
        directory: Forwards changes of the upstream directory.
        work: Sums of the work and the heartbeats.
        configuration_versions: Configuration versions of the other VMs.
        vm_counts: Number of VMs that each other VM knows.
    """

    state: process_state.ProcessState
    event_log: event_logs.EventLog
    evidence: evidence_forwarding.EvidenceForwarding = attrs.field(init=False)
    leaving: news.News[str] = attrs.field(factory=news.News)
    new_vms: news.News[fleet.Vm] = attrs.field(factory=news.News)
    directory: directory_forwarding.DirectoryForwarding = attrs.field(
        init=False
    )
    work: work_summaries.WorkSummaries = attrs.field(init=False)
    configuration_versions: peer_versions.PeerVersions = attrs.field(
        init=False
    )
    vm_counts: peer_versions.PeerVersions = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the peer versions and subscribe to removed VMs."""
        self.directory = directory_forwarding.DirectoryForwarding(self.state)
        self.evidence = evidence_forwarding.EvidenceForwarding(self.state)
        self.work = work_summaries.WorkSummaries(self.state)
        self.configuration_versions = peer_versions.PeerVersions(
            self.state.clock
        )
        self.vm_counts = peer_versions.PeerVersions(
            self.state.clock, VMS_INTERVAL_S
        )
        self.state.removed_vms.subscribe(self._discard_vm)

    def _discard_vm(self, vm: str) -> None:
        self.state.links.discard(vm)
        self.directory.discard(vm)
        self.configuration_versions.discard(vm)
        self.vm_counts.discard(vm)

    def queue_leaving(self, incarnation: str) -> None:
        """Add an upstream that said that it is leaving to the next reports.

        Args:
            incarnation: Incarnation of the upstream.
        """
        self.leaving.add(incarnation)

    def open_cursor(
        self, receiver: str, region: str, relation: Relation
    ) -> stream_cursor.StreamCursor:
        """Return the cursor of a new stream.

        Args:
            receiver: Name of the receiving VM.
            region: Its region.
            relation: What it is to this VM.
        """
        return stream_cursor.StreamCursor(
            receiver, region, relation, vms=self.new_vms.latest
        )

    def interval_s(self, relation: Relation) -> float:
        """Return the time between reports to a VM in seconds.

        Args:
            relation: What the VM is to this VM.
        """
        region = self.state.settings.region
        vm_count = self.state.fleet.region_sizes.get(region, 0) + 1
        return report_intervals.report_interval_s(vm_count, relation)

    def build(
        self, cursor: stream_cursor.StreamCursor
    ) -> fleet_messages.Report:
        """Return the next report of a stream and advance its cursor.

        It carries the configuration and the list of VMs only if the receiver
        lacks them.

        Args:
            cursor: Cursor of the stream.
        """
        state = self.state
        if cursor.relation in _WITHOUT_WORK:
            return self._heartbeat(cursor)
        roster, heartbeats = self._heartbeats_to_send(cursor)
        is_new_roster = roster is not cursor.roster and (
            roster != cursor.roster
        )
        leaving = self.leaving.since(cursor.leaving)
        vms = self._vms_to_send(cursor)
        report = fleet_messages.Report(
            vm=state.fleet.local_vm if cursor.is_first else None,
            relation=cursor.relation,
            phase=state.fleet.phase,
            configuration_version=state.routes.version,
            store_era=era_messages.describe(state.store_era),
            directory_position=state.upstreams.exact_position,
            directory_age_s=state.clock.monotonic() - state.upstreams.read_at,
            scopes=self.work.scopes(cursor),
            slowness=self.work.recent_slowness(cursor.relation),
            roster=roster if is_new_roster else None,
            heartbeats=heartbeats,
            evidence=self.evidence.to_send(cursor),
            leaving=tuple(leaving),
            operators_position=state.operators_position,
            evacuated=tuple(sorted(state.evacuations.stored)),
            evacuations_held=tuple(
                sorted(state.evacuations.in_force() - state.evacuations.stored)
            ),
            directory_delta=self.directory.delta(cursor),
            upstream_states=state.upstreams.states_of_held_back(),
            vms=vms,
            vms_known=len(state.fleet.peers),
            configuration=self._configuration_to_send(cursor.receiver),
            key_proof=self._proof_to_send(cursor),
        )
        cursor.is_first = False
        cursor.roster = roster
        cursor.leaving = self.leaving.latest
        cursor.vms = self.new_vms.latest
        return report

    def _heartbeats_to_send(
        self, cursor: stream_cursor.StreamCursor
    ) -> tuple[stream_cursor.Roster | None, fleet_messages.Heartbeats]:
        now = self.state.clock.monotonic()
        if now - cursor.heartbeats_sent_at < HEARTBEATS_INTERVAL_S:
            return cursor.roster, fleet_messages.Heartbeats()
        cursor.heartbeats_sent_at = now
        return self.work.heartbeats(cursor.relation)

    def _heartbeat(
        self, cursor: stream_cursor.StreamCursor
    ) -> fleet_messages.Report:
        state = self.state
        report = fleet_messages.Report(
            vm=state.fleet.local_vm if cursor.is_first else None,
            relation=cursor.relation,
            phase=state.fleet.phase,
            configuration_version=state.routes.version,
            store_era=era_messages.describe(state.store_era),
            directory_position=state.upstreams.exact_position,
            vms=self._vms_to_send(cursor),
            vms_known=len(state.fleet.peers),
            key_proof=self._proof_to_send(cursor),
        )
        cursor.is_first = False
        return report

    def _proof_to_send(
        self, cursor: stream_cursor.StreamCursor
    ) -> key_permission.Proof | None:
        """Return the newest proof unless it was sent on the stream."""
        state = self.state
        if not state.keys_must_be_current:
            return None
        proof = state.key_permission.proof_to_pass_on(
            state.settings.bounds.revoke_s
        )
        if proof == cursor.key_proof:
            return None
        cursor.key_proof = proof
        return proof

    def _configuration_to_send(self, receiver: str) -> bytes:
        needs_update = self.configuration_versions.needs_update(
            receiver,
            self.state.routes.version,
            self.state.is_designated_reader,
        )
        return self.state.packed_configuration if needs_update else b''

    def _vms_to_send(
        self, cursor: stream_cursor.StreamCursor
    ) -> tuple[fleet.Vm, ...]:
        known = self.state.fleet.peers
        now = self.state.clock.monotonic()
        if now - cursor.vms_sent_at > VMS_INTERVAL_S and (
            self.vm_counts.needs_update(
                cursor.receiver,
                len(known),
                immediately=cursor.relation is Relation.INTRODUCED,
            )
        ):
            cursor.vms_sent_at = now
            return tuple(known.values())
        if cursor.relation in _WITHOUT_WORK:
            return ()
        return tuple(
            vm
            for vm in self.new_vms.since(cursor.vms)
            if known.get(vm.name) == vm
        )

    def apply(
        self,
        vm: fleet.Vm,
        report: fleet_messages.Report,
        roster: stream_cursor.Roster,
    ) -> list[fleet.Vm]:
        """Apply a received report to the process state.

        Args:
            vm: Its sender, already added to the fleet.
            report: The report.
            roster: The last roster of the stream.

        Returns:
            VMs that the report lists.
        """
        state = self.state
        self._admit_era(report.store_era)
        if state.fleet.record_heartbeat(vm, report.phase):
            self.event_log.log_change(
                events.Event.MEMBER_CHANGED, vm=vm.name, state='alive'
            )
        self.state.links.record_report(vm.name, report.relation)
        self.configuration_versions.record_version(
            vm.name, report.configuration_version, state.routes.version
        )
        self.vm_counts.record_version(
            vm.name, report.vms_known, len(state.fleet.peers)
        )
        state.freshness.record_report(
            report.configuration_version, state.routes.version
        )
        self._apply_work(report)
        state.fleet.record_relayed_heartbeats(
            roster,
            report.heartbeats.ages_s(),
            report.heartbeats.phase_values(),
        )
        self._apply_facts(report)
        if report.configuration_version > state.routes.version:
            state.silent_connection_hints.on_next(
                process_state.SilentConnectionHint.NEWER_CONFIGURATION
            )
            self._apply_configuration(report.configuration)
        if report.key_proof is not None and not state.store_era.is_settling():
            # The sender may have read only the copy of a returned store.
            state.key_permission.record_proof(
                report.key_proof, state.routes.version
            )
        self._apply_evacuations(report)
        had_diverged = state.upstreams.has_diverged
        self.directory.apply(vm, report)
        if state.upstreams.has_diverged and not had_diverged:
            self.event_log.log_change(
                events.Event.DIRECTORY_DIVERGED,
                vm=vm.name,
                version=state.upstreams.position.version,
            )
        return list(report.vms)

    def _apply_evacuations(self, report: fleet_messages.Report) -> None:
        self.state.evacuations.adopt(
            report.operators_position,
            report.evacuated,
            report.evacuations_held,
        )
        operator_changes.apply_evacuations(self.state, self.event_log)

    def _admit_era(self, known: era_messages.KnownEra) -> None:
        """Adopt what the sender knows, which its positions depend on."""
        store_era = self.state.store_era
        before = store_era.era
        if store_era.admit_report(
            known.era, known.first_version, known.settling_s
        ):
            if before == store_era.era:
                self.state.distrust_store()
            self.state.store_returns.on_next(
                store_eras.EraChange(
                    before, store_era.era, store_eras.Source.PEERS
                )
            )

    def _apply_work(self, report: fleet_messages.Report) -> None:
        state = self.state
        names = state.upstreams.names
        for scope in report.scopes:
            if scope.source == state.settings.vm:
                continue
            state.load.record_peer_load(
                scope.source,
                {
                    names[upstream]: count
                    for upstream, count in scope.in_flight.items()
                    if upstream in names
                },
            )
            state.demand.reports.record(
                scope.source,
                {r: dict(slots) for r, slots in scope.demand.items()},
            )
            state.pressure.reports.record(scope.source, scope.pressure)
        for upstream, (value, age_s) in report.slowness.items():
            if upstream in names:
                state.load.record_peer_slowness(names[upstream], value, age_s)
        state.room_changes.on_next(None)

    def _apply_facts(self, report: fleet_messages.Report) -> None:
        self.evidence.apply(report.evidence, report.vm is not None)
        for incarnation in report.leaving:
            self.leaving.add(incarnation)
            if self.state.permissions.record_leaving(incarnation):
                self.event_log.log_change(
                    events.Event.UPSTREAM_LEAVING, upstream=incarnation
                )

    def _apply_configuration(self, packed: bytes) -> None:
        if packed:
            content = packing.unpack_content(packed)
            operator_changes.apply_configuration(
                self.state, self.event_log, content
            )
