"""The relation of an upstream's present process to its address."""

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.upstreams import upstream as upstreams

# Part of the time until an address may be used again for which a proof is
# relied on. The rest is for connections that are accepted later than they seem
# to be, behind a slow link or a proxy.
RELIABLE_SHARE = 0.75
# Pauses after failures to prove an identity. An upstream that was out of reach
# for a moment is soon tried again, and an outdated row costs little.
INITIAL_PAUSE_S = 0.2
MAX_PAUSE_S = 1.0
# Late outcomes of removed upstreams leave records behind; beyond this number
# all are discarded, which costs one proof for each upstream in use.
MAX_RECORDS = 20_000


@attrs.define
class AddressRecord:
    """What is known of the address of one upstream's process.

    Attributes:
        born: Start of the process, as its row states it.
        address: The address.
        region: Region in which the row says that it runs.
        identified_at: Time at which the process certainly had it.
        doubted_at: Time of the last sign that another upstream may have it.
        failures: Consecutive failures to prove the identity.
        pause_until: Time until which no proof is attempted after a failure.
        is_displaced: Whether another upstream was found at the address.
        is_nameless: Whether its last health response named no upstream.
    """

    born: int
    address: str
    region: str
    identified_at: float = float('-inf')
    doubted_at: float = float('-inf')
    failures: int = 0
    pause_until: float = float('-inf')
    is_displaced: bool = False
    is_nameless: bool = False


