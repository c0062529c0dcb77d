"""Whether a VM may serve keys, by the age of its proof that they hold.

Answers the load of keys that are withdrawn while some VMs are cut off, paused
or restarted: permission to serve keys ends by itself, on the VM's own clock.
"""

import enum
import math

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.accounts import store_clock as store_clocks

# Time between the end of the permission and the agreed bound. It covers the
# resolution of the clocks; their drift is counted in the age.
MARGIN_S = 0.1
# A proof that came within this share of the bound and that this VM cannot use
# shows that other VMs may serve keys, for most of the bound after it.
RECENT_SHARE = 0.8


class Source(enum.Enum):
    """Where the proof comes from that the permission rests on."""

    NONE = 'none'
    OWN = 'own'
    PEERS = 'peers'


@attrs.frozen(order=True)
class Proof:
    """Proof that a configuration was the newest one at a time of the store.

    Attributes:
        store_s: Time of the store in seconds.
        version: Version of the configuration.
    """

    store_s: float
    version: int


@attrs.define
class KeyPermission:
    """The newest proofs that this VM has, and the permission they give.

    A proof of version C lets a VM serve keys if its active configuration is C
    or a newer one, which lacks every key that was withdrawn before the proof.
    The age of a proof is counted from a local time that is certainly not after
    it, whatever way it took.

    Attributes:
        clock: Source of time.
        store_clock: Relation of the store's clock to the local one.
        newest: Newest proof, also if this VM lacks its configuration.
        proven_at: Local time of the newest proof that this VM may use.
        source: Where that proof comes from.
        unusable_at: Local time when this VM last got a proof that it cannot
            use.

    Examples:
        >>> clock = clocks.ManualClock(10.0)
        >>> keys = KeyPermission(clock)
        >>> keys.record_read(7, started=10.0, store_s=None)
        >>> keys.may_serve(7, bound_s=5.0)
        True
        >>> clock.advance(4.95)
        >>> keys.may_serve(7, bound_s=5.0)
        False
    """

    clock: clocks.Clock
    store_clock: store_clocks.StoreClock = attrs.field(
        factory=store_clocks.StoreClock
    )
    newest: Proof | None = None
    proven_at: float = -math.inf
    source: Source = Source.NONE
    unusable_at: float = -math.inf

    def record_time(self, reading: store_clocks.StoreReading) -> None:
        """Record the time that the store stated in an answer.

        Args:
            reading: The time.
        """
        if not self.store_clock.record(reading):
            # Proofs by another clock cannot be compared with later ones.
            self.newest = None

    def forget(self) -> None:
        """Forget all proofs, which may rest on an earlier configuration."""
        self.newest, self.proven_at = None, -math.inf
        self.source = Source.NONE

    def record_read(
        self, active_version: int, started: float, store_s: float | None
    ) -> None:
        """Record that this VM has read and applied all configurations.

        Args:
            active_version: Version of the active configuration after that.
            started: Local time before the call was sent.
            store_s: Time that the store stated, ``None`` for none.
        """
        if started > self.proven_at:
            self.proven_at, self.source = started, Source.OWN
        if store_s is not None:
            proof = Proof(store_s, active_version)
            self._record(proof, active_version, Source.OWN)

    def record_proof(self, proof: Proof, active_version: int) -> None:
        """Record a proof that another VM passed on.

        Args:
            proof: The proof.
            active_version: Version of the active configuration.
        """
        if not self._record(proof, active_version, Source.PEERS):
            self.unusable_at = self.clock.monotonic()

    def age_s(self, active_version: int) -> float:
        """Return the age of the newest usable proof, infinite without one.

        Args:
            active_version: Version of the active configuration.
        """
        if self.newest is not None:
            # Its configuration may have arrived after it.
            self._adopt(self.newest, active_version, Source.PEERS)
        return self.clock.monotonic() - self.proven_at

    def may_serve(self, active_version: int, bound_s: float) -> bool:
        """Return whether keys of the active configuration may be served.

        Args:
            active_version: Version of the active configuration.
            bound_s: Time after its withdrawal at which a key must be out of
                use everywhere.
        """
        return self.age_s(active_version) < bound_s - MARGIN_S

    def others_may_serve(self, active_version: int, bound_s: float) -> bool:
        """Return whether only this VM seems to lack the permission.

        Args:
            active_version: Version of the active configuration.
            bound_s: Time at which a withdrawn key must be out of use.
        """
        since_s = self.clock.monotonic() - self.unusable_at
        return since_s < bound_s * RECENT_SHARE and not self.may_serve(
            active_version, bound_s
        )

    def proof_to_pass_on(self, bound_s: float) -> Proof | None:
        """Return the newest proof if another VM could still use it.

        Args:
            bound_s: Time at which a withdrawn key must be out of use.
        """
        at = self._local(self.newest)
        is_recent = self.clock.monotonic() - at < bound_s
        return self.newest if is_recent else None

    def _record(
        self, proof: Proof, active_version: int, source: Source
    ) -> bool:
        """Keep a proof if it is the newest; return whether it is usable."""
        if self._local(proof) == -math.inf:
            return False
        if self.newest is None or proof > self.newest:
            self.newest = proof
        return self._adopt(proof, active_version, source)

    def _adopt(
        self, proof: Proof, active_version: int, source: Source
    ) -> bool:
        if proof.version > active_version:
            return False
        at = self._local(proof)
        if at > self.proven_at:
            self.proven_at, self.source = at, source
        return True

    def _local(self, proof: Proof | None) -> float:
        """Return a local time not after a proof, minus infinity if unknown."""
        if proof is None:
            return -math.inf
        now = self.clock.monotonic()
        at = self.store_clock.earliest_local(proof.store_s, now)
        return -math.inf if at is None else at
