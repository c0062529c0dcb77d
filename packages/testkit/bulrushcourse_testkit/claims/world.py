"""Simulate entries, store, upstreams and callers with faults.

The entries run production code; only the table, the slots, the upstreams and
the streams to peers are simulated. The driver decides when each operation
takes effect and when it is answered, if at all.
"""

import asyncio
import itertools
import typing

import attrs

from bulrushcourse_domain.claims import issued_keys
from bulrushcourse_domain.claims import outcomes
from bulrushcourse_entry.claims import cleanup
from bulrushcourse_entry.claims import dispatch
from bulrushcourse_entry.claims import free_form
from bulrushcourse_entry.claims import gateway as claim_gateway
from bulrushcourse_entry.claims import issued_runs
from bulrushcourse_entry.claims import rows as claim_rows
from bulrushcourse_entry.claims import writer
from bulrushcourse_entry.platform import objects as platform_objects
from bulrushcourse_entry.platform import table as platform_table
from bulrushcourse_testkit.claims import virtual

SERVICE = 'orders'
SECRET = b'secret'
ENTRIES = ('e1', 'e2', 'e3')
DEADLINE_S = 8.0
CALL_TIMEOUT_S = 2.0

# The store does not apply a write later than this after it was sent.
MAX_WRITE_DELAY_S = 120.0


class Violation(AssertionError):
    """A guarantee to callers was violated."""


@attrs.define
class RunHistory:
    """Records runs and replies and checks them against each other.

    Attributes:
        ran: Digest of the request and body of the answer, by key that ran.
        not_run: Keys with a ``not-run`` reply.
        reply_counts: Number of replies by outcome.
    """

    ran: dict[str, tuple[str, bytes]] = attrs.field(factory=dict)
    not_run: set[str] = attrs.field(factory=set)
    reply_counts: dict[str, int] = attrs.field(factory=dict)

    def record_run(self, key: str, digest: str, answer: bytes) -> None:
        """Record a run of a request.

        Args:
            key: Idempotency key.
            digest: Digest of the request.
            answer: Body of the run's answer.

        Raises:
            Violation: If the key ran before or has a ``not-run`` reply.
        """
        if key in self.ran:
            raise Violation(f'{key} ran twice')
        if key in self.not_run:
            raise Violation(f'{key} ran after a not-run reply')
        self.ran[key] = (digest, answer)

    def record_reply(
        self, key: str, digest: str, reply: outcomes.Reply
    ) -> None:
        """Record the reply to a caller.

        Args:
            key: Idempotency key.
            digest: Digest of the request, empty for a query of the outcome.
            reply: The reply.

        Raises:
            Violation: If the reply contradicts the runs.
        """
        self.reply_counts[reply.outcome.value] = (
            self.reply_counts.get(reply.outcome.value, 0) + 1
        )
        if reply.outcome is outcomes.Outcome.NOT_RUN:
            if key in self.ran:
                raise Violation(f'{key} ran but got a not-run reply')
            self.not_run.add(key)
        if reply.outcome is outcomes.Outcome.DONE:
            self._check_answer(key, digest, reply)

    def _check_answer(
        self, key: str, digest: str, reply: outcomes.Reply
    ) -> None:
        ran_digest, answer = self.ran.get(key, ('', None))
        if reply.answer is None or reply.answer.body != answer:
            raise Violation(f'{key}: answer is not that of its run')
        if digest and digest != ran_digest:
            raise Violation(f'{key}: answer to another request')