@attrs.define
class AddressBindings:
    """Knows until when an address is proven to belong to an upstream.

    A row states an address, but the process may have ended since, and after
    ``reuse_s`` the address may belong to another upstream, possibly in another
    region. A response that identifies the upstream proves that its process had
    the address when the request was sent, so no other upstream has it until
    ``reuse_s`` later.

    Attributes:
        clock: Source of time, suspended time included.
        reuse_s: Shortest time from the end of an upstream to the reuse of its
            address.
        by_name: Records by upstream.
        last_pause_end: End of the last pause of any upstream.

    Examples:
        >>> bindings = AddressBindings(clocks.ManualClock(10.0), reuse_s=2.0)
        >>> upstream = upstreams.Upstream('u', 's', 'h:1', 'd', 'r')
        >>> bindings.is_proven(upstream)
        False
        >>> bindings.record_identified(upstream, 10.0)
        >>> bindings.is_proven(upstream)
        True
        >>> bindings.clock.advance(2.0)
        >>> bindings.is_proven(upstream)
        False
    """

    clock: clocks.Clock
    reuse_s: float = 2.0
    by_name: dict[str, AddressRecord] = attrs.field(factory=dict)
    last_pause_end: float = float('-inf')

    def proven_for_s(self, upstream: upstreams.Upstream) -> float:
        """Return how much longer the address is proven, at least 0 seconds.

        Args:
            upstream: The upstream.
        """
        record = self._find(upstream)
        if record is None:
            return 0.0
        proven_until = record.identified_at + self.reuse_s * RELIABLE_SHARE
        return max(0.0, proven_until - self.clock.monotonic())

    def is_proven(self, upstream: upstreams.Upstream) -> bool:
        """Return whether a connection opened until now is to the upstream.

        Args:
            upstream: The upstream.
        """
        return self.proven_for_s(upstream) > 0

    def withheld(self, confined: bool) -> frozenset[str]:
        """Return the names of upstreams that a request is not meant for now.

        An upstream whose address belongs to another one is of no use to any
        request; one whose identity could not be proven is of none to requests
        that must not reach another region. Both are tried again after a pause,
        so that a wrong sign does not take an upstream out of use for good.

        Args:
            confined: Whether the request must not reach another region.
        """
        now = self.clock.monotonic()
        if now >= self.last_pause_end:
            return frozenset()
        return frozenset(
            name
            for name, record in self.by_name.items()
            if now < record.pause_until and (confined or record.is_displaced)
        )

    def record_identified(
        self, upstream: upstreams.Upstream, sent_at: float
    ) -> None:
        """Record a response that can only come from the upstream.

        Args:
            upstream: The upstream.
            sent_at: Time when the request was sent, before its first byte.
        """
        record = self._provide(upstream)
        if record is None or sent_at <= record.doubted_at:
            return
        record.identified_at = max(record.identified_at, sent_at)
        record.failures = 0
        record.pause_until = float('-inf')
        record.is_displaced = False
        record.is_nameless = False

    def record_refused(self, upstream: upstreams.Upstream) -> None:
        """Record that no process accepts connections at the address.

        Args:
            upstream: The upstream.
        """
        self._doubt(self._provide(upstream))

    def record_unproven(self, upstream: upstreams.Upstream) -> None:
        """Record an attempt to prove the identity that proved nothing.

        Args:
            upstream: The upstream.
        """
        record = self._provide(upstream)
        if record is not None:
            self._pause(record)

    def record_nameless(self, upstream: upstreams.Upstream) -> None:
        """Record a health response that names no upstream.

        Without a name nothing proves the identity, so that requests which
        must not reach another region get none of the upstream's service.

        Args:
            upstream: The upstream.
        """
        record = self._provide(upstream)
        if record is not None:
            record.is_nameless = True
            self._pause(record)

    def nameless(self) -> frozenset[str]:
        """Return the names of upstreams whose health responses have none."""
        return frozenset(
            name for name, record in self.by_name.items() if record.is_nameless
        )

    def record_displaced(self, upstream: upstreams.Upstream) -> bool:
        """Record a response of another upstream at the address.

        Args:
            upstream: The upstream that was expected.

        Returns:
            Whether this was not known.
        """
        record = self._provide(upstream)
        if record is None:
            return False
        was_known = record.is_displaced
        self._doubt(record)
        record.is_displaced = True
        self._pause(record)
        return not was_known

    def record_row(self, upstream: upstreams.Upstream) -> None:
        """Record a new row, whose address other upstreams may have had.

        The row may be wrong, so that it ends a proof and proves nothing.

        Args:
            upstream: The upstream that the row describes.
        """
        if self._find(upstream) is None:
            self.discard(upstream.name)
        for name, record in self.by_name.items():
            if (
                name != upstream.name
                and record.address == upstream.address
                and record.born <= upstream.born
            ):
                self._doubt(record)

    def discard(self, name: str) -> None:
        """Discard the record of an upstream that was removed.

        Args:
            name: Name of the upstream.
        """
        self.by_name.pop(name, None)

    def _find(self, upstream: upstreams.Upstream) -> AddressRecord | None:
        record = self.by_name.get(upstream.name)
        if record is None or not _describes(record, upstream):
            return None
        return record

    def _provide(self, upstream: upstreams.Upstream) -> AddressRecord | None:
        """Return the record, ``None`` for a process that was replaced."""
        record = self.by_name.get(upstream.name)
        if record is not None and _describes(record, upstream):
            return record
        if record is not None and record.born > upstream.born:
            return None
        if len(self.by_name) >= MAX_RECORDS:
            self.by_name.clear()
        record = AddressRecord(
            upstream.born, upstream.address, upstream.region
        )
        self.by_name[upstream.name] = record
        return record

    def _doubt(self, record: AddressRecord | None) -> None:
        if record is not None:
            record.identified_at = float('-inf')
            record.doubted_at = self.clock.monotonic()

    def _pause(self, record: AddressRecord) -> None:
        now = self.clock.monotonic()
        if now < record.pause_until:
            # Responses to requests that were sent before the pause.
            return
        pause_s = min(MAX_PAUSE_S, INITIAL_PAUSE_S * 2**record.failures)
        record.pause_until = now + pause_s
        self.last_pause_end = max(self.last_pause_end, record.pause_until)
        record.failures = min(record.failures + 1, 16)


def _describes(record: AddressRecord, upstream: upstreams.Upstream) -> bool:
    return (record.born, record.address, record.region) == (
        upstream.born,
        upstream.address,
        upstream.region,
    )
