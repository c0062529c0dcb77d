"""Work that arrives in each region, by service."""

import math
import typing

import attrs

from bulrushcourse_domain import clock as clocks

# Long enough to even out single requests, short enough to follow a burst.
HALF_LIFE_S = 1.5
REPORT_MAX_AGE_S = 3.0
# Flows and reports need some half-lives before they show the demand.
SETTLING_S = 4.0


@attrs.define
class Flow:
    """Exponentially weighted rate of work.

    Attributes:
        level: Work a second, at ``at``.
        at: Time of the last update.
    """

    level: float = 0.0
    at: float = 0.0

    def read(self, now: float) -> float:
        """Return the rate at a time.

        Args:
            now: The time.
        """
        return self.level * 0.5 ** ((now - self.at) / HALF_LIFE_S)

    def add(self, amount: float, now: float) -> None:
        """Count work that arrives.

        Args:
            amount: Seconds of work.
            now: The time.
        """
        self.level = self.read(now) + amount * math.log(2) / HALF_LIFE_S
        self.at = now


@attrs.define
class Demand:
    """Slots that arriving work needs, by region and service.

    Attributes:
        clock: Source of time.
        region: Region of this VM.
        own: Flows of this VM by service.
        reports: Last report of each other VM: time, region, slots.
        settled_at: When the demand is known, after the first request.
    """

    clock: clocks.Clock
    region: str
    own: dict[str, Flow] = attrs.field(factory=dict)
    reports: dict[str, tuple[float, str, dict[str, float]]] = attrs.field(
        factory=dict
    )
    settled_at: float = math.inf

    def record_request(self, service: str, work_s: float) -> None:
        """Count a request that arrives at this VM.

        Args:
            service: Name of the service.
            work_s: Work that it needs, in seconds of one slot.
        """
        now = self.clock.monotonic()
        self.settled_at = min(self.settled_at, now + SETTLING_S)
        self.own.setdefault(service, Flow()).add(work_s, now)

    def own_slots(self) -> dict[str, float]:
        """Return the slots that this VM's requests need, by service."""
        now = self.clock.monotonic()
        return {s: round(f.read(now), 2) for s, f in self.own.items()}

    def record_peer_demand(
        self, vm: str, region: str, slots: typing.Mapping[str, float]
    ) -> None:
        """Take over what another VM reports.

        Args:
            vm: Name of the VM.
            region: Its region.
            slots: Slots that its requests need, by service.
        """
        self.reports[vm] = self.clock.monotonic(), region, dict(slots)

    def discard(self, vm: str) -> None:
        """Drop the report of a VM that was removed.

        Args:
            vm: Name of the VM.
        """
        self.reports.pop(vm, None)

    def by_region(self, service: str) -> dict[str, float]:
        """Return the slots that a service needs in each region.

        Args:
            service: Name of the service.
        """
        now = self.clock.monotonic()
        flow = self.own.get(service)
        sums = {self.region: flow.read(now) if flow else 0.0}
        for at, region, slots in self.reports.values():
            if now - at <= REPORT_MAX_AGE_S:
                sums[region] = sums.get(region, 0.0) + slots.get(service, 0.0)
        return sums
