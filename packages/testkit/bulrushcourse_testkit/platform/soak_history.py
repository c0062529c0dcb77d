"""Record what an operator and the faults did during a soak, and when."""

import contextlib
import time
import typing

import attrs

from bulrushcourse_testkit.platform import cluster as clusters

# Bounds of the users' platform in seconds.
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
EVACUATE_S = 5.0
ROLLBACK_SLACK_S = 0.25
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
# Time after a planned stop that the users' rules still count as part of it.
STOP_END_S = 1.0
ALL_VMS = ''
_ALL_REGIONS = frozenset(clusters.REGIONS.values())


@attrs.frozen
class RouteState:
    """A route in one version of the configuration.

    Attributes:
        services: Services that its requests may go to.
        homes: Home regions, empty for all regions.
    """

    services: frozenset[str]
    homes: frozenset[str] = frozenset()


@attrs.frozen
class Version:
    """A version of the configuration.

    Attributes:
        number: Its number.
        sent_at: Monotonic time in seconds at which the operator sent it.
        acknowledged_at: Monotonic time of the store's acknowledgement.
        routes: Routes by prefix.
        account_homes: Home regions by client account, empty for all regions.
        body_bytes: Maximum size of a request's body.
        header_bytes: Maximum size of a request's head.
    """

    number: int
    sent_at: float
    acknowledged_at: float
    routes: typing.Mapping[str, RouteState]
    account_homes: typing.Mapping[str, frozenset[str]]
    body_bytes: int = 1 << 20
    header_bytes: int = 16 << 10

    def regions(self, prefix: str, account: str) -> frozenset[str]:
        """Return the regions in which a request may run.

        Args:
            prefix: Prefix of its route; a route that is missing restricts
                nothing.
            account: Its client account.
        """
        route = self.routes.get(prefix)
        homes = [
            route.homes if route else frozenset(),
            self.account_homes.get(account, frozenset()),
        ]
        regions = _ALL_REGIONS
        for bound in filter(None, homes):
            regions &= bound
        return regions

    def services(self, prefix: str) -> frozenset[str]:
        """Return the services that requests of a route may go to.

        Args:
            prefix: Prefix of the route.
        """
        route = self.routes.get(prefix)
        return route.services if route else frozenset()


@attrs.frozen
class Disruption:
    """A fault, or the time right after it.

    Attributes:
        vm: Name of the VM, ``ALL_VMS`` for all.
        start: Monotonic time of its start in seconds.
        end: Monotonic time of its end in seconds.
        is_planned: Whether it is a stop as the platform plans it.
    """

    vm: str
    start: float
    end: float
    is_planned: bool = False


@attrs.frozen
class Evacuation:
    """An evacuation of a failure domain.

    Attributes:
        failure_domain: The failure domain.
        acknowledged_at: Monotonic time of the store's acknowledgement.
        ended_at: Monotonic time at which it was taken back, in seconds.
    """

    failure_domain: str
    acknowledged_at: float
    ended_at: float


@attrs.frozen
class Stop:
    """A planned stop of a VM's process.

    Attributes:
        vm: Name of the VM.
        term_at: Monotonic time of the first SIGTERM in seconds.
        exited_at: Monotonic time of the end of the process in seconds.
        was_killed: Whether the process was killed after ``GRACE_S``.
    """

    vm: str
    term_at: float
    exited_at: float
    was_killed: bool


