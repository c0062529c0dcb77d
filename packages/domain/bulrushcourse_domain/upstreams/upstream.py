"""One upstream as its entry describes it."""

import attrs


@attrs.frozen
class Upstream:
    """An entry of an upstream.

    Attributes:
        name: Identifier of the upstream, sent along to detect that another
            one has its address.
        service: Service that it belongs to.
        address: ``ip:port``.
        failure_domain: Where it runs.
        region: Region of the failure domain.
        slots: Requests that it works on at once.
        draining: Whether it is about to leave.
        cold_for_s: How long it is still cold, when the entry was written.
        born: Start of this incarnation in Unix milliseconds, 0 if unknown.
        version: Version of the store that wrote it. Heartbeats change it
            and nothing else, so that it does not count as a difference.
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
        """Identifier of this start of the upstream."""
        return f'{self.name}@{self.born}'


@attrs.frozen
class Snapshot:
    """All entries as of one version of the store.

    Attributes:
        version: Version of the store.
        upstreams: The entries.
    """

    version: int
    upstreams: tuple[Upstream, ...]


@attrs.frozen
class DirectoryDelta:
    """What changed between two versions of the store.

    Attributes:
        base: Version that the receiver must know at least.
        version: Version that it knows afterwards.
        changed: Entries that were added or changed.
        gone: Names of entries that are no longer there.
        age_s: Time since the version was read.
    """

    base: int
    version: int
    changed: tuple[Upstream, ...] = ()
    gone: tuple[str, ...] = ()
    age_s: float = 0.0
