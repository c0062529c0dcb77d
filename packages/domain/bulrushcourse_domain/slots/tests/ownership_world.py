"""A region of entries with drifting clocks, a table, a list and faults."""

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
SEATS = ('a', 'b', 'c')

Build = typing.Callable[
    [region_members.RegionMembers, str], ownership.PoolOwnership
]


def build_sound(
    members: region_members.RegionMembers, incarnation: str
) -> ownership.PoolOwnership:
    return ownership.open_ownership(
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
    up: bool = True

    def apply(self, write: leases.LeaseWrite) -> leases.LeaseWriteResult:
        if write.expected != self.row.version:
            return leases.LeaseWriteResult.CONFLICT
        self.row = leases.LeaseRow(
            write.expected + 1, write.entry, write.holder, write.renewal
        )
        return leases.LeaseWriteResult.COMMITTED


@attrs.define(eq=False)
class Node:
    """An entry's process with what it has in flight."""

    vm: region_members.ListedVm
    clock: DriftingClock
    own: ownership.PoolOwnership
    write: leases.LeaseWrite | None = None
    result: leases.LeaseWriteResult = leases.LeaseWriteResult.UNKNOWN
    paused: bool = False
    store_cut: bool = False


@attrs.define
class World:
    build: Build
    times: timing.OwnershipTimes = timing.OwnershipTimes()
    table: Table = attrs.field(factory=Table)
    nodes: list[Node] = attrs.field(factory=list)
    listed: frozenset[region_members.ListedVm] = frozenset()
    cuts: set[frozenset[str]] = attrs.field(factory=set)
    requests: list[tuple[Node, promises.PromiseRequest, Node]] = attrs.field(
        factory=list
    )
    answers: list[tuple[Node, promises.Promise, Node]] = attrs.field(
        factory=list
    )
    born: int = 0

    def start(self, seat: str, rate: float, vm_id: str = '') -> Node:
        self.born += 1
        vm = region_members.ListedVm(vm_id or f'vm-{self.born}', seat)
        clock = DriftingClock(100.0 * self.born, rate)
        members = region_members.RegionMembers(
            clock, seat, vm.vm_id, frozenset(SEATS), self.times
        )
        own = self.build(members, f'{seat}-{self.born}')
        node = Node(vm, clock, own)
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
        return [n.vm.vm_id for n in self.nodes if n.own.may_grant()]

    def check(self) -> None:
        assert len(self.owners()) <= 1, f'two owners: {self.owners()}'

    def connected(self, one: Node, other: Node) -> bool:
        pair = frozenset((one.vm.entry, other.vm.entry))
        alive = one in self.nodes and other in self.nodes
        return alive and pair not in self.cuts

    def fetch_list(self, node: Node) -> None:
        node.own.members.update_list(self.listed, node.clock.now)

    def read(self, node: Node) -> None:
        if self.table.up and not node.store_cut:
            node.own.observe_row(self.table.row)

    def send_write(self, node: Node) -> None:
        if node.write is None:
            node.write = node.own.plan_write()
            node.result = leases.LeaseWriteResult.UNKNOWN

    def land_write(self, node: Node) -> None:
        if node.write is not None and self.table.up and not node.store_cut:
            node.result = self.table.apply(node.write)

    def answer_write(self, node: Node, lost: bool = False) -> None:
        if node.write is not None:
            unknown = leases.LeaseWriteResult.UNKNOWN
            node.own.finish_write(node.write, unknown if lost else node.result)
            node.write = None

    def ask(self, node: Node) -> None:
        request = node.own.request_promises()
        if request is not None:
            self.requests += [
                (node, request, other)
                for other in self.nodes
                if other.vm.entry != node.vm.entry
            ]

    def deliver_requests(self) -> None:
        """Deliver requests to all entries that are not paused."""
        queued, self.requests = self.requests, []
        for asker, request, other in queued:
            if other.paused:
                self.requests.append((asker, request, other))
            elif self.connected(asker, other):
                promise = other.own.answer_promise_request(request)
                if promise is not None:
                    self.answers.append((other, promise, asker))

    def deliver_answers(self) -> None:
        """Deliver promises to all entries that are not paused."""
        queued, self.answers = self.answers, []
        for giver, promise, asker in queued:
            if asker.paused:
                self.answers.append((giver, promise, asker))
            elif self.connected(giver, asker):
                asker.own.record_promise(promise)

    def tick(self, node: Node) -> None:
        """Do what an entry's tasks do in one round, without delays."""
        if node.paused:
            return
        self.answer_write(node)
        self.deliver_answers()
        self.check()
        self.fetch_list(node)
        if self.table.up and not node.store_cut:
            self.read(node)
            self.send_write(node)
            self.land_write(node)
            self.answer_write(node)
        self.ask(node)
        self.deliver_requests()
        self.deliver_answers()
        self.check()

    def run(self, seconds: float, step: float = 0.25) -> None:
        for _ in range(round(seconds / step)):
            self.advance(step)
            for node in tuple(self.nodes):
                self.tick(node)

    def heal(self) -> None:
        self.table.up = True
        self.cuts.clear()
        for node in self.nodes:
            node.paused = False
        for seat in SEATS:
            if not any(node.vm.entry == seat for node in self.nodes):
                self.start(seat, 1.0)
        self.publish_list()
