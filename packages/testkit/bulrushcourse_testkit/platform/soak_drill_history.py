"""Record what a store acknowledged, lost and acknowledged again in a soak."""

import math
import time

import attrs

from bulrushcourse_testkit.platform import soak_history


@attrs.frozen
class Leave:
    """An acknowledgement that an upstream is draining or gone.

    Attributes:
        upstream: Identifier of the upstream.
        address: ``ip:port`` of the upstream.
        acknowledged_at: Monotonic time of the store's acknowledgement.
        lost_at: Monotonic time at which the store lost it, ``inf`` if it did
            not.
    """

    upstream: str
    address: str
    acknowledged_at: float
    lost_at: float = math.inf


@attrs.frozen
class LostVersion:
    """A version of the configuration that the store lost.

    Attributes:
        version: The version with its acknowledgement.
        lost_at: Monotonic time at which the store lost it.
    """

    version: soak_history.Version
    lost_at: float


@attrs.define(eq=False)
class DrillHistory(soak_history.History):
    """A history in which acknowledgements may be lost and given again.

    What is lost counts until the return of the store, and from its new
    acknowledgement on. What the copy holds keeps its acknowledgement.

    Attributes:
        leaves: Acknowledgements of upstreams that leave.
        lost_versions: Versions that the store lost.
        ends: Monotonic times at which upstreams ended, by identifier and
            address.
        returns: Descriptions of the returns of the store.
    """

    leaves: list[Leave] = attrs.field(factory=list)
    lost_versions: list[LostVersion] = attrs.field(factory=list)
    ends: dict[tuple[str, str], float] = attrs.field(factory=dict)
    returns: list[str] = attrs.field(factory=list)

    def lose(self, copied_at: float) -> None:
        """Record a return from a copy.

        Args:
            copied_at: Monotonic time of the copy in seconds.
        """
        now = time.monotonic()
        for number, version in enumerate(self.versions):
            if copied_at < version.acknowledged_at < math.inf:
                self.lost_versions.append(LostVersion(version, now))
                self.versions[number] = attrs.evolve(
                    version, acknowledged_at=math.inf
                )
        self.leaves = [
            attrs.evolve(leave, lost_at=now)
            if leave.acknowledged_at > copied_at and leave.lost_at == math.inf
            else leave
            for leave in self.leaves
        ]
        self.evacuations = [
            attrs.evolve(evacuation, ended_at=now)
            if evacuation.acknowledged_at > copied_at
            and evacuation.ended_at == math.inf
            else evacuation
            for evacuation in self.evacuations
        ]

    def acknowledge_newest_version(self) -> None:
        """Record that the newest version is in the store, if it was lost."""
        if self.versions[-1].acknowledged_at == math.inf:
            self.versions[-1] = attrs.evolve(
                self.versions[-1], acknowledged_at=time.monotonic()
            )

    def acknowledge_leave(self, upstream: str, address: str) -> None:
        """Record that the store knows that an upstream leaves.

        An acknowledgement that is not lost stays as it is.

        Args:
            upstream: Identifier of the upstream.
            address: ``ip:port`` of the upstream.
        """
        if not any(
            (leave.upstream, leave.address, leave.lost_at)
            == (upstream, address, math.inf)
            for leave in self.leaves
        ):
            self.leaves.append(Leave(upstream, address, time.monotonic()))

    def acknowledge_evacuation(self, failure_domain: str) -> None:
        """Record that the store knows of an evacuation.

        An acknowledgement that is not lost stays as it is.

        Args:
            failure_domain: The failure domain.
        """
        if not any(
            (evacuation.failure_domain, evacuation.ended_at)
            == (failure_domain, math.inf)
            for evacuation in self.evacuations
        ):
            self.evacuations.append(
                soak_history.Evacuation(
                    failure_domain, time.monotonic(), math.inf
                )
            )

    def end_evacuation(self, failure_domain: str) -> None:
        """Record that an evacuation is taken back.

        Args:
            failure_domain: The failure domain.
        """
        now = time.monotonic()
        self.evacuations = [
            attrs.evolve(evacuation, ended_at=now)
            if (evacuation.failure_domain, evacuation.ended_at)
            == (failure_domain, math.inf)
            else evacuation
            for evacuation in self.evacuations
        ]

    def is_calm(self, vm: str) -> bool:
        """Return whether a VM had no fault of its own for the contact time.

        Args:
            vm: Name of the VM.
        """
        now = time.monotonic()
        return not any(
            fault.end + soak_history.CONTACT_S > now
            for fault in self.disruptions
            if fault.vm in (vm, soak_history.ALL_VMS)
        )

    def known_from(self, version: soak_history.Version) -> float:
        """Return when no VM may serve with an older version any more.

        A drill is a disruption until the contact time after its end, so that
        it delays the bound also of what is acknowledged in that time.

        Args:
            version: The version.
        """
        stable_from = [
            drill.end + soak_history.CONTACT_S
            for drill in self.outages
            if drill.start < version.acknowledged_at
            and drill.end + soak_history.CONTACT_S > version.acknowledged_at
        ]
        return max(super().known_from(version), *stable_from, 0.0)

    def _known(self, first: float, last: float) -> list[int]:
        return [
            *super()._known(first, last),
            *(
                lost.version.number
                for lost in self.lost_versions
                if self.known_from(lost.version) <= first
                and last < lost.lost_at
            ),
        ]
