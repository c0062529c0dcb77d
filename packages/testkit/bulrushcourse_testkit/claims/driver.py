"""Moves of a trial: callers, faults, and the fate of each operation."""

import asyncio
import random

import attrs

from bulrushcourse_domain.claims import claim as claims
from bulrushcourse_domain.claims import outcomes
from bulrushcourse_entry.claims import dispatch
from bulrushcourse_entry.claims import rows as claim_rows
from bulrushcourse_entry.platform import table as platform_table
from bulrushcourse_testkit.claims import virtual
from bulrushcourse_testkit.claims import world as claim_world

ADVANCES_S = (0.05, 0.3, 1.0, 2.5, 9.0, 60.0, 400.0, 1000.0)
DIGESTS = ('d1', 'd1', 'd1', 'd2')
MAX_KEYS = 6
FACT = outcomes.UpstreamFact


@attrs.define(eq=False)
class Driver:
    """Makes one move after another in a world.

    Attributes:
        world: The world.
        keys: Keys in use and when each was first sent, 0 for never.
        store_up: Whether operations of the table can succeed.
        steps: Number of moves made.
    """

    world: claim_world.World
    keys: dict[str, float] = attrs.field(factory=dict)
    store_up: bool = True
    steps: int = 0

    def new_key(self, pick: int) -> None:
        """Take a key into use, issued or made up by the caller."""
        if len(self.keys) >= MAX_KEYS:
            del self.keys[next(iter(self.keys))]
        if pick % 2:
            self.keys[f'k{next(self.world.counter)}'] = 0.0
            return
        process = self._process(pick // 2)
        for key in process.gateway.issued.keys.issue(claim_world.SERVICE, 1):
            self.keys[key] = 0.0

    def send(self, pick: int, ask_only: bool) -> None:
        """Send a request with a key, or ask for its outcome."""
        if not self.keys:
            self.new_key(pick)
        now = self.world.loop.now
        texts = list(self.keys)
        key = texts[pick % len(texts)]
        first = self.keys[key] or now
        if now > first + claims.RETENTION_S and not key.startswith('ik1'):
            # Callers must not send a free-form key after its retention.
            return
        self.keys[key] = first
        process = self._process(pick // len(texts))
        digest = DIGESTS[pick // 18 % len(DIGESTS)]
        request = dispatch.KeyedRequest(
            claim_world.SERVICE, key, digest, now + claim_world.DEADLINE_S
        )
        task = self.world.loop.create_task(
            self._call(process, request, ask_only)
        )
        self.world.calls.append((process, task))
        self.world.loop.settle()

    def leave(self, pick: int) -> None:
        """Let a caller close its connection."""
        waiting = [t for _, t in self.world.calls if not t.done()]
        if waiting:
            waiting[pick % len(waiting)].cancel()
            self.world.loop.settle()

    def step(self, pick: int, how: int) -> None:
        """Let an operation take effect, be answered, or fail."""
        if not self.world.operations:
            return
        index = pick % len(self.world.operations)
        operation = self.world.operations[index]
        move = getattr(self, f'_step_{operation.kind}')
        if move(operation, how):
            self.world.operations.remove(operation)
        self.world.loop.settle()

    def set_store(self, up: bool) -> None:
        """Make the table and the object store answer or not."""
        self.store_up = self.world.objects.up = up

    def flush(self) -> None:
        """Let everything under way end without a fault."""
        self.set_store(True)
        for _ in range(20):
            for operation in list(self.world.operations):
                self.step(self.world.operations.index(operation), 0)

    def check(self) -> None:
        """Raise what a finished call raised.

        Raises:
            Violation: If a caller was told something untrue.
        """
        self.steps += 1
        ended = [t for _, t in self.world.calls if t.done()]
        self.world.calls = [c for c in self.world.calls if not c[1].done()]
        for task in ended:
            if not task.cancelled() and task.exception() is not None:
                raise task.exception()

    async def _call(
        self,
        process: claim_world.Process,
        request: dispatch.KeyedRequest,
        ask_only: bool,
    ) -> None:
        gateway = process.gateway
        serve = gateway.outcome if ask_only else gateway.serve
        reply = await serve(request)
        if process.alive:
            digest = '' if ask_only else request.digest
            self.world.ledger.tell(request.key, digest, reply)

    def _process(self, pick: int) -> claim_world.Process:
        names = claim_world.ENTRIES
        return self.world.processes[names[pick % len(names)]]

    def _step_table(self, operation: virtual.Operation, how: int) -> bool:
        age = self.world.loop.now - operation.started
        if how == 7 or age > claim_world.MAX_WRITE_DELAY_S:
            return True
        if not self.store_up:
            return False
        answer = self._apply(operation.payload)
        if how != 6:
            operation.deliver(answer)
        return True

    def _apply(self, payload):
        rows = self.world.rows
        if isinstance(payload, str):
            row = rows.get(payload)
            return (None if row is None else platform_table.Row(*row),)
        for write in payload:
            if rows.get(write.key, (0, None))[0] != write.expected:
                return platform_table.WriteResult.CONFLICT
        for write in payload:
            if write.value is None:
                rows.pop(write.key, None)
            else:
                version = next(self.world.counter) + 1
                rows[write.key] = (version, write.value)
        return platform_table.WriteResult.COMMITTED

    def _step_slot(self, operation: virtual.Operation, how: int) -> bool:
        operation.deliver(how != 7)
        return True

    def _step_dispatch(self, operation: virtual.Operation, how: int) -> bool:
        if operation.effect is None:
            return self._reach_upstream(operation, how)
        facts = (FACT.RESET, FACT.TRUNCATED, FACT.SHED)
        if how >= 5:
            operation.deliver(dispatch.Dispatched(facts[how - 5]))
        else:
            answer = outcomes.Answer(200, (), operation.effect)
            operation.deliver(dispatch.Dispatched(FACT.ANSWERED, answer))
        return True

    def _reach_upstream(self, operation: virtual.Operation, how: int) -> bool:
        before = {
            4: FACT.NO_BYTE_SENT,
            5: FACT.SHED_NOT_RUN,
            6: FACT.RESET,
            7: FACT.SHED,
        }
        if how in before:
            operation.deliver(dispatch.Dispatched(before[how]))
            return True
        request = operation.payload
        size = claim_rows.ROW_ANSWER_BYTES + 1 if how == 3 else 8
        body = f'{next(self.world.counter)}'.encode().ljust(size, b'.')
        self.world.ledger.run(request.key, request.digest, body)
        operation.effect = body
        return False

    def _step_forward(self, operation: virtual.Operation, how: int) -> bool:
        if operation.effect is not None:
            return self._answer_forward(operation, how)
        key, request, ask_only = operation.payload
        issuer = self.world.processes[key.entry]
        if how == 7 or issuer.incarnation != key.incarnation:
            operation.deliver('unreachable')
            return True
        operation.effect = self.world.loop.create_task(
            issuer.gateway.serve_own(request, ask_only)
        )
        operation.notes['issuer'] = issuer
        return False

    def _answer_forward(self, operation: virtual.Operation, how: int) -> bool:
        task: asyncio.Task = operation.effect
        if how == 7 or not operation.notes['issuer'].alive:
            operation.deliver('stream lost')
            return True
        if not task.done():
            return False
        operation.deliver(task.result())
        return True


def random_move(driver: Driver, rng: random.Random) -> None:
    """Make one move drawn at random and check the promises.

    Args:
        driver: The driver.
        rng: Source of choices.
    """
    pick, how = rng.randrange(1 << 16), rng.randrange(8)
    drawn = rng.random()
    if drawn < 0.62:
        # Two of three operations go without a fault.
        driver.step(pick, how if rng.random() < 0.35 else 0)
    elif drawn < 0.80:
        driver.send(pick, ask_only=how == 0)
    elif drawn < 0.90:
        driver.world.loop.advance(rng.choice(ADVANCES_S[:4]))
    elif drawn < 0.915:
        driver.world.loop.advance(rng.choice(ADVANCES_S[4:]))
    elif drawn < 0.955:
        driver.new_key(pick)
    elif drawn < 0.97:
        driver.leave(pick)
    elif drawn < 0.985:
        # The store is up for most of a trial; entries decline free-form keys
        # at once while it is known to be down.
        driver.set_store(not driver.store_up or how < 5)
    else:
        driver.world.restart(claim_world.ENTRIES[pick % 3])
    driver.check()


def run_trial(world: claim_world.World, seed: int, moves: int) -> Driver:
    """Make moves drawn from a seed and return the driver.

    Args:
        world: A new world; it is closed at the end.
        seed: Seed of the choices.
        moves: Number of moves.

    Raises:
        Violation: If a promise was broken.
    """
    rng = random.Random(seed)
    driver = Driver(world)
    try:
        for _ in range(moves):
            random_move(driver, rng)
        driver.flush()
        driver.check()
    finally:
        world.close()
    return driver
