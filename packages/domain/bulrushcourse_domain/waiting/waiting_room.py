"""The bounded waiting room of a VM and its order of service.

Answers a burst of less urgent requests while the upstreams are full: more
urgent ones that arrive later are served first, and displace them where the
room is full.
"""

import collections
import enum
import heapq
import typing

import attrs

# Every VM of a large fleet has its own room, and entries are compared one by
# one.
MAX_ENTRIES = 128
# Bodies of waiting requests; a small VM has 200 MB.
MAX_BYTES = 8 << 20
# An entry counts as this many bytes besides its body.
ENTRY_BYTES = 4096
Pool = tuple[str, str]


class Gain(enum.IntEnum):
    """What a caller still gains if the request is sent now."""

    OBJECTIVE = 0
    DEADLINE = 1
    NOTHING = 2


class End(enum.Enum):
    """How the wait of a request ended, or why there was none."""

    SENT = 'sent'
    NO_ROOM = 'no-room'
    DISPLACED = 'displaced'
    # The caller disconnected.
    LEFT = 'left'
    STOPPING = 'stopping'
    # It was refused on arrival: the room was full of more urgent requests, or
    # would have offered nothing in time.
    ROOM_FULL = 'room-full'
    HOPELESS = 'hopeless'


@attrs.define(eq=False)
class Entry:
    """A waiting request.

    Attributes:
        pool: Service and region that must run it.
        priority: Priority; 0 is served first.
        tag: Tag of fair queueing among the accounts.
        entered: Time when it entered the room.
        meets_objective_until: Time until which its objective can be met if
            it is sent.
        meets_deadline_until: Time until which its deadline can be met.
        leaves_at: Time at which it is refused if no room was found.
        size: Bytes that it occupies.
    """

    pool: Pool
    priority: int
    tag: float
    entered: float
    meets_objective_until: float
    meets_deadline_until: float
    leaves_at: float
    size: int = ENTRY_BYTES

    def gain(self, now: float) -> Gain:
        """Return what the caller gains if the request is sent now.

        Args:
            now: The time.
        """
        if now <= self.meets_objective_until:
            return Gain.OBJECTIVE
        if now <= self.meets_deadline_until:
            return Gain.DEADLINE
        return Gain.NOTHING

    def order(self, now: float) -> tuple[int, Gain, float, float]:
        """Return the sort key of the order of service.

        Args:
            now: The time.
        """
        return self.priority, self.gain(now), self.tag, self.entered


@attrs.define
class WaitingRoom:
    """Entries that wait for room, by pool.

    Attributes:
        max_entries: Largest number of entries.
        max_bytes: Largest sum of their sizes.
        by_pool: Entries of each pool, in order of arrival.
        count: Number of entries.
        size: Sum of their sizes in bytes.
        ends: Number of waits by the way they ended.
    """

    max_entries: int = MAX_ENTRIES
    max_bytes: int = MAX_BYTES
    by_pool: dict[Pool, list[Entry]] = attrs.field(factory=dict)
    count: int = 0
    size: int = 0
    ends: collections.Counter[End] = attrs.field(factory=collections.Counter)

    def add(self, entry: Entry, now: float) -> list[Entry] | None:
        """Add an entry.

        Args:
            entry: The entry.
            now: The time.

        Returns:
            Entries that were displaced by it; ``None`` if the room is full of
            entries that are served before it.
        """
        displaced = self._find_displaced(entry, now)
        if displaced is None:
            return None
        for other in displaced:
            self.remove(other)
        self.by_pool.setdefault(entry.pool, []).append(entry)
        self.count += 1
        self.size += entry.size
        return displaced

    def _find_displaced(self, entry: Entry, now: float) -> list[Entry] | None:
        surplus = self.count + 1 - self.max_entries
        surplus_size = self.size + entry.size - self.max_bytes
        if surplus <= 0 and surplus_size <= 0:
            return []
        behind = [e for e in self.entries() if e.order(now) > entry.order(now)]
        behind.sort(key=lambda other: other.order(now), reverse=True)
        displaced: list[Entry] = []
        for other in behind:
            if surplus <= 0 and surplus_size <= 0:
                break
            displaced.append(other)
            surplus -= 1
            surplus_size -= other.size
        return displaced if surplus <= 0 and surplus_size <= 0 else None

    def remove(self, entry: Entry) -> bool:
        """Remove an entry; return whether it was in the room.

        Args:
            entry: The entry.
        """
        waiting = self.by_pool.get(entry.pool, [])
        if entry not in waiting:
            return False
        waiting.remove(entry)
        if not waiting:
            del self.by_pool[entry.pool]
        self.count -= 1
        self.size -= entry.size
        return True

    def entries(self) -> typing.Iterator[Entry]:
        """Return all entries."""
        for waiting in self.by_pool.values():
            yield from waiting

    def first(self, pool: Pool, now: float, count: int = 1) -> list[Entry]:
        """Return the entries of a pool that are served next, in order.

        Args:
            pool: Service and region.
            now: The time.
            count: Largest number of entries.
        """
        waiting = self.by_pool.get(pool, ())
        return heapq.nsmallest(
            count, waiting, key=lambda entry: entry.order(now)
        )

    def count_ahead(self, entry: Entry, now: float) -> int:
        """Return how many entries of the pool are served before another one.

        Args:
            entry: An entry that has not been added.
            now: The time.
        """
        order = entry.order(now)
        waiting = self.by_pool.get(entry.pool, ())
        return sum(other.order(now) < order for other in waiting)

    def expired(self, now: float) -> list[Entry]:
        """Return the entries that have waited long enough to be refused.

        Args:
            now: The time.
        """
        return [e for e in self.entries() if e.leaves_at <= now]
