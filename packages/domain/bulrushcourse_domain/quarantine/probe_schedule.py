"""Which quarantined requests are being probed, and which may be."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.quarantine import fingerprints
from bulrushcourse_domain.quarantine import latest_times
from bulrushcourse_domain.quarantine import probes


@attrs.define
class ProbeSchedule:
    """Probes of quarantined requests and contents.

    Attributes:
        clock: Source of time.
        probed_at: Time of the latest probe at any VM, by fingerprint or
            content.
        running: Those of the probes of this VM that are running.
    """

    clock: clocks.Clock
    probed_at: latest_times.LatestTimes = attrs.field(
        factory=latest_times.LatestTimes
    )
    running: set[str] = attrs.field(factory=set)

    def admit(
        self,
        name: str,
        quarantine: probes.Quarantine | None,
        vm: str,
        members: typing.Callable[[], typing.Iterable[str]],
    ) -> probes.Verdict:
        """Return whether a request of a name may run at this VM.

        Args:
            name: Fingerprint of the request, or its content.
            quarantine: The quarantine of the name, ``None`` for none.
            vm: This VM.
            members: Returns the VMs that are alive.
        """
        if quarantine is None:
            return probes.Verdict.RUN
        if name in self.running:
            return probes.Verdict.REFUSE
        due = quarantine.due_after(self.probed_at.get(name))
        overdue_s = self.clock.monotonic() - due
        # A caller's request and its content are probed by the same VM.
        key = fingerprints.content_of(name) or name
        if probes.may_try(key, vm, members(), overdue_s):
            return probes.Verdict.PROBE
        return probes.Verdict.REFUSE
