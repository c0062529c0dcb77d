"""How many requests of each priority found no room lately, over all VMs.

Answers a fleet in which each VM gets a thin stream: none of them alone sees
that more urgent requests are refused at the others, so less urgent requests
would take the room that these need.
"""

import math
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.fleet import source_reports

# Long enough for the few requests of one VM, short enough to end with a burst.
HALF_LIFE_S = 1.5
# VMs report several times a second; a VM that stopped doing so no longer
# counts.
REPORT_MAX_AGE_S = 1.5
# Levels are sums over all reports and change slowly.
MAX_LEVEL_AGE_S = 0.05
# Fewer requests than this say nothing about a share.
MIN_ARRIVED = 4.0
# A kind of request whose served share is below this multiple of the share of
# all does not yield. The service agreement asks for a quarter.
MIN_SERVED_RATIO = 0.45
# Requests that arrived and that found no room, by service and priority.
Counts = dict[str, dict[int, tuple[float, float]]]


@attrs.define
class DecayingCounts:
    """Recent requests of one service and priority.

    Attributes:
        arrived: Requests that arrived, as of ``updated_at``.
        without_room: Those of them that found no room.
        updated_at: Time of the last update.
    """

    arrived: float = 0.0
    without_room: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the counts by the time since the last update.

        Args:
            now: The time.
        """
        factor = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)
        self.arrived *= factor
        self.without_room *= factor
        self.updated_at = now


@attrs.frozen
class Level:
    """Pressure on the requests of one service and priority.

    Attributes:
        urgent_share: Share of the more urgent requests of the service that
            found no room, 0 to 1.
        share_to_rank: The same for requests of this priority and the more
            urgent ones.
        is_starved: Whether requests of this priority are served so much less
            often than all that they must not yield.
        share: Share of all requests of the service that found no room.
    """

    urgent_share: float = 0.0
    share_to_rank: float = 0.0
    is_starved: bool = False
    share: float = 0.0


@attrs.define
class PressureView:
    """Requests that found no room at this VM and at the others.

    Attributes:
        clock: Source of time.
        own: Recent requests of this VM by service and priority.
        reports: Requests by service and priority that other VMs report.
        levels: Cached levels with the time of their computation.
    """

    clock: clocks.Clock
    own: dict[tuple[str, int], DecayingCounts] = attrs.field(factory=dict)
    reports: source_reports.SourceReports[Counts] = attrs.field(init=False)
    levels: dict[tuple[str, int], tuple[float, Level]] = attrs.field(
        factory=dict
    )

    def __attrs_post_init__(self) -> None:
        """Create the reports."""
        self.reports = source_reports.SourceReports(
            self.clock, REPORT_MAX_AGE_S
        )

    def record(self, service: str, priority: int, found_room: bool) -> None:
        """Count a request of this VM.

        Args:
            service: Name of the service.
            priority: Priority of the request.
            found_room: Whether it was sent rather than refused.
        """
        counts = self.own.setdefault((service, priority), DecayingCounts())
        counts.decay(self.clock.monotonic())
        counts.arrived += 1.0
        counts.without_room += not found_room

    def retain(self, services: typing.Container[str]) -> None:
        """Discard the counts of all other services.

        Args:
            services: Names of the services whose requests are ranked.
        """
        self.own = {k: c for k, c in self.own.items() if k[0] in services}
        self.levels.clear()

    def sum_of(
        self, sources: typing.Iterable[str], include_own: bool
    ) -> Counts:
        """Return the requests of several sources, by service and priority.

        Args:
            sources: Names of the sources.
            include_own: Whether the requests of this VM are included.
        """
        now = self.clock.monotonic()
        sums: Counts = {}
        if include_own:
            for (service, priority), counts in self.own.items():
                counts.decay(now)
                _add(
                    sums,
                    service,
                    priority,
                    (counts.arrived, counts.without_room),
                )
        for source in sources:
            reported = self.reports.get(source) or {}
            for service, by_priority in reported.items():
                for priority, pair in by_priority.items():
                    _add(sums, service, priority, pair)
        return sums

    def level(self, service: str, priority: int) -> Level:
        """Return the pressure on requests of a service and priority.

        Args:
            service: Name of the service.
            priority: Priority of the requests.
        """
        now = self.clock.monotonic()
        at, level = self.levels.get((service, priority), (-math.inf, Level()))
        if now - at > MAX_LEVEL_AGE_S:
            counts = self.sum_of(self.reports.latest, include_own=True)
            level = compute_level(counts.get(service, {}), priority)
            self.levels[service, priority] = now, level
        return level


def _add(
    sums: Counts, service: str, priority: int, pair: tuple[float, float]
) -> None:
    by_priority = sums.setdefault(service, {})
    arrived, without_room = by_priority.get(priority, (0.0, 0.0))
    by_priority[priority] = arrived + pair[0], without_room + pair[1]


def compute_level(
    by_priority: typing.Mapping[int, tuple[float, float]], priority: int
) -> Level:
    """Return the pressure on requests of one priority.

    Args:
        by_priority: Requests of the service that arrived, and those of them
            that found no room, by priority.
        priority: Priority of the requests.

    Examples:
        >>> compute_level({0: (10.0, 5.0), 2: (10.0, 0.0)}, 2).urgent_share
        0.5
    """
    urgent = [pair for rank, pair in by_priority.items() if rank < priority]
    to_rank = [pair for rank, pair in by_priority.items() if rank <= priority]
    share = _share(by_priority.values())
    served = 1.0 - _share([by_priority.get(priority, (0.0, 0.0))])
    return Level(
        _share(urgent),
        _share(to_rank),
        served < MIN_SERVED_RATIO * (1.0 - share),
        share,
    )


def _share(pairs: typing.Iterable[tuple[float, float]]) -> float:
    listed = list(pairs)
    arrived = sum(pair[0] for pair in listed)
    if arrived < MIN_ARRIVED:
        return 0.0
    return min(1.0, sum(pair[1] for pair in listed) / arrived)
