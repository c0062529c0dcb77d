"""Upstreams as described by their rows in the store."""

import attrs


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

    @property
    def incarnation(self) -> str:
        """Identifier of the upstream's present process."""
        return f'{self.name}@{self.born}'


@attrs.frozen
class Snapshot:
    """All registered upstreams as of one version of the store.

    Attributes:
        version: Version of the store.
        upstreams: The upstreams.
    """

    version: int
    upstreams: tuple[Upstream, ...]


@attrs.frozen
class DirectoryDelta:
    """Changes between two versions of the store.

    Attributes:
        base: Oldest version that the receiver may have.
        version: Version of the receiver after the delta is applied.
        changed: Upstreams that were added or changed.
        gone: Names of upstreams that were removed.
        age_s: Time since the version was read from the store.
    """

    base: int
    version: int
    changed: tuple[Upstream, ...] = ()
    gone: tuple[str, ...] = ()
    age_s: float = 0.0
