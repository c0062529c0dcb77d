"""Estimates of the work that arrives in each region, by service."""

import math
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.fleet import source_reports

# Long enough to smooth single requests, short enough to follow a burst.
HALF_LIFE_S = 1.5
REPORT_MAX_AGE_S = 3.0
# Rates and reports need several half-lives to converge on the demand.
SETTLING_S = 4.0
# Slots by region and service.
SlotsByRegion = dict[str, dict[str, float]]


@attrs.define
class WorkRate:
    """Exponentially decaying average of the rate of work.

    Attributes:
        per_s: Seconds of work per second, as of ``updated_at``.
        updated_at: Time of the last update.
    """

    per_s: float = 0.0
    updated_at: float = 0.0

    def rate_at(self, now: float) -> float:
        """Return the decayed rate.

        Args:
            now: The time.
        """
        return self.per_s * 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)

    def add(self, amount: float, now: float) -> None:
        """Add work that arrived.

        Args:
            amount: Seconds of work.
            now: The time.
        """
        self.per_s = self.rate_at(now) + amount * math.log(2) / HALF_LIFE_S
        self.updated_at = now


@attrs.define
class Demand:
    """Slots needed by the work that arrives, by region and service.

    Attributes:
        clock: Source of time.
        region: Region of this VM.
        own_rates: Rate of the work that arrives at this VM, by service.
        reports: Slots by region and service that other VMs report.
        settled_at: Time from which the estimate can be used, set by the first
            request.
    """

    clock: clocks.Clock
    region: str
    own_rates: dict[str, WorkRate] = attrs.field(factory=dict)
    reports: source_reports.SourceReports[SlotsByRegion] = attrs.field(
        init=False
    )
    settled_at: float = math.inf

    def __attrs_post_init__(self) -> None:
        """Create the reports."""
        self.reports = source_reports.SourceReports(
            self.clock, REPORT_MAX_AGE_S
        )

    def record_request(self, service: str, work_s: float) -> None:
        """Count a request that arrives at this VM.

        Args:
            service: Name of the service.
            work_s: Its expected service time, in seconds of one slot.
        """
        now = self.clock.monotonic()
        self.settled_at = min(self.settled_at, now + SETTLING_S)
        self.own_rates.setdefault(service, WorkRate()).add(work_s, now)

    def own_slots(self) -> dict[str, float]:
        """Return the slots needed by the requests of this VM, by service."""
        now = self.clock.monotonic()
        return {
            service: round(rate.rate_at(now), 2)
            for service, rate in self.own_rates.items()
        }

    def sum_of(
        self, sources: typing.Iterable[str], include_own: bool
    ) -> SlotsByRegion:
        """Return the slots that several sources need, by region and service.

        Args:
            sources: Names of the sources.
            include_own: Whether the requests of this VM are included.
        """
        sums: SlotsByRegion = {}
        if include_own:
            sums[self.region] = self.own_slots()
        for source in sources:
            by_region = self.reports.get(source) or {}
            for region, slots in by_region.items():
                total = sums.setdefault(region, {})
                for service, count in slots.items():
                    total[service] = total.get(service, 0.0) + count
        return sums

    def by_region(self, service: str) -> dict[str, float]:
        """Return the slots that a service needs, by region of arrival.

        Args:
            service: Name of the service.
        """
        now = self.clock.monotonic()
        rate = self.own_rates.get(service)
        sums = {self.region: rate.rate_at(now) if rate else 0.0}
        for by_region in self.reports.recent():
            for region, slots in by_region.items():
                sums[region] = sums.get(region, 0.0) + slots.get(service, 0.0)
        return sums
