"""The ledger of a limit: the shares of its cap and their holders."""

import typing

import attrs

from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects

# Half of a cap is guaranteed without the store, the rest follows demand.
FLOOR_SHARE_RATIO = 0.5
BYTES_PER_MBIT = 125_000


@attrs.frozen
class Terms:
    """Definition of a limit in one version of the configuration.

    Attributes:
        version: Version of the configuration.
        cap: Whole units per second: bytes of a link, requests of a shift.
        seats: Names of the entries among which the half of the cap that
            is reserved for floor shares is divided.
        work_limit_s: Maximum duration of an admitted request.
    """

    version: int
    cap: int
    seats: tuple[str, ...]
    work_limit_s: float

    def floor_share(self, entry: str) -> int:
        """Return the floor share of an entry in units per second.

        Args:
            entry: Name of the entry; one that is not configured has none.

        Examples:
            >>> terms = Terms(1, 100, ('a', 'b'), 5.0)
            >>> terms.floor_share('a'), terms.floor_share('unknown')
            (25, 0)
        """
        if entry not in self.seats:
            return 0
        return int(self.cap * FLOOR_SHARE_RATIO) // len(self.seats)


@attrs.frozen
class Lease:
    """Elastic share that one incarnation of an entry holds.

    Attributes:
        vm_id: The platform's identifier of the holder's VM.
        seat: Name of the holder's entry.
        share: Units per second.
        demand: Units per second that the holder needs beyond its floor.
        renewal: Identifier of the write that renewed the lease.
        work_limit_s: Maximum duration of the holder's admitted requests.
    """

    vm_id: str
    seat: str
    share: int
    demand: int
    renewal: str
    work_limit_s: float


@attrs.frozen
class Ledger:
    """Content of a limit's row.

    The sum of floors and leases does not exceed the cap. After the cap was
    lowered, writes only reduce the sum until it fits again.

    Attributes:
        terms: Newest terms of all writers.
        floors: Units per second reserved for each entry.
        leases: Elastic shares by holder.
    """

    terms: Terms
    floors: dict[str, int] = attrs.field(factory=dict)
    leases: dict[str, Lease] = attrs.field(factory=dict)

    @property
    def used(self) -> int:
        """Units per second that are reserved or leased."""
        return sum(self.floors.values()) + sum(
            lease.share for lease in self.leases.values()
        )

    @property
    def free(self) -> int:
        """Units per second that are neither reserved nor leased."""
        return max(0, self.terms.cap - self.used)

    @property
    def elastic(self) -> int:
        """Units per second left for leases once all floors are reserved."""
        entries = {*self.terms.seats, *self.floors}
        floors = sum(
            max(self.floors.get(entry, 0), self.terms.floor_share(entry))
            for entry in entries
        )
        return max(0, self.terms.cap - floors)

    def with_terms(self, terms: Terms) -> 'Ledger':
        """Return the ledger with the given terms if they are newer.

        Args:
            terms: Terms of the writer's configuration.
        """
        if terms.version <= self.terms.version:
            return self
        return attrs.evolve(self, terms=terms)

    def with_floors_raised(self) -> 'Ledger':
        """Return the ledger with floors raised as far as the cap allows.

        Examples:
            >>> terms = Terms(1, 100, ('a', 'b'), 5.0)
            >>> Ledger(terms, {'a': 10}).with_floors_raised().floors
            {'a': 25, 'b': 25}
        """
        floors = dict(self.floors)
        free = self.free
        for entry in self.terms.seats:
            old = floors.get(entry, 0)
            rise = min(free, max(0, self.terms.floor_share(entry) - old))
            floors[entry] = old + rise
            free -= rise
        return attrs.evolve(self, floors=floors)

    def with_lease(self, holder: str, lease: Lease | None) -> 'Ledger':
        """Return the ledger with one lease replaced or removed.

        Args:
            holder: The holder of the lease.
            lease: The new lease; ``None`` removes it.
        """
        leases = {h: old for h, old in self.leases.items() if h != holder}
        if lease is not None:
            leases[holder] = lease
        return attrs.evolve(self, leases=leases)

    def with_floor(self, entry: str, floor: int) -> 'Ledger':
        """Return the ledger with one floor replaced; 0 removes it.

        Args:
            entry: Name of the entry.
            floor: Units per second.
        """
        floors = {e: old for e, old in self.floors.items() if e != entry}
        if floor:
            floors[entry] = floor
        return attrs.evolve(self, floors=floors)


def fair_shares(
    capacity: int, demands: typing.Mapping[str, int]
) -> dict[str, int]:
    """Return the max-min fair shares of a capacity.

    Args:
        capacity: Whole units to divide.
        demands: Demand in whole units by holder; no share exceeds it.

    Examples:
        >>> fair_shares(10, {'a': 2, 'b': 9, 'c': 9})
        {'a': 2, 'b': 4, 'c': 4}
    """
    shares = {}
    ordered = sorted(demands.items(), key=lambda item: (item[1], item[0]))
    for position, (holder, demand) in enumerate(ordered):
        shares[holder] = min(demand, capacity // (len(ordered) - position))
        capacity -= shares[holder]
    return shares


def limit_terms(
    configuration: configuration_set.ConfigurationSet, limit: objects.Limit
) -> Terms | None:
    """Return the terms of a limit, ``None`` if it is not divided in shares.

    The limit of a region is not divided in shares, since the owners of its
    pools enforce it. A link is shared by the entries of its two regions, since
    entries of other regions send nothing across it.

    Args:
        configuration: The active configuration.
        limit: A limit of that configuration.
    """
    entries: typing.Iterable[objects.Entry] = configuration.objects.entries
    if limit.kind is objects.LimitKind.REGION:
        return None
    cap = int(limit.requests_per_s)
    if limit.kind is objects.LimitKind.LINK:
        cap = int(limit.mbit_per_s * BYTES_PER_MBIT)
        entries = configuration.entries(limit.source) + configuration.entries(
            limit.target
        )
    max_duration_ms = max(
        (c.deadline_limit_ms for c in configuration.objects.request_classes),
        default=0,
    )
    return Terms(
        configuration.version,
        cap,
        tuple(sorted({entry.name for entry in entries})),
        max_duration_ms / 1000,
    )
