"""Estimates of the load and the speed of upstreams."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks

# Older reports do not count, since their VM has stopped sending; VMs send
# several reports per second.
PEER_REPORT_MAX_AGE_S = 1.5
# The speed of a shared machine changes several times a second, so a report
# loses half of its weight in this time.
SLOWNESS_HALF_LIFE_S = 0.4
TYPICAL_SLOWNESS = 1.0


@attrs.frozen
class LoadReport:
    """Load that an upstream reported with a response.

    Attributes:
        running: Requests that it is running.
        waiting: Requests in its queue.
        slots: Requests that it can run concurrently.
        slowness: Factor on the service time, 1 being typical; ``None`` if not
            reported.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@attrs.define
class LoadView:
    """Requests in flight and slowness of each upstream.

    Requests in flight are those of this VM, which are counted as they start
    and end, and those in the last reports of the other VMs. A report has one
    VM or the sum of several as its source; the sources do not overlap.

    Attributes:
        clock: Source of time.
        own_in_flight: Requests of this VM in flight, by upstream.
        peer_loads: Requests of other VMs in flight, by source and upstream.
        reported_at: Time of the last report, by source.
        slowness: Latest slowness and its time, by upstream.
        own_slowness: Latest slowness that an upstream reported to this VM,
            and its time, by upstream.
        peer_totals: Sum of the reports of other VMs, by upstream.
    """

    clock: clocks.Clock
    own_in_flight: dict[str, int] = attrs.field(factory=dict)
    peer_loads: dict[str, dict[str, int]] = attrs.field(factory=dict)
    reported_at: dict[str, float] = attrs.field(factory=dict)
    slowness: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    own_slowness: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    peer_totals: dict[str, int] = attrs.field(factory=dict)

    def begin_request(self, upstream: str) -> None:
        """Count a request that is sent to an upstream.

        Args:
            upstream: Name of the upstream.
        """
        self.own_in_flight[upstream] = self.own_in_flight.get(upstream, 0) + 1

    def end_request(self, upstream: str) -> None:
        """Count the end of a request.

        Args:
            upstream: Name of the upstream.
        """
        remaining = self.own_in_flight.get(upstream, 0) - 1
        if remaining > 0:
            self.own_in_flight[upstream] = remaining
        else:
            self.own_in_flight.pop(upstream, None)

    def record_peer_load(
        self, source: str, in_flight: typing.Mapping[str, int]
    ) -> None:
        """Replace the report of a source.

        Args:
            source: Name of the source.
            in_flight: Its requests in flight, by upstream.
        """
        self._discard_peer_load(source)
        counts = {u: count for u, count in in_flight.items() if count > 0}
        self.peer_loads[source] = counts
        self.reported_at[source] = self.clock.monotonic()
        for upstream, count in counts.items():
            self.peer_totals[upstream] = (
                self.peer_totals.get(upstream, 0) + count
            )

    def expire_peer_loads(self) -> None:
        """Discard reports that are too old; to be called periodically."""
        oldest = self.clock.monotonic() - PEER_REPORT_MAX_AGE_S
        for source in [
            name for name, at in self.reported_at.items() if at < oldest
        ]:
            self._discard_peer_load(source)

    def _discard_peer_load(self, source: str) -> None:
        # The sums are adjusted, since computing them again with each report of
        # each VM would cost time in the square of the fleet's size.
        self.reported_at.pop(source, None)
        for upstream, count in self.peer_loads.pop(source, {}).items():
            remaining = self.peer_totals[upstream] - count
            if remaining > 0:
                self.peer_totals[upstream] = remaining
            else:
                del self.peer_totals[upstream]

    def sum_of(
        self, sources: typing.Iterable[str], include_own: bool
    ) -> dict[str, int]:
        """Return the requests in flight of several sources, by upstream.

        Reports that are too old do not count, also if this VM was suspended
        and has not discarded them yet.

        Args:
            sources: Names of the sources.
            include_own: Whether the requests of this VM are included.
        """
        oldest = self.clock.monotonic() - PEER_REPORT_MAX_AGE_S
        sums = dict(self.own_in_flight) if include_own else {}
        for source in sources:
            if self.reported_at.get(source, oldest) <= oldest:
                continue
            for upstream, count in self.peer_loads[source].items():
                sums[upstream] = sums.get(upstream, 0) + count
        return sums

    def record_load_report(self, upstream: str, report: LoadReport) -> None:
        """Record a report that came with an upstream's response.

        Args:
            upstream: Name of the upstream.
            report: Its report.
        """
        if report.slowness is not None:
            measured = report.slowness, self.clock.monotonic()
            self.slowness[upstream] = measured
            self.own_slowness[upstream] = measured

    def record_peer_slowness(
        self, upstream: str, value: float, age_s: float
    ) -> None:
        """Record a slowness from another VM unless a newer one is known.

        Args:
            upstream: Name of the upstream.
            value: Factor on the service time, 1 being typical.
            age_s: Age of the upstream's report.
        """
        at = self.clock.monotonic() - age_s
        if at > self.slowness.get(upstream, (0.0, float('-inf')))[1]:
            self.slowness[upstream] = value, at

    def discard(self, upstream: str) -> None:
        """Discard the slowness of an upstream that restarted or was removed.

        Args:
            upstream: Name of the upstream.
        """
        self.slowness.pop(upstream, None)
        self.own_slowness.pop(upstream, None)

    def in_flight(self, upstream: str) -> int:
        """Return the requests of all VMs in flight at an upstream.

        Args:
            upstream: Name of the upstream.
        """
        return self.own_in_flight.get(upstream, 0) + self.peer_totals.get(
            upstream, 0
        )

    def expected_slowness(self, upstream: str) -> float:
        """Return the expected slowness, weighting the last report by its age.

        Args:
            upstream: Name of the upstream.
        """
        value, at = self.slowness.get(upstream, (TYPICAL_SLOWNESS, 0.0))
        age = self.clock.monotonic() - at
        weight = 0.5 ** (age / SLOWNESS_HALF_LIFE_S)
        return TYPICAL_SLOWNESS + (value - TYPICAL_SLOWNESS) * weight
