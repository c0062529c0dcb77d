"""Durations on which the ownership of pools depends."""

import attrs


@attrs.frozen
class OwnershipDurations:
    """Durations of leases and promises, equal at all entries.

    Attributes:
        lease_s: Validity of the table lease after a renewal.
        promise_s: Validity of a promise for its receiver.
        list_fresh_s: Maximum age of a VM list that proves that a VM has
            ended.
        list_skew_s: Maximum difference in age between the versions of the VM
            list that two entries receive at the same time.
        stagger_s: Delay between candidates of consecutive rank.
        turn_s: Time for which a candidate requests promises before the next
            candidate's turn.
        max_drift: Maximum deviation of a clock's rate from 1.
    """

    lease_s: float = 3.0
    promise_s: float = 2.0
    list_fresh_s: float = 2.0
    list_skew_s: float = 0.5
    stagger_s: float = 0.5
    turn_s: float = 5.0
    max_drift: float = 0.01

    def with_drift_margin(self, seconds: float) -> float:
        """Return a duration that is at least ``seconds`` on any other clock.

        Args:
            seconds: Duration on the clock of another entry.

        Examples:
            >>> round(OwnershipDurations().with_drift_margin(3.0), 3)
            3.061
        """
        return seconds * (1 + self.max_drift) / (1 - self.max_drift)

    @property
    def settling_s(self) -> float:
        """Time for which a new VM must be listed before it may own pools.

        After it every fresh list names the VM, and all promises of its
        predecessor have expired.
        """
        listed = self.list_fresh_s + self.list_skew_s
        return self.with_drift_margin(max(listed, self.promise_s))

    @property
    def min_settling_s(self) -> float:
        """Time after a list without a VM for which it cannot have settled.

        Measured on the clock of another entry, from before it requested the
        last list without the VM.
        """
        settling_s = self.settling_s / (1 + self.max_drift) - self.list_skew_s
        return settling_s * (1 - self.max_drift)
