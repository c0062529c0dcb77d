"""The aggregate that estimates the load of upstreams."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks

# Reports of a VM that fell silent no longer count; it sends several a second.
PEER_REPORT_MAX_AGE_S = 1.5
# The speed of a shared machine changes several times a second, so that a
# report loses half of its weight in this time.
SPEED_HALF_LIFE_S = 0.4
USUAL_SPEED = 1.0


@attrs.frozen
class LoadReport:
    """What an upstream said of itself.

    Attributes:
        running: Requests that it works on.
        waiting: Requests in its queue.
        slots: Requests that it works on at once.
        slowness: How long work takes, 1 being usual; ``None`` if not said.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@attrs.define
class LoadView:
    """Requests in flight and slowness of upstreams, with their ages.

    Requests in flight are those of this VM, counted at once, and those that
    the other VMs reported last.

    Attributes:
        clock: Source of time.
        own: Requests of this VM in flight, by upstream.
        peers: Requests of other VMs in flight, by VM.
        heard_at: Time of the last report, by VM.
        slowness: Last known slowness and its time, by upstream.
        fresh: Slowness that this VM heard from the upstreams themselves.
        others: Sum of the reports of other VMs, by upstream.
    """

    clock: clocks.Clock
    own: dict[str, int] = attrs.field(factory=dict)
    peers: dict[str, dict[str, int]] = attrs.field(factory=dict)
    heard_at: dict[str, float] = attrs.field(factory=dict)
    slowness: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    fresh: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    others: dict[str, int] = attrs.field(factory=dict)

    def begin_request(self, upstream: str) -> None:
        """Count a request that is sent to an upstream.

        Args:
            upstream: Name of the upstream.
        """
        self.own[upstream] = self.own.get(upstream, 0) + 1

    def end_request(self, upstream: str) -> None:
        """Count the end of a request.

        Args:
            upstream: Name of the upstream.
        """
        left = self.own.get(upstream, 0) - 1
        if left > 0:
            self.own[upstream] = left
        else:
            self.own.pop(upstream, None)

    def record_peer_load(
        self, vm: str, in_flight: typing.Mapping[str, int]
    ) -> None:
        """Replace what another VM has in flight.

        Args:
            vm: Name of the VM.
            in_flight: Its requests in flight, by upstream.
        """
        self._leave_out(vm)
        counts = {u: count for u, count in in_flight.items() if count > 0}
        self.peers[vm] = counts
        self.heard_at[vm] = self.clock.monotonic()
        for upstream, count in counts.items():
            self.others[upstream] = self.others.get(upstream, 0) + count

    def expire_peer_loads(self) -> None:
        """Leave out reports that are too old; call it now and then."""
        oldest = self.clock.monotonic() - PEER_REPORT_MAX_AGE_S
        for vm in [n for n, at in self.heard_at.items() if at < oldest]:
            self._leave_out(vm)

    def _leave_out(self, vm: str) -> None:
        # Sums are adjusted, not made anew: with each report of each VM that
        # work would grow with the square of the fleet.
        self.heard_at.pop(vm, None)
        for upstream, count in self.peers.pop(vm, {}).items():
            left = self.others[upstream] - count
            if left > 0:
                self.others[upstream] = left
            else:
                del self.others[upstream]

    def record_load_report(self, upstream: str, report: LoadReport) -> None:
        """Take over what an upstream said in an answer.

        Args:
            upstream: Name of the upstream.
            report: Its report.
        """
        if report.slowness is not None:
            measured = report.slowness, self.clock.monotonic()
            self.slowness[upstream] = measured
            self.fresh[upstream] = measured

    def record_peer_slowness(
        self, upstream: str, value: float, age_s: float
    ) -> None:
        """Take over a report that another VM passed on.

        Args:
            upstream: Name of the upstream.
            value: Slowness, 1 being usual.
            age_s: Age of the report.
        """
        at = self.clock.monotonic() - age_s
        if at > self.slowness.get(upstream, (0.0, float('-inf')))[1]:
            self.slowness[upstream] = value, at

    def discard(self, upstream: str) -> None:
        """Drop the slowness of an upstream that restarted or is gone.

        Args:
            upstream: Name of the upstream.
        """
        self.slowness.pop(upstream, None)
        self.fresh.pop(upstream, None)

    def in_flight(self, upstream: str) -> int:
        """Return the requests of all VMs that an upstream has.

        Args:
            upstream: Name of the upstream.
        """
        return self.own.get(upstream, 0) + self.others.get(upstream, 0)

    def expected_slowness(self, upstream: str) -> float:
        """Return the slowness to expect, older reports counting less.

        Args:
            upstream: Name of the upstream.
        """
        value, at = self.slowness.get(upstream, (USUAL_SPEED, 0.0))
        age = self.clock.monotonic() - at
        weight = 0.5 ** (age / SPEED_HALF_LIFE_S)
        return USUAL_SPEED + (value - USUAL_SPEED) * weight
