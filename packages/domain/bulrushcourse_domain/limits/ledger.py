"""The ledger of a limit: who may use which part of its cap."""

import typing

import attrs

from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects

# Half of a cap needs no store, the other half follows the demand.
FLOOR_PART = 0.5
BYTES_PER_MBIT = 125_000


@attrs.frozen
class Terms:
    """What a configuration version says of a limit.

    Attributes:
        version: Version of the configuration.
        cap: Whole units per second: bytes of a link, requests of a shift.
        seats: Names of the entry seats that divide the floor half.
        work_limit_s: Longest time that admitted work may last.
    """

    version: int
    cap: int
    seats: tuple[str, ...]
    work_limit_s: float

    def floor(self, seat: str) -> int:
        """Return the floor share of a seat.

        Args:
            seat: Name of the seat.

        Examples:
            >>> terms = Terms(1, 100, ('a', 'b'), 5.0)
            >>> terms.floor('a'), terms.floor('unknown')
            (25, 0)
        """
        if seat not in self.seats:
            return 0
        return int(self.cap * FLOOR_PART) // len(self.seats)


@attrs.frozen
class Lease:
    """Elastic share of one incarnation of an entry.

    Attributes:
        vm_id: The platform's identifier of the holder's VM.
        seat: Name of the holder's seat.
        share: Units per second.
        demand: Units per second that the holder could use beyond its floor.
        renewal: Identifier of the write that renewed the lease.
        work_limit_s: Longest time that the holder's work may last.
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

    The sum of floors and leases stays within the cap. After a cap was
    lowered, writes only shrink the sum until it fits again.

    Attributes:
        terms: Newest terms that any writer knew.
        floors: Units per second reserved for each seat.
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
        """Units per second that nobody may use."""
        return max(0, self.terms.cap - self.used)

    @property
    def elastic(self) -> int:
        """Units per second that leases may hold once all floors fit."""
        seats = {*self.terms.seats, *self.floors}
        floors = sum(
            max(self.floors.get(seat, 0), self.terms.floor(seat))
            for seat in seats
        )
        return max(0, self.terms.cap - floors)

    def under(self, terms: Terms) -> 'Ledger':
        """Return the ledger with terms taken up if they are newer.

        Args:
            terms: Terms of the writer's configuration.
        """
        if terms.version <= self.terms.version:
            return self
        return attrs.evolve(self, terms=terms)

    def with_floors_raised(self) -> 'Ledger':
        """Return the ledger with floors raised as far as there is room.

        Examples:
            >>> terms = Terms(1, 100, ('a', 'b'), 5.0)
            >>> Ledger(terms, {'a': 10}).with_floors_raised().floors
            {'a': 25, 'b': 25}
        """
        floors = dict(self.floors)
        free = self.free
        for seat in self.terms.seats:
            old = floors.get(seat, 0)
            rise = min(free, max(0, self.terms.floor(seat) - old))
            floors[seat] = old + rise
            free -= rise
        return attrs.evolve(self, floors=floors)

    def with_lease(self, holder: str, lease: Lease | None) -> 'Ledger':
        """Return the ledger with one lease replaced, or removed.

        Args:
            holder: The holder of the lease.
            lease: The new lease; ``None`` removes it.
        """
        leases = {h: old for h, old in self.leases.items() if h != holder}
        if lease is not None:
            leases[holder] = lease
        return attrs.evolve(self, leases=leases)

    def with_floor(self, seat: str, floor: int) -> 'Ledger':
        """Return the ledger with one floor replaced; 0 removes it.

        Args:
            seat: Name of the seat.
            floor: Units per second.
        """
        floors = {s: old for s, old in self.floors.items() if s != seat}
        if floor:
            floors[seat] = floor
        return attrs.evolve(self, floors=floors)


def fair_shares(
    capacity: int, demands: typing.Mapping[str, int]
) -> dict[str, int]:
    """Return max-min fair shares, none above its demand.

    Args:
        capacity: Whole units to divide.
        demands: Whole units wanted by holder.

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
    held: configuration_set.ConfigurationSet, limit: objects.Limit
) -> Terms | None:
    """Return a limit's terms, ``None`` if it has no shares.

    The limit of a region has none: the owners of its pools enforce it. The
    seats of a link are those of its two regions, as entries elsewhere send
    nothing across it.

    Args:
        held: Configuration in force.
        limit: A limit of that configuration.
    """
    entries: typing.Iterable[objects.Entry] = held.objects.entries
    if limit.kind is objects.LimitKind.REGION:
        return None
    cap = int(limit.requests_per_s)
    if limit.kind is objects.LimitKind.LINK:
        cap = int(limit.mbit_per_s * BYTES_PER_MBIT)
        entries = held.entries(limit.source) + held.entries(limit.target)
    longest_ms = max(
        (c.deadline_limit_ms for c in held.objects.request_classes),
        default=0,
    )
    return Terms(
        held.version,
        cap,
        tuple(sorted({entry.name for entry in entries})),
        longest_ms / 1000,
    )
