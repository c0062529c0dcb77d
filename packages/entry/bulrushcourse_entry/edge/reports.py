"""Reports that the VMs send to each other: building and applying them."""

import attrs

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.fleet import peer_versions
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import event_log as event_logs
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge import store_readers
from bulrushcourse_wire import fleet_messages

# Gives several reports during the typical service time of a request.
MIN_REPORT_INTERVAL_S = 0.25
# The cost of reports grows with the number of receivers, so that the interval
# is longer in larger fleets. It stays short since request counts older than
# the service time are no use: with 76 VMs that report once a second,
# requests to upstreams with a reported queue of six take no longer than
# others.
MAX_VMS_AT_MIN_INTERVAL = 16
MAX_REPORT_INTERVAL_S = 1.0
# Traffic between regions is expensive, and placement in other regions follows
# shares that change slowly. The longest interval is still below the time after
# which a silent VM counts as failed.
OTHER_REGION_INTERVAL_FACTOR = 2.0
MAX_OTHER_REGION_INTERVAL_S = 1.2


@attrs.define(eq=False)
class Reports:
    """Builds reports from the process state and applies received ones.

    Attributes:
        state: The process state.
        event_log: Log.
        pending_losses: Losses of upstreams (request fingerprint, upstream
            incarnation) still to be sent, by receiving VM.
        configuration_versions: Configuration versions of the other VMs.
        vm_counts: Number of VMs that each other VM knows.
    """

    state: process_state.ProcessState
    event_log: event_logs.EventLog
    pending_losses: dict[str, list[tuple[str, str]]] = attrs.field(
        factory=dict
    )
    configuration_versions: peer_versions.PeerVersions = attrs.field(
        init=False
    )
    vm_counts: peer_versions.PeerVersions = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the peer versions and subscribe to removed VMs."""
        self.configuration_versions = peer_versions.PeerVersions(
            self.state.clock
        )
        self.vm_counts = peer_versions.PeerVersions(self.state.clock)
        self.state.removed_vms.subscribe(self._discard_vm)

    def _discard_vm(self, vm: str) -> None:
        self.pending_losses.pop(vm, None)
        self.configuration_versions.discard(vm)
        self.vm_counts.discard(vm)

    def queue_loss(self, fingerprint: str, upstream: str) -> None:
        """Add the loss of an upstream to the next report to each VM.

        Args:
            fingerprint: Hash of the request during which it was lost.
            upstream: Incarnation of the upstream.
        """
        for name in self.state.fleet.peers:
            self.pending_losses.setdefault(name, []).append(
                (fingerprint, upstream)
            )

    def interval_s(self, region: str) -> float:
        """Return the time between reports to a VM in seconds.

        Args:
            region: Region of the receiving VM.
        """
        vms = self.state.fleet
        if region != self.state.settings.region:
            return report_interval_s(len(vms.peers) + 1, other_region=True)
        return report_interval_s(vms.region_sizes.get(region, 0) + 1)

    def build(
        self,
        to: str = '',
        region: str = '',
        delta: upstreams.DirectoryDelta | None = None,
        include_sender: bool = True,
    ) -> fleet_messages.Report:
        """Return a report for one VM.

        It carries the configuration and the list of VMs only if the receiver
        lacks them.

        Args:
            to: Name of the receiving VM, empty if it is not known.
            region: Region of the receiving VM, empty if it is not known.
            delta: Changes of the upstream directory to forward.
            include_sender: Whether to describe this VM, for a receiver that
                may not know it yet.
        """
        state = self.state
        other_vms = state.fleet.peers
        send_configuration = self.configuration_versions.needs_update(
            to, state.routes.version, state.is_designated_reader
        )
        send_vms = self.vm_counts.needs_update(
            to, len(other_vms), state.is_designated_reader
        )
        return fleet_messages.Report(
            vm=state.fleet.local_vm if include_sender else None,
            phase=state.fleet.phase,
            configuration_version=state.routes.version,
            in_flight=state.load.own_in_flight,
            slowness=self._recent_slowness(region),
            demand=state.demand.own_slots(),
            losses=self.pending_losses.pop(to, []),
            operators_version=state.operators_version,
            evacuated=sorted(state.upstreams.evacuated),
            directory_delta=delta,
            vms=list(other_vms.values()) if send_vms else [],
            vms_known=len(other_vms),
            configuration=state.packed_configuration
            if send_configuration
            else b'',
        )

    def _recent_slowness(self, region: str) -> dict[str, tuple[float, float]]:
        if region not in ('', self.state.settings.region):
            # It decays before another region could use it, and traffic
            # between regions is expensive.
            return {}
        now = self.state.clock.monotonic()
        interval = self.interval_s(region) * 1.2
        return {
            upstream: (value, now - at)
            for upstream, (value, at) in self.state.load.own_slowness.items()
            if now - at <= interval
        }

    def apply(
        self, vm: fleet.Vm, report: fleet_messages.Report
    ) -> list[fleet.Vm]:
        """Apply a received report to the process state.

        Args:
            vm: Its sender, already added to the fleet.
            report: The report.

        Returns:
            VMs that the report lists.
        """
        state = self.state
        if state.fleet.record_heartbeat(vm, report.phase):
            self.event_log.log_change(
                events.Event.MEMBER_CHANGED, vm=vm.name, state='alive'
            )
        self.configuration_versions.record_version(
            vm.name, report.configuration_version, state.routes.version
        )
        self.vm_counts.record_version(
            vm.name, report.vms_known, len(state.fleet.peers)
        )
        state.load.record_peer_load(vm.name, report.in_flight)
        state.demand.record_peer_demand(vm.name, vm.region, report.demand)
        for upstream, (value, age_s) in report.slowness.items():
            state.load.record_peer_slowness(upstream, value, age_s)
        for fingerprint, upstream in report.losses:
            state.crash_ledger.record_loss(fingerprint, upstream)
        if report.configuration_version > state.routes.version:
            self._apply_configuration(report.configuration)
        store_readers.apply_evacuations(
            state,
            self.event_log,
            report.operators_version,
            frozenset(report.evacuated),
        )
        if report.directory_delta is not None:
            for change in state.upstreams.apply_delta(report.directory_delta):
                state.upstream_changes.on_next(change)
        return report.vms

    def _apply_configuration(self, packed: bytes) -> None:
        if packed:
            content = fleet_messages.unpack_content(packed)
            store_readers.apply_configuration(
                self.state, self.event_log, content
            )


def report_interval_s(vm_count: int, other_region: bool = False) -> float:
    """Return the time between reports to one VM in seconds.

    Args:
        vm_count: Number of VMs in the region, or in the fleet for a VM in
            another region.
        other_region: Whether the VM is in another region.

    Examples:
        >>> report_interval_s(11), report_interval_s(11, other_region=True)
        (0.25, 0.5)
    """
    scaled = MIN_REPORT_INTERVAL_S * vm_count / MAX_VMS_AT_MIN_INTERVAL
    interval = min(MAX_REPORT_INTERVAL_S, max(MIN_REPORT_INTERVAL_S, scaled))
    if not other_region:
        return interval
    return min(
        MAX_OTHER_REGION_INTERVAL_S, interval * OTHER_REGION_INTERVAL_FACTOR
    )
