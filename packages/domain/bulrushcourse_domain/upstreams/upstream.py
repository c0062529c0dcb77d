"""Upstreams as described by their rows in the store."""

import functools
import typing

import attrs
import xxhash

from bulrushcourse_domain.store import position as positions

# Reports name every upstream in use several times a second.
MAX_CACHED_IDS = 20_000


@functools.lru_cache(MAX_CACHED_IDS)
def short_id(name: str) -> int:
    """Return a number that stands for an upstream in reports between VMs.

    Two of a thousand upstreams have the same one with a probability of 0.0001,
    in which case the requests of one are counted for the other.

    Args:
        name: Name of the upstream.
    """
    return xxhash.xxh32_intdigest(name.encode())


@attrs.frozen
class Upstream:
    """A registered upstream.

    Attributes:
        name: Identifier of the upstream. It is sent with each request, so
            that another upstream that now has the address can be detected.
        service: Name of its service.
        address: ``ip:port``.
        failure_domain: Failure domain in which it runs.
        region: Region of the failure domain.
        slots: Requests that it can run concurrently.
        draining: Whether it is about to leave and gets no new requests.
        cold_for_s: Remaining warm-up when the row was written.
        born: Start of this incarnation in Unix milliseconds, 0 if unknown.
        version: Version of the store that wrote the row. Heartbeats change
            nothing else, so it is ignored in comparisons.
        sequence: Number of the row within its process, 0 if unknown.
            Ignored in comparisons as well.
        first_sequence: Lowest such number that was seen of the process since
            the upstream was listed, 0 if none is known.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    region: str
    slots: int = 1
    draining: bool = False
    cold_for_s: float = 0.0
    born: int = 0
    version: int = attrs.field(default=0, eq=False)
    sequence: int = attrs.field(default=0, eq=False)
    first_sequence: int = attrs.field(default=0, eq=False)

    @property
    def digest(self) -> int:
        """Number that differs between states of upstreams; see ``short_id``.

        The exclusive or of several stands for all of them.
        """
        return short_id(f'{self.incarnation} {self.draining}')

    @property
    def incarnation(self) -> str:
        """Identifier of the upstream's present process."""
        return f'{self.name}@{self.born}'

    @property
    def residence(self) -> str:
        """Identifier of the present process with its address and region."""
        return f'{self.incarnation} {self.address} {self.region}'


@attrs.frozen
class Snapshot:
    """All registered upstreams as of one version of the store.

    Attributes:
        version: Version of the store.
        upstreams: The upstreams.
        era: Era of the store, 0 if it states none.
        unreadable: Names of the rows that describe no upstream.
    """

    version: int
    upstreams: tuple[Upstream, ...]
    era: int = 0
    unreadable: frozenset[str] = frozenset()

    @property
    def position(self) -> positions.Position:
        """Position in the store up to which it includes all changes."""
        return positions.Position(self.era, self.version)


@attrs.frozen
class Change:
    """A change of one upstream between two positions in the store.

    Attributes:
        upstream: The upstream after the change, or before its removal.
        kind: ``joined``, ``restarted``, ``draining``, ``gone``, or ``kept``
            for one whose row is missing and may have expired in an outage, or
            may be missing in the copy that the store came back from.
    """

    upstream: Upstream
    kind: str


@attrs.frozen
class DirectoryDelta:
    """Changes between two positions in the store.

    Attributes:
        base: Earliest position that the receiver may be at; ``START`` if the
            changes are the complete directory.
        position: Position of the receiver after the delta is applied.
        changed: Upstreams that were added or changed.
        gone: Names of upstreams that were removed.
        age_s: Time since the position was read from the store.
        kept: For how long upstreams without a row are still used, in seconds
            by name; see ``Change``.
        digest: Exclusive or of the digests of the upstreams that have a row at
            ``position``, ``None`` if the sender does not state it.
        possibly_present: Names among those in ``gone`` whose row may have
            become unreadable or expired in an outage, rather than being
            removed.
    """

    base: positions.Position
    position: positions.Position
    changed: tuple[Upstream, ...] = ()
    gone: tuple[str, ...] = ()
    age_s: float = 0.0
    kept: typing.Mapping[str, float] = attrs.field(factory=dict)
    digest: int | None = None
    possibly_present: tuple[str, ...] = ()