@attrs.define(eq=False)
class History:
    """Configurations, evacuations and disruptions of a run.

    Attributes:
        versions: Versions of the configuration, oldest first.
        evacuations: Evacuations that were taken back.
        disruptions: Faults of VMs and of the paths to the store.
        outages: Times at which the store served no VM.
        stops: Planned stops.
        held: Times for which a slowed process was stopped.
        stalls: Times for which this process's event loop was late.
    """

    versions: list[Version] = attrs.field(factory=list)
    evacuations: list[Evacuation] = attrs.field(factory=list)
    disruptions: list[Disruption] = attrs.field(factory=list)
    outages: list[Disruption] = attrs.field(factory=list)
    stops: list[Stop] = attrs.field(factory=list)
    held: list[Disruption] = attrs.field(factory=list)
    stalls: list[Disruption] = attrs.field(factory=list)

    @contextlib.contextmanager
    def disruption(
        self, vm: str = ALL_VMS, is_planned: bool = False
    ) -> typing.Iterator[None]:
        """Record a fault for the duration of the context.

        Args:
            vm: Name of the VM, ``ALL_VMS`` for all.
            is_planned: Whether it is a stop as the platform plans it.
        """
        with _recorded(self.disruptions, vm, is_planned):
            yield

    @contextlib.contextmanager
    def outage(self) -> typing.Iterator[None]:
        """Record an outage of the store for the duration of the context."""
        with _recorded(self.outages, ALL_VMS):
            yield

    @contextlib.contextmanager
    def hold(self, vm: str) -> typing.Iterator[None]:
        """Record that a process is stopped during the context.

        Args:
            vm: Name of the VM.
        """
        with _recorded(self.held, vm):
            yield

    def held_s(self, vm: str, first: float, last: float) -> float:
        """Return for how long a process was held, in seconds.

        Args:
            vm: Name of the VM.
            first: Monotonic time of the start in seconds.
            last: Monotonic time of the end in seconds.
        """
        held = [hold for hold in self.held if hold.vm == vm]
        return overlap_s(held, first, last)

    def stop_during(self, vm: str, first: float, last: float) -> Stop | None:
        """Return the planned stop that a request met, if any.

        Args:
            vm: Name of the VM.
            first: Monotonic time at which the request was sent, in seconds.
            last: Monotonic time of its end in seconds.
        """
        for stop in self.stops:
            end = stop.exited_at
            if (
                stop.vm == vm
                and first < end
                and (stop.term_at <= last <= end + STOP_END_S)
            ):
                return stop
        return None

    def in_touch(self, vm: str, first: float, last: float) -> bool:
        """Return whether a VM was in touch with the platform all the time.

        Args:
            vm: Name of the VM.
            first: Monotonic time of the start in seconds.
            last: Monotonic time of the end in seconds.
        """
        return not any(
            fault.start <= last and fault.end + CONTACT_S > first
            for fault in (*self.disruptions, *self.outages)
            if fault.vm in (vm, ALL_VMS)
        )

    def known_from(self, version: Version) -> float:
        """Return when no VM may serve with an older version any more.

        The bound counts from the acknowledgement. An outage that begins
        before the bound is over delays it until the store has been stable
        again for the contact time.

        Args:
            version: The version.
        """
        known_from = version.acknowledged_at + CONFIG_APPLY_S
        for outage in sorted(self.outages, key=lambda outage: outage.start):
            if outage.start < known_from and (
                outage.end > version.acknowledged_at
            ):
                known_from = max(known_from, outage.end + CONTACT_S)
        return known_from

    def in_force(self, first: float, last: float) -> list[Version]:
        """Return the versions that may be in force at some time of a span.

        They reach from the newest version that all VMs must know at its start
        to the newest one that was sent before its end.

        Args:
            first: Monotonic time of the start in seconds.
            last: Monotonic time of the end in seconds.
        """
        oldest = max(self._known(first, last), default=0)
        return [
            version
            for version in self.versions
            if version.number >= oldest and version.sent_at <= last
        ]

    def _known(self, first: float, last: float) -> list[int]:
        """Return the versions that all VMs must know for a whole span."""
        return [
            version.number
            for version in self.versions
            if self.known_from(version) <= first
        ]


def overlap_s(spans: list[Disruption], first: float, last: float) -> float:
    """Return how long disruptions lasted within a span, in seconds.

    Args:
        spans: Disruptions that don't overlap each other.
        first: Monotonic time of the start in seconds.
        last: Monotonic time of the end in seconds.
    """
    return sum(
        max(0.0, min(span.end, last) - max(span.start, first))
        for span in spans
    )


@contextlib.contextmanager
def _recorded(
    faults: list[Disruption], vm: str, is_planned: bool = False
) -> typing.Iterator[None]:
    # The end is unknown until the context closes.
    number = len(faults)
    begun = Disruption(vm, time.monotonic(), float('inf'), is_planned)
    faults.append(begun)
    try:
        yield
    finally:
        faults[number] = attrs.evolve(faults[number], end=time.monotonic())
