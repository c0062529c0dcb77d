"""Durations that the ownership of pools depends on."""

import attrs


@attrs.frozen
class OwnershipTimes:
    """Durations of leases and promises, the same at every entry.

    Attributes:
        lease_s: Time that a renewal of the table lease is valid.
        promise_s: Time that a promise is valid for its receiver.
        list_fresh_s: Age up to which a VM list proves that a VM is gone.
        list_skew_s: Largest difference between the states of the VM list
            that two entries are shown at one time.
        stagger_s: Delay between candidates of consecutive rank.
        turn_s: Time that a candidate asks for promises before it gives way.
        max_drift: Largest deviation of a clock's rate from 1.
    """

    lease_s: float = 3.0
    promise_s: float = 2.0
    list_fresh_s: float = 2.0
    list_skew_s: float = 0.5
    stagger_s: float = 0.5
    turn_s: float = 5.0
    max_drift: float = 0.01

    def outlast(self, seconds: float) -> float:
        """Return a duration that no other clock measures as shorter.

        Args:
            seconds: Duration on the clock of another entry.

        Examples:
            >>> round(OwnershipTimes().outlast(3.0), 3)
            3.061
        """
        return seconds * (1 + self.max_drift) / (1 - self.max_drift)

    @property
    def settle_s(self) -> float:
        """Time that a new VM is listed before it may own pools.

        By then every fresh list names the VM, and the promises that a
        predecessor gave have run out.
        """
        listed = self.list_fresh_s + self.list_skew_s
        return self.outlast(max(listed, self.promise_s))

    @property
    def newcomer_s(self) -> float:
        """Time that a VM cannot have settled, from a list without it.

        Counted on the clock of another entry from before it asked for the
        last list that did not name the VM.
        """
        settling_s = self.settle_s / (1 + self.max_drift) - self.list_skew_s
        return settling_s * (1 - self.max_drift)
