"""What the VMs tell each other: making reports and taking them over."""

import attrs

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.fleet import peer_versions
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import event_log as event_logs
from bulrushcourse_entry.edge import knowledge as knowledges
from bulrushcourse_entry.edge import reading
from bulrushcourse_wire import fleet_messages

# Several reports within the time that a piece of work takes.
REPORT_INTERVAL_S = 0.25
# Reports grow with the number of receivers, so that larger fleets send fewer.
# Counts older than the work that they describe say little: in a fleet of 76
# VMs that reported once a second, requests sent to upstreams with six waiting
# took no longer than others.
VMS_AT_FULL_RATE = 16
SLOWEST_INTERVAL_S = 1.0
# Bytes between regions are dear and placement there follows slow shares.
# The slowest interval still beats the time after which a VM counts as gone.
OTHER_REGION_FACTOR = 2.0
SLOWEST_OTHER_REGION_S = 1.2


@attrs.define(eq=False)
class Reports:
    """Turns what this process believes into reports, and back.

    Attributes:
        known: What this process believes.
        event_log: Log.
        losses: Fresh losses of upstreams by the VM that lacks them.
        versions: How new the other VMs' configurations are.
        meetings: How many VMs the other VMs know.
    """

    known: knowledges.Knowledge
    event_log: event_logs.EventLog
    losses: dict[str, list[tuple[str, str]]] = attrs.field(factory=dict)
    versions: peer_versions.PeerVersions = attrs.field(init=False)
    meetings: peer_versions.PeerVersions = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start without knowledge of the other VMs, and forget the removed."""
        self.versions = peer_versions.PeerVersions(self.known.clock)
        self.meetings = peer_versions.PeerVersions(self.known.clock)
        self.known.removed.subscribe(self._forget)

    def _forget(self, vm: str) -> None:
        self.losses.pop(vm, None)
        self.versions.discard(vm)
        self.meetings.discard(vm)

    def share_loss(self, fingerprint: str, upstream: str) -> None:
        """Tell all VMs that a request has lost an upstream.

        Args:
            fingerprint: Hash of the request's content.
            upstream: Incarnation of the upstream.
        """
        for name in self.known.fleet.known:
            self.losses.setdefault(name, []).append((fingerprint, upstream))

    def interval_s(self, region: str) -> float:
        """Return the time between reports to a VM at the present size.

        Args:
            region: Region of the VM.
        """
        members = self.known.fleet
        if region != self.known.settings.region:
            return report_interval_s(len(members.known) + 1, other_region=True)
        return report_interval_s(members.sizes.get(region, 0) + 1)

    def make(
        self,
        to: str = '',
        region: str = '',
        delta: upstreams.DirectoryDelta | None = None,
        with_name: bool = True,
    ) -> fleet_messages.Report:
        """Return a report.

        Args:
            to: Name of the VM that shall get it.
            region: Its region.
            delta: Changes to pass on.
            with_name: Whether the receiver may not know this VM yet.
        """
        known = self.known
        fleet_known = known.fleet.known
        lacks_version = self.versions.needs_update(
            to, known.routes.version, known.reads_for_all
        )
        lacks_vms = self.meetings.needs_update(
            to, len(fleet_known), known.reads_for_all
        )
        return fleet_messages.Report(
            vm=known.fleet.local_vm if with_name else None,
            phase=known.fleet.phase,
            configuration_version=known.routes.version,
            in_flight=known.load.own,
            slowness=self._recent_slowness(region),
            demand=known.demand.own_slots(),
            losses=self.losses.pop(to, []),
            operators_version=known.operators_version,
            evacuated=sorted(known.upstreams.evacuated),
            directory_delta=delta,
            vms=list(fleet_known.values()) if lacks_vms else [],
            vms_known=len(fleet_known),
            configuration=known.configuration if lacks_version else b'',
        )

    def _recent_slowness(self, region: str) -> dict[str, tuple[float, float]]:
        if region not in ('', self.known.settings.region):
            # It fades before it matters there, and its bytes are dear.
            return {}
        now = self.known.clock.monotonic()
        interval = self.interval_s(region) * 1.2
        return {
            upstream: (value, now - at)
            for upstream, (value, at) in self.known.load.fresh.items()
            if now - at <= interval
        }

    def take(
        self, vm: fleet.Vm, report: fleet_messages.Report
    ) -> list[fleet.Vm]:
        """Take over a report.

        Args:
            vm: Its sender, already learned of.
            report: The report.

        Returns:
            VMs that the sender knows.
        """
        known = self.known
        if known.fleet.record_heartbeat(vm, report.phase):
            self.event_log.log_change(
                events.Event.MEMBER_CHANGED, vm=vm.name, state='alive'
            )
        self.versions.record_version(
            vm.name, report.configuration_version, known.routes.version
        )
        self.meetings.record_version(
            vm.name, report.vms_known, len(known.fleet.known)
        )
        known.load.record_peer_load(vm.name, report.in_flight)
        known.demand.record_peer_demand(vm.name, vm.region, report.demand)
        for upstream, (value, age_s) in report.slowness.items():
            known.load.record_peer_slowness(upstream, value, age_s)
        for fingerprint, upstream in report.losses:
            known.crashes.record_loss(fingerprint, upstream)
        if report.configuration_version > known.routes.version:
            self._take_configuration(report.configuration)
        reading.offer_evacuations(
            known,
            self.event_log,
            report.operators_version,
            frozenset(report.evacuated),
        )
        if report.directory_delta is not None:
            for change in known.upstreams.apply_delta(report.directory_delta):
                known.changes.on_next(change)
        return report.vms

    def _take_configuration(self, packed: bytes) -> None:
        if packed:
            content = fleet_messages.unpack_content(packed)
            reading.offer_configuration(self.known, self.event_log, content)


def report_interval_s(size: int, other_region: bool = False) -> float:
    """Return the time between reports to one VM in seconds.

    Args:
        size: VMs in the region, or in the fleet for another region.
        other_region: Whether the VM is in another region.

    Examples:
        >>> report_interval_s(11), report_interval_s(11, other_region=True)
        (0.25, 0.5)
    """
    scaled = REPORT_INTERVAL_S * size / VMS_AT_FULL_RATE
    interval = min(SLOWEST_INTERVAL_S, max(REPORT_INTERVAL_S, scaled))
    if not other_region:
        return interval
    return min(SLOWEST_OTHER_REGION_S, interval * OTHER_REGION_FACTOR)
