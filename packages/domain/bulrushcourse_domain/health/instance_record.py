"""What is known of one upstream instance."""

import enum

import attrs

from bulrushcourse_domain.health import service_times

FAILURES_TO_LOST = 2
"""Failures in a row after which an instance counts as lost."""

FIRST_RETRY_S = 0.5
LONGEST_RETRY_S = 8.0

COMPLETIONS_PER_STEP = 4
"""Completions at a typical time that open one more slot of a cold instance."""

COLD_RATIO = 2.0
"""Index below which a completion counts towards opening a slot."""


class Standing(enum.IntEnum):
    """How far an instance may be used, worst first."""

    LEAVING = 0
    LOST = 1
    SUSPECT = 2
    COLD = 3
    SERVING = 4


@attrs.define
class InstanceRecord:
    """What is known of one instance.

    Attributes:
        slots: Number of slots.
        index: Its measured service times.
        since: Clock seconds when its standing last became worse.
        leaving: Whether a sign said that it is leaving.
        failures: Failures in a row, by entry.
        retry_at: Clock seconds from which a lost instance is tried again.
        retry_s: Time until the next retry.
        proven: Slots of a cold instance that are open.
        steps: Completions towards the next open slot.
    """

    slots: int
    index: service_times.SlownessIndex = attrs.field(
        factory=service_times.SlownessIndex
    )
    since: float = 0.0
    leaving: bool = False
    failures: dict[str, int] = attrs.field(factory=dict)
    retry_at: float = 0.0
    retry_s: float = FIRST_RETRY_S
    proven: int = 0
    steps: int = 0

    def succeed(self, index: float) -> None:
        """Note a completion.

        Args:
            index: The instance's index against the pool's median.
        """
        self.failures.clear()
        self.retry_s = FIRST_RETRY_S
        if self.proven < self.slots and index < COLD_RATIO:
            self.steps += 1
            if self.steps >= COMPLETIONS_PER_STEP:
                self.proven, self.steps = self.proven + 1, 0

    def fail(self, now: float, holder: str) -> None:
        """Note a failure.

        Args:
            now: Clock seconds.
            holder: The entry that saw it.
        """
        if not self.failures:
            self.since = now
        self.failures[holder] = self.failures.get(holder, 0) + 1
        self.proven, self.steps = 1, 0
        if sum(self.failures.values()) >= FAILURES_TO_LOST:
            if now >= self.retry_at:
                self.retry_at = now + self.retry_s
                self.retry_s = min(2 * self.retry_s, LONGEST_RETRY_S)