@attrs.define(eq=False)
class Process:
    """A process of an entry.

    Attributes:
        name: Name of the entry.
        incarnation: Identifier of the process.
        world: Simulated environment of the process.
        alive: Whether the process has not been killed.
        gateway: Serves requests, ``None`` before the start.
        tasks: Background tasks.
    """

    name: str
    incarnation: str
    world: 'World'
    alive: bool = True
    gateway: claim_gateway.Gateway | None = None
    tasks: list[asyncio.Task] = attrs.field(factory=list)

    def start(self) -> None:
        """Build the gateway and start its tasks; call it inside the loop."""
        clock = self.world.clock
        table = SimulatedTable(self)
        batch_writer = writer.BatchWriter(table, clock, 1000.0, 1000.0)
        rows = claim_rows.ClaimRows(table, self.world.objects, batch_writer)
        deletions = cleanup.Cleanup(rows, clock)
        dispatcher = SimulatedDispatcher(self)
        free = free_form.FreeFormRuns(
            rows, dispatcher, clock, deletions, self.world.make_attempt
        )
        keys = self.world.make_keys(
            self.name, self.incarnation, SECRET, clock, max_keys=50
        )
        issued = issued_runs.IssuedRuns(
            keys, rows, dispatcher, clock, deletions
        )
        self.gateway = claim_gateway.Gateway(
            free, issued, SimulatedIssuers(self), rows
        )
        self.tasks = [
            asyncio.create_task(batch_writer.run()),
            asyncio.create_task(deletions.run()),
        ]

    async def perform(
        self, kind: str, payload: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Start an operation; return its answer, ``None`` if it is late."""
        loop = self.world.loop
        future = loop.create_future()
        if not self.alive:
            # Blocks forever, since a killed process does nothing more.
            await future
        operation = virtual.Operation(kind, self, payload, loop.now, future)
        self.world.operations.append(operation)
        await asyncio.wait((future,), timeout=max(timeout_s, 0.0))
        if not self.alive:
            await loop.create_future()
        return future.result() if future.done() else None


@attrs.frozen
class SimulatedTable:
    """Table whose calls become operations for the driver."""

    process: Process

    @property
    def reachable(self) -> bool:
        """Whether the store answers."""
        return self.process.world.objects.up

    async def get(self, key: str) -> platform_table.Row | None:
        """Return a row."""
        answer = await self.process.perform('table', key, CALL_TIMEOUT_S)
        if answer is None:
            raise platform_table.TableUnavailable
        return answer[0]

    async def transact(
        self, writes: typing.Sequence[platform_table.Write]
    ) -> platform_table.WriteResult:
        """Apply writes."""
        answer = await self.process.perform(
            'table', list(writes), CALL_TIMEOUT_S
        )
        return answer or platform_table.WriteResult.UNKNOWN


@attrs.frozen(eq=False)
class SimulatedHold:
    """Slot whose dispatch becomes an operation for the driver."""

    process: Process
    request: dispatch.KeyedRequest
    instance: str

    async def dispatch(self) -> dispatch.CompletedDispatch:
        """Send the request to the instance."""
        remaining_s = self.request.deadline - self.process.world.loop.now
        answer = await self.process.perform(
            'dispatch', self.request, remaining_s
        )
        return answer or dispatch.CompletedDispatch(
            outcomes.DispatchResult.TIMED_OUT
        )

    def release(self) -> None:
        """Release the slot; slots are not counted here."""


@attrs.frozen
class SimulatedDispatcher:
    """Slots whose requests become operations for the driver."""

    process: Process

    async def acquire(
        self,
        request: dispatch.KeyedRequest,
        number: int,
        avoid: tuple[str, ...],
    ) -> SimulatedHold | None:
        """Request a slot."""
        remaining_s = request.deadline - self.process.world.loop.now
        granted = await self.process.perform('slot', request, remaining_s)
        if not granted:
            return None
        return SimulatedHold(self.process, request, f'i{number}')


@attrs.frozen
class SimulatedIssuers:
    """Streams to peers whose requests become operations for the driver."""

    process: Process

    async def forward(
        self,
        key: typing.Any,
        request: dispatch.KeyedRequest,
        ask_only: bool,
    ) -> outcomes.Reply | None:
        """Forward the request to the issuer of its key."""
        remaining_s = request.deadline - self.process.world.loop.now
        payload = (key, request, ask_only)
        answer = await self.process.perform('forward', payload, remaining_s)
        return answer if isinstance(answer, outcomes.Reply) else None


@attrs.define
class MemoryObjects:
    """In-memory object store.

    Attributes:
        content: Objects by key.
        up: Whether calls are answered.
    """

    content: dict[str, bytes] = attrs.field(factory=dict)
    up: bool = True

    async def put(self, key: str, content: bytes) -> None:
        """Store an object."""
        self._check()
        self.content[key] = content

    async def get(self, key: str) -> bytes | None:
        """Return an object."""
        self._check()
        return self.content.get(key)

    async def delete(self, key: str) -> None:
        """Delete an object."""
        self._check()
        self.content.pop(key, None)

    def _check(self) -> None:
        if not self.up:
            raise platform_objects.ObjectStoreUnavailable


@attrs.define(eq=False)
class World:
    """Simulated environment of a trial.

    Attributes:
        make_keys: Creates the issued keys; broken variants replace it.
        make_attempt: Creates attempt identifiers; broken variants replace it.
        loop: Event loop with virtual time.
        history: Recorded runs and replies.
        operations: Operations that the driver has not completed.
        processes: Running process by entry.
        rows: Version and value of the table's rows by key.
        objects: Object store.
        unique_ids: Source of unique numbers.
        calls: Calls of callers that are under way, each with its process.
        killed: Killed processes.
        clock: Clock with the loop's virtual time.
    """

    make_keys: typing.Callable[..., issued_keys.IssuedKeys] = (
        issued_keys.IssuedKeys
    )
    make_attempt: typing.Callable[[], str] | None = None
    loop: virtual.VirtualLoop = attrs.field(factory=virtual.VirtualLoop)
    history: RunHistory = attrs.field(factory=RunHistory)
    operations: list[virtual.Operation] = attrs.field(factory=list)
    processes: dict[str, Process] = attrs.field(factory=dict)
    rows: dict[str, tuple[int, typing.Any]] = attrs.field(factory=dict)
    objects: MemoryObjects = attrs.field(factory=MemoryObjects)
    unique_ids: typing.Iterator[int] = attrs.field(factory=itertools.count)
    calls: list[tuple[Process, asyncio.Task]] = attrs.field(factory=list)

    killed: list[Process] = attrs.field(factory=list)
    clock: virtual.VirtualClock = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.clock = virtual.VirtualClock(self.loop)
        if self.make_attempt is None:
            self.make_attempt = lambda: f'a{next(self.unique_ids)}'
        for name in ENTRIES:
            self.restart(name)

    def restart(self, name: str) -> None:
        """Kill the process of an entry immediately and start another.

        Args:
            name: Name of the entry.
        """
        if name in self.processes:
            self.processes[name].alive = False
            # The reference keeps the tasks of the killed process from being
            # garbage-collected, which would run their cleanup code.
            self.killed.append(self.processes[name])
        process = Process(name, f'n{next(self.unique_ids)}', self)
        self.processes[name] = process
        self.loop.call_soon(process.start)
        self.loop.settle()

    def close(self) -> None:
        """Cancel all tasks and close the loop."""
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*tasks, return_exceptions=True)
        )
        self.loop.close()
