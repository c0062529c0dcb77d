"""Simulates a region: entries with drifting clocks, table, VM list, faults."""

import random
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.slots import lease as leases
from bulrushcourse_domain.slots import ownership
from bulrushcourse_domain.slots import promises
from bulrushcourse_domain.slots import region_members
from bulrushcourse_domain.slots import timing

POOL = 'ro-nord/catalog'
ENTRIES = ('a', 'b', 'c')

BuildOwnership = typing.Callable[
    [region_members.RegionMembers, str], ownership.PoolOwnership
]


def build_correct(
    members: region_members.RegionMembers, incarnation: str
) -> ownership.PoolOwnership:
    return ownership.build_ownership(
        POOL, incarnation, members, random.Random(incarnation)
    )


@attrs.define
class DriftingClock(clocks.ManualClock):
    rate: float = 1.0

    def advance(self, seconds: float) -> None:
        self.now += seconds * self.rate


@attrs.define
class Table:
    row: leases.LeaseRow = leases.LeaseRow()
    available: bool = True

    def apply(self, write: leases.LeaseWrite) -> leases.LeaseWriteResult:
        if write.expected != self.row.version:
            return leases.LeaseWriteResult.CONFLICT
        self.row = leases.LeaseRow(
            write.expected + 1, write.entry, write.holder, write.renewal
        )
        return leases.LeaseWriteResult.COMMITTED


@attrs.define(eq=False)
class Node:
    """An entry's process, with its write of the lease in flight."""

    vm: region_members.ListedVm
    clock: DriftingClock
    pool_ownership: ownership.PoolOwnership
    write: leases.LeaseWrite | None = None
    result: leases.LeaseWriteResult = leases.LeaseWriteResult.UNKNOWN
    paused: bool = False
    table_unreachable: bool = False


@attrs.define
class World:
    build: BuildOwnership
    durations: timing.OwnershipDurations = timing.OwnershipDurations()
    table: Table = attrs.field(factory=Table)
    nodes: list[Node] = attrs.field(factory=list)
    listed: frozenset[region_members.ListedVm] = frozenset()
    broken_links: set[frozenset[str]] = attrs.field(factory=set)
    requests_in_flight: list[tuple[Node, promises.PromiseRequest, Node]] = (
        attrs.field(factory=list)
    )
    promises_in_flight: list[tuple[Node, promises.Promise, Node]] = (
        attrs.field(factory=list)
    )
    started_count: int = 0

    def start(self, entry: str, rate: float, vm_id: str = '') -> Node:
        self.started_count += 1
        vm = region_members.ListedVm(
            vm_id or f'vm-{self.started_count}', entry
        )
        clock = DriftingClock(100.0 * self.started_count, rate)
        members = region_members.RegionMembers(
            clock, entry, vm.vm_id, frozenset(ENTRIES), self.durations
        )
        pool_ownership = self.build(members, f'{entry}-{self.started_count}')
        node = Node(vm, clock, pool_ownership)
        self.nodes.append(node)
        return node

    def kill(self, node: Node) -> None:
        self.nodes.remove(node)

    def publish_list(self) -> None:
        self.listed = frozenset(node.vm for node in self.nodes)

    def advance(self, seconds: float) -> None:
        for node in self.nodes:
            node.clock.advance(seconds)

    def owners(self) -> list[str]:
        return [n.vm.vm_id for n in self.nodes if n.pool_ownership.may_grant()]

    def check(self) -> None:
        assert len(self.owners()) <= 1, f'two owners: {self.owners()}'

    def connected(self, one: Node, other: Node) -> bool:
        pair = frozenset((one.vm.entry, other.vm.entry))
        alive = one in self.nodes and other in self.nodes
        return alive and pair not in self.broken_links

    def fetch_list(self, node: Node) -> None:
        node.pool_ownership.members.update_vm_list(self.listed, node.clock.now)

    def read(self, node: Node) -> None:
        if self.table.available and not node.table_unreachable:
            node.pool_ownership.observe_row(self.table.row)

    def send_write(self, node: Node) -> None:
        if node.write is None:
            node.write = node.pool_ownership.plan_write()
            node.result = leases.LeaseWriteResult.UNKNOWN

    def apply_write(self, node: Node) -> None:
        if (
            node.write is not None
            and self.table.available
            and not node.table_unreachable
        ):
            node.result = self.table.apply(node.write)

    def finish_write(self, node: Node, response_lost: bool = False) -> None:
        if node.write is not None:
            unknown = leases.LeaseWriteResult.UNKNOWN
            node.pool_ownership.record_write_result(
                node.write, unknown if response_lost else node.result
            )
            node.write = None

    def request_promises(self, node: Node) -> None:
        request = node.pool_ownership.request_promises()
        if request is not None:
            self.requests_in_flight += [
                (node, request, other)
                for other in self.nodes
                if other.vm.entry != node.vm.entry
            ]

    def deliver_requests(self) -> None:
        """Deliver promise requests to the entries that are not paused."""
        in_flight, self.requests_in_flight = self.requests_in_flight, []
        for candidate, request, other in in_flight:
            if other.paused:
                self.requests_in_flight.append((candidate, request, other))
            elif self.connected(candidate, other):
                promise = other.pool_ownership.answer_promise_request(request)
                if promise is not None:
                    self.promises_in_flight.append((other, promise, candidate))

    def deliver_promises(self) -> None:
        """Deliver promises to the candidates that are not paused."""
        in_flight, self.promises_in_flight = self.promises_in_flight, []
        for giver, promise, candidate in in_flight:
            if candidate.paused:
                self.promises_in_flight.append((giver, promise, candidate))
            elif self.connected(giver, candidate):
                candidate.pool_ownership.record_promise(promise)

    def tick(self, node: Node) -> None:
        """Run one round of an entry's tasks, without delays."""
        if node.paused:
            return
        self.finish_write(node)
        self.deliver_promises()
        self.check()
        self.fetch_list(node)
        if self.table.available and not node.table_unreachable:
            self.read(node)
            self.send_write(node)
            self.apply_write(node)
            self.finish_write(node)
        self.request_promises(node)
        self.deliver_requests()
        self.deliver_promises()
        self.check()

    def run(self, seconds: float, step: float = 0.25) -> None:
        for _ in range(round(seconds / step)):
            self.advance(step)
            for node in tuple(self.nodes):
                self.tick(node)

    def repair(self) -> None:
        self.table.available = True
        self.broken_links.clear()
        for node in self.nodes:
            node.paused = False
        for entry in ENTRIES:
            if not any(node.vm.entry == entry for node in self.nodes):
                self.start(entry, 1.0)
        self.publish_list()
