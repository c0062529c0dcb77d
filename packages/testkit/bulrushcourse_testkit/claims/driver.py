"""Drive a trial: make calls, inject faults and complete operations."""

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

TIME_STEPS_S = (0.05, 0.3, 1.0, 2.5, 9.0, 60.0, 400.0, 1000.0)
DIGESTS = ('d1', 'd1', 'd1', 'd2')
MAX_KEYS = 6
DispatchResult = outcomes.DispatchResult


@attrs.define(eq=False)
class Driver:
    """Makes moves in a simulated environment, one after the other.

    A move takes numbers that select its target (``pick``) and its result
    (``choice``, 0 to 7, 0 without a fault), so that any source of numbers can
    drive a trial.

    Attributes:
        world: Simulated environment.
        keys: Virtual time at which each key in use was first sent, 0 for
            never.
        store_up: Whether table operations can succeed.
        moves: Number of moves made.
    """

    world: claim_world.World
    keys: dict[str, float] = attrs.field(factory=dict)
    store_up: bool = True
    moves: int = 0

    def new_key(self, pick: int) -> None:
        """Add an issued or free-form key to the keys in use."""
        if len(self.keys) >= MAX_KEYS:
            del self.keys[next(iter(self.keys))]
        if pick % 2:
            self.keys[f'k{next(self.world.unique_ids)}'] = 0.0
            return
        process = self._process(pick // 2)
        for key in process.gateway.issued.keys.issue(claim_world.SERVICE, 1):
            self.keys[key] = 0.0

    def send(self, pick: int, ask_only: bool) -> None:
        """Send a request with a key, or query the outcome of the key."""
        if not self.keys:
            self.new_key(pick)
        now = self.world.loop.now
        known_keys = list(self.keys)
        key = known_keys[pick % len(known_keys)]
        first_sent = self.keys[key] or now
        if now > first_sent + claims.RETENTION_S and not key.startswith('ik1'):
            # Callers must not send a free-form key after its retention time.
            return
        self.keys[key] = first_sent
        process = self._process(pick // len(known_keys))
        # 18 is ``MAX_KEYS`` times the number of entries.
        digest = DIGESTS[pick // 18 % len(DIGESTS)]
        request = dispatch.KeyedRequest(
            claim_world.SERVICE, key, digest, now + claim_world.DEADLINE_S
        )
        task = self.world.loop.create_task(
            self._call(process, request, ask_only)
        )
        self.world.calls.append((process, task))
        self.world.loop.settle()

    def disconnect_caller(self, pick: int) -> None:
        """Close the connection of a caller that waits for its reply."""
        waiting = [t for _, t in self.world.calls if not t.done()]
        if waiting:
            waiting[pick % len(waiting)].cancel()
            self.world.loop.settle()

    def step(self, pick: int, choice: int) -> None:
        """Let an operation take effect, answer it, or let it fail."""
        if not self.world.operations:
            return
        index = pick % len(self.world.operations)
        operation = self.world.operations[index]
        move = getattr(self, f'_step_{operation.kind}')
        if move(operation, choice):
            self.world.operations.remove(operation)
        self.world.loop.settle()

    def set_store(self, up: bool) -> None:
        """Set whether the table and the object store are available."""
        self.store_up = self.world.objects.up = up

    def flush(self) -> None:
        """Complete all pending operations without a fault."""
        self.set_store(True)
        for _ in range(20):
            for operation in list(self.world.operations):
                self.step(self.world.operations.index(operation), 0)

    def check(self) -> None:
        """Raise the exception of a finished call, if there is one.

        Raises:
            Violation: If a caller got an untrue reply.
        """
        self.moves += 1
        finished = [t for _, t in self.world.calls if t.done()]
        self.world.calls = [c for c in self.world.calls if not c[1].done()]
        for task in finished:
            if not task.cancelled() and task.exception() is not None:
                raise task.exception()

    async def _call(
        self,
        process: claim_world.Process,
        request: dispatch.KeyedRequest,
        ask_only: bool,
    ) -> None:
        gateway = process.gateway
        serve = gateway.find_outcome if ask_only else gateway.serve
        reply = await serve(request)
        if process.alive:
            digest = '' if ask_only else request.digest
            self.world.history.record_reply(request.key, digest, reply)

    def _process(self, pick: int) -> claim_world.Process:
        names = claim_world.ENTRIES
        return self.world.processes[names[pick % len(names)]]

    def _step_table(self, operation: virtual.Operation, choice: int) -> bool:
        age = self.world.loop.now - operation.started
        if choice == 7 or age > claim_world.MAX_WRITE_DELAY_S:
            return True
        if not self.store_up:
            return False
        answer = self._apply(operation.payload)
        if choice != 6:
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
                version = next(self.world.unique_ids) + 1
                rows[write.key] = (version, write.value)
        return platform_table.WriteResult.COMMITTED

    def _step_slot(self, operation: virtual.Operation, choice: int) -> bool:
        operation.deliver(choice != 7)
        return True

    def _step_dispatch(
        self, operation: virtual.Operation, choice: int
    ) -> bool:
        if operation.effect is None:
            return self._reach_upstream(operation, choice)
        results = (
            DispatchResult.RESET,
            DispatchResult.TRUNCATED,
            DispatchResult.SHED,
        )
        if choice >= 5:
            operation.deliver(dispatch.CompletedDispatch(results[choice - 5]))
        else:
            answer = outcomes.Answer(200, (), operation.effect)
            operation.deliver(
                dispatch.CompletedDispatch(DispatchResult.ANSWERED, answer)
            )
        return True

    def _reach_upstream(
        self, operation: virtual.Operation, choice: int
    ) -> bool:
        results_without_run = {
            4: DispatchResult.NO_BYTE_SENT,
            5: DispatchResult.SHED_NOT_RUN,
            6: DispatchResult.RESET,
            7: DispatchResult.SHED,
        }
        if choice in results_without_run:
            operation.deliver(
                dispatch.CompletedDispatch(results_without_run[choice])
            )
            return True
        request = operation.payload
        size = claim_rows.MAX_ROW_ANSWER_BYTES + 1 if choice == 3 else 8
        body = f'{next(self.world.unique_ids)}'.encode().ljust(size, b'.')
        self.world.history.record_run(request.key, request.digest, body)
        operation.effect = body
        return False

    def _step_forward(self, operation: virtual.Operation, choice: int) -> bool:
        if operation.effect is not None:
            return self._finish_forward(operation, choice)
        key, request, ask_only = operation.payload
        issuer = self.world.processes[key.entry]
        if choice == 7 or issuer.incarnation != key.incarnation:
            operation.deliver('unreachable')
            return True
        operation.effect = self.world.loop.create_task(
            issuer.gateway.serve_own(request, ask_only)
        )
        operation.details['issuer'] = issuer
        return False

    def _finish_forward(
        self, operation: virtual.Operation, choice: int
    ) -> bool:
        task: asyncio.Task = operation.effect
        if choice == 7 or not operation.details['issuer'].alive:
            operation.deliver('stream lost')
            return True
        if not task.done():
            return False
        operation.deliver(task.result())
        return True


def random_move(driver: Driver, rng: random.Random) -> None:
    """Make a random move and check the guarantees.

    Args:
        driver: Driver of the trial.
        rng: Source of randomness.
    """
    pick, choice = rng.randrange(1 << 16), rng.randrange(8)
    sample = rng.random()
    if sample < 0.62:
        # About two of three operations complete without a fault.
        driver.step(pick, choice if rng.random() < 0.35 else 0)
    elif sample < 0.80:
        driver.send(pick, ask_only=choice == 0)
    elif sample < 0.90:
        driver.world.loop.advance(rng.choice(TIME_STEPS_S[:4]))
    elif sample < 0.915:
        driver.world.loop.advance(rng.choice(TIME_STEPS_S[4:]))
    elif sample < 0.955:
        driver.new_key(pick)
    elif sample < 0.97:
        driver.disconnect_caller(pick)
    elif sample < 0.985:
        # Keeps the store up for most of a trial, since entries refuse
        # free-form keys immediately while the store is known to be down.
        driver.set_store(not driver.store_up or choice < 5)
    else:
        driver.world.restart(claim_world.ENTRIES[pick % 3])
    driver.check()


def run_trial(world: claim_world.World, seed: int, moves: int) -> Driver:
    """Run a trial of random moves and return its driver.

    Args:
        world: New simulated environment; it is closed at the end.
        seed: Seed of the random moves.
        moves: Number of moves.

    Raises:
        Violation: If a guarantee was violated.
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
