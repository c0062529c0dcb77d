"""Simulated entries, store, upstreams and callers with faults.

The entries run the code that they run in production; only the table, the
slots, the upstreams and the streams to peers are simulated. Each operation
takes effect and is answered when the driver says so, if at all.
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

# The store applies no write later than this after it was sent.
MAX_WRITE_DELAY_S = 120.0


class Violation(AssertionError):
    """A promise to callers was broken."""


@attrs.define
class Ledger:
    """What ran, what callers were told, and the rules between them.

    Attributes:
        ran: Digest and answer of the run, by key.
        not_run: Keys whose callers were told ``not-run``.
        reply: Number of callers told, by outcome.
    """

    ran: dict[str, tuple[str, bytes]] = attrs.field(factory=dict)
    not_run: set[str] = attrs.field(factory=set)
    reply: dict[str, int] = attrs.field(factory=dict)

    def run(self, key: str, digest: str, answer: bytes) -> None:
        """Note a run.

        Args:
            key: Idempotency key.
            digest: Digest of the request.
            answer: Body of the run's answer.

        Raises:
            Violation: If the key ran before or was said not to run.
        """
        if key in self.ran:
            raise Violation(f'{key} ran twice')
        if key in self.not_run:
            raise Violation(f'{key} ran after not-run')
        self.ran[key] = (digest, answer)

    def tell(self, key: str, digest: str, reply: outcomes.Reply) -> None:
        """Note what a caller was told.

        Args:
            key: Idempotency key.
            digest: Digest of its request, empty if it only asked.
            reply: What it was told.

        Raises:
            Violation: If it is not true.
        """
        self.reply[reply.outcome.value] = (
            self.reply.get(reply.outcome.value, 0) + 1
        )
        if reply.outcome is outcomes.Outcome.NOT_RUN:
            if key in self.ran:
                raise Violation(f'{key} ran and was told not-run')
            self.not_run.add(key)
        if reply.outcome is outcomes.Outcome.DONE:
            self._check_answer(key, digest, reply)

    def _check_answer(
        self, key: str, digest: str, reply: outcomes.Reply
    ) -> None:
        ran_digest, answer = self.ran.get(key, ('', None))
        if reply.answer is None or reply.answer.body != answer:
            raise Violation(f'{key}: answer of no run of it')
        if digest and digest != ran_digest:
            raise Violation(f'{key}: answer to another request')


@attrs.define(eq=False)
class Process:
    """One incarnation of an entry.

    Attributes:
        name: Name of the entry.
        incarnation: Identifier of the process.
        world: The world that it runs in.
        alive: Whether it was not killed.
    """

    name: str
    incarnation: str
    world: 'World'
    alive: bool = True
    gateway: claim_gateway.Gateway | None = None
    tasks: list[asyncio.Task] = attrs.field(factory=list)

    def start(self) -> None:
        """Build the parts and start their tasks; runs inside the loop."""
        clock = self.world.clock
        table = SimulatedTable(self)
        batches = writer.BatchWriter(table, clock, 1000.0, 1000.0)
        stored = claim_rows.ClaimRows(table, self.world.objects, batches)
        deletes = cleanup.Cleanup(stored, clock)
        dispatcher = SimulatedDispatcher(self)
        free = free_form.FreeFormRuns(
            stored, dispatcher, clock, deletes, self.world.make_attempt
        )
        keys = self.world.make_keys(
            self.name, self.incarnation, SECRET, clock, max_keys=50
        )
        own = issued_runs.IssuedRuns(keys, stored, dispatcher, clock, deletes)
        self.gateway = claim_gateway.Gateway(
            free, own, SimulatedIssuers(self), stored
        )
        self.tasks = [
            asyncio.create_task(batches.run()),
            asyncio.create_task(deletes.run()),
        ]

    async def ask(
        self, kind: str, payload: typing.Any, limit_s: float
    ) -> typing.Any:
        """Start an operation; ``None`` if no answer comes in time."""
        loop = self.world.loop
        future = loop.create_future()
        if not self.alive:
            # A killed process does nothing more.
            await future
        operation = virtual.Operation(kind, self, payload, loop.now, future)
        self.world.operations.append(operation)
        await asyncio.wait((future,), timeout=max(limit_s, 0.0))
        if not self.alive:
            await loop.create_future()
        return future.result() if future.done() else None


@attrs.frozen
class SimulatedTable:
    """Table whose calls are operations of a process."""

    process: Process

    @property
    def reachable(self) -> bool:
        """Whether the store answers."""
        return self.process.world.objects.up

    async def get(self, key: str) -> platform_table.Row | None:
        """Return a row."""
        answer = await self.process.ask('table', key, CALL_TIMEOUT_S)
        if answer is None:
            raise platform_table.TableUnavailable
        return answer[0]

    async def transact(
        self, writes: typing.Sequence[platform_table.Write]
    ) -> platform_table.WriteResult:
        """Apply writes."""
        answer = await self.process.ask('table', list(writes), CALL_TIMEOUT_S)
        return answer or platform_table.WriteResult.UNKNOWN


@attrs.frozen(eq=False)
class SimulatedHold:
    """Slot whose dispatch is an operation of a process."""

    process: Process
    request: dispatch.KeyedRequest
    instance: str

    async def dispatch(self) -> dispatch.Dispatched:
        """Send the request."""
        left = self.request.deadline - self.process.world.loop.now
        answer = await self.process.ask('dispatch', self.request, left)
        return answer or dispatch.Dispatched(outcomes.UpstreamFact.TIMED_OUT)

    def release(self) -> None:
        """Give the slot back; slots are not counted here."""


@attrs.frozen
class SimulatedDispatcher:
    """Slots that are operations of a process."""

    process: Process

    async def acquire(
        self,
        request: dispatch.KeyedRequest,
        number: int,
        avoid: tuple[str, ...],
    ) -> SimulatedHold | None:
        """Ask for a slot."""
        left = request.deadline - self.process.world.loop.now
        granted = await self.process.ask('slot', request, left)
        if not granted:
            return None
        return SimulatedHold(self.process, request, f'i{number}')


@attrs.frozen
class SimulatedIssuers:
    """Streams to peers that are operations of a process."""

    process: Process

    async def ask(
        self,
        key: typing.Any,
        request: dispatch.KeyedRequest,
        ask_only: bool,
    ) -> outcomes.Reply | None:
        """Ask the issuer of a key."""
        left = request.deadline - self.process.world.loop.now
        payload = (key, request, ask_only)
        answer = await self.process.ask('forward', payload, left)
        return answer if isinstance(answer, outcomes.Reply) else None


@attrs.define
class MemoryObjects:
    """Object store in memory.

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
            raise platform_objects.ObjectsUnavailable


