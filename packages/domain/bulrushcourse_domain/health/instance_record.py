"""Outcomes and service times of one upstream instance."""

import enum

import attrs

from bulrushcourse_domain.health import service_times

FAILURES_TO_EJECT = 2
"""Consecutive failures after which an instance is ejected."""

INITIAL_EJECTION_S = 0.5
MAX_EJECTION_S = 8.0

COMPLETIONS_PER_OPENED_SLOT = 4
"""Completions near the typical time that open one more cold slot."""

MAX_WARMUP_SLOWNESS_RATIO = 2.0
"""Slowness below which a completion counts towards opening a slot."""


class HealthState(enum.IntEnum):
    """Restrictions of an instance's use, worst first."""

    LEAVING = 0
    EJECTED = 1
    SUSPECT = 2
    COLD = 3
    SERVING = 4


@attrs.define
class InstanceRecord:
    """Outcomes and service times of one instance.

    Attributes:
        slots: Number of slots.
        slowness_index: Index of its measured service times.
        degraded_since: Clock seconds at which its state last became worse.
        leaving: Whether the instance has announced that it is leaving.
        failures: Consecutive failures, by entry.
        ejected_until: Clock seconds from which an ejected instance gets a
            probe.
        next_ejection_s: Duration of the next ejection.
        opened_slots: Slots that may be used while the instance is cold or
            suspect.
        slot_completions: Completions towards the next opened slot.
    """

    slots: int
    slowness_index: service_times.SlownessIndex = attrs.field(
        factory=service_times.SlownessIndex
    )
    degraded_since: float = 0.0
    leaving: bool = False
    failures: dict[str, int] = attrs.field(factory=dict)
    ejected_until: float = 0.0
    next_ejection_s: float = INITIAL_EJECTION_S
    opened_slots: int = 0
    slot_completions: int = 0

    def record_completion(self, slowness: float) -> None:
        """Record a completed request.

        Args:
            slowness: The instance's slowness index relative to the pool's
                median.
        """
        self.failures.clear()
        self.next_ejection_s = INITIAL_EJECTION_S
        if (
            self.opened_slots < self.slots
            and slowness < MAX_WARMUP_SLOWNESS_RATIO
        ):
            self.slot_completions += 1
            if self.slot_completions >= COMPLETIONS_PER_OPENED_SLOT:
                self.opened_slots, self.slot_completions = (
                    self.opened_slots + 1,
                    0,
                )

    def record_failure(self, now: float, holder: str) -> None:
        """Record a failed request.

        Args:
            now: Clock seconds.
            holder: Incarnation of the entry that observed the failure.
        """
        if not self.failures:
            self.degraded_since = now
        self.failures[holder] = self.failures.get(holder, 0) + 1
        self.opened_slots, self.slot_completions = 1, 0
        if sum(self.failures.values()) >= FAILURES_TO_EJECT:
            if now >= self.ejected_until:
                self.ejected_until = now + self.next_ejection_s
                self.next_ejection_s = min(
                    2 * self.next_ejection_s, MAX_EJECTION_S
                )
