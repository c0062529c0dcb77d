"""When a VM reads the store itself to prove that keys still hold.

Answers the load of proofs for 60 to 640 VMs: two designated readers prove for
all, and the other VMs read only where those proofs fail to come.
"""

import math
import random

import attrs

from bulrushcourse_domain.accounts import key_permission

# All of these are shares of the agreed bound.
# A designated reader proves at least this often that nothing has changed. A VM
# that has lost the store has to serve for 0.6 of the bound, so that proofs
# should not be older than 0.38 of it. Relays take up to 0.3 at 640 VMs; the
# polls of two readers overlap.
READER_WAIT_SHARE = 0.14
# A VM whose proof is older than this reads the store itself. Proofs that come
# through relays are younger, and there is time for two attempts.
OLD_SHARE = 0.5
# VMs that lose their relays together read within this share.
SPREAD_SHARE = 0.15
# Interval of the reads of a VM that the proofs of others do not reach.
UNAIDED_WAIT_SHARE = 0.4


@attrs.define
class ProofReads:
    """Decides how long a poll for changes may wait.

    Attributes:
        permission: The proofs of this VM.
        rng: Source of randomness.
        is_unaided: Whether the proofs of other VMs do not reach this one.
        spread_share: How much later than others this VM reads, as a share of
            the bound.
    """

    permission: key_permission.KeyPermission
    rng: random.Random
    is_unaided: bool = False
    spread_share: float = 0.0

    def is_due(self, active_version: int, bound_s: float) -> bool:
        """Return whether this VM has to read the store without waiting.

        Args:
            active_version: Version of the active configuration.
            bound_s: Time at which a withdrawn key must be out of use.
        """
        old_s = bound_s * (OLD_SHARE + self.spread_share)
        return self.permission.age_s(active_version) > old_s

    def longest_wait_s(
        self, active_version: int, bound_s: float, is_reader: bool
    ) -> float:
        """Return how long the next poll may wait for changes, in seconds.

        Args:
            active_version: Version of the active configuration.
            bound_s: Time at which a withdrawn key must be out of use.
            is_reader: Whether other VMs rely on this one.
        """
        if self.is_due(active_version, bound_s):
            self.is_unaided = True
            self.spread_share = self.rng.uniform(0.0, SPREAD_SHARE)
            return 0.0
        if is_reader:
            return bound_s * READER_WAIT_SHARE
        if self.permission.source is key_permission.Source.PEERS:
            self.is_unaided = False
        return bound_s * UNAIDED_WAIT_SHARE if self.is_unaided else math.inf