@attrs.define(eq=False)
class World:
    """Everything that a trial needs.

    Attributes:
        make_keys: Class of the issued keys, replaced by broken variants.
        make_attempt: Makes attempt ids, replaced by broken variants.
        loop: Event loop with virtual time.
        ledger: What ran and what was told.
        operations: Operations that the driver has not ended.
        processes: Running process by entry.
        rows: Rows of the table as version and value.
    """

    make_keys: typing.Callable[..., issued_keys.IssuedKeys] = (
        issued_keys.IssuedKeys
    )
    make_attempt: typing.Callable[[], str] | None = None
    loop: virtual.VirtualLoop = attrs.field(factory=virtual.VirtualLoop)
    ledger: Ledger = attrs.field(factory=Ledger)
    operations: list[virtual.Operation] = attrs.field(factory=list)
    processes: dict[str, Process] = attrs.field(factory=dict)
    rows: dict[str, tuple[int, typing.Any]] = attrs.field(factory=dict)
    objects: MemoryObjects = attrs.field(factory=MemoryObjects)
    counter: typing.Iterator[int] = attrs.field(factory=itertools.count)
    calls: list[tuple[Process, asyncio.Task]] = attrs.field(factory=list)

    killed: list[Process] = attrs.field(factory=list)
    clock: virtual.VirtualClock = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.clock = virtual.VirtualClock(self.loop)
        if self.make_attempt is None:
            self.make_attempt = lambda: f'a{next(self.counter)}'
        for name in ENTRIES:
            self.restart(name)

    def restart(self, name: str) -> None:
        """Kill an entry's process at this instant and start another.

        Args:
            name: Name of the entry.
        """
        if name in self.processes:
            self.processes[name].alive = False
            # Keeps the tasks of the killed process from being collected,
            # which would run their clean-up code.
            self.killed.append(self.processes[name])
        process = Process(name, f'n{next(self.counter)}', self)
        self.processes[name] = process
        self.loop.call_soon(process.start)
        self.loop.settle()

    def close(self) -> None:
        """End all tasks and the loop."""
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*tasks, return_exceptions=True)
        )
        self.loop.close()
