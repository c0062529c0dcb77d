"""Runs of requests with free-form keys, which callers generate."""

import asyncio
import contextlib
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.claims import claim as claims
from bulrushcourse_domain.claims import outcomes
from bulrushcourse_entry.claims import cleanup as claim_cleanup
from bulrushcourse_entry.claims import dispatch
from bulrushcourse_entry.claims import rows as claim_rows

INITIAL_STORE_RETRY_S = 0.2
MAX_STORE_RETRY_S = 2.0
INITIAL_ROW_POLL_S = 0.1
MAX_ROW_POLL_S = 0.8

# A slot is held while the claim is written. Without this timeout, requests
# with free-form keys would occupy the slots during a store outage, and those
# with issued keys, which need no store, would get none.
CLAIM_TIMEOUT_S = 2.0

# Four round trips between the farthest regions (110 ms each). If the response
# to the write is lost, the row is then read while there is time left to run.
CLAIM_WRITE_TIMEOUT_S = 0.5

# A refusal is often decided at the deadline itself and reported only when its
# row is durable, which takes one round trip to the store.
REFUSAL_GRACE_S = 0.5

# Bounds memory: each run keeps its response until it is recorded.
MAX_RUNS = 5_000

# Long enough to record outcomes after a store outage of a few minutes.
RECORD_TIMEOUT_S = 300.0


@attrs.define(eq=False)
class FreeFormRuns:
    """Runs requests whose keys this process claims in the table.

    Attributes:
        rows: Claims in the table.
        dispatcher: Acquires slots and sends requests.
        clock: Source of time.
        cleanup: Deletes expired rows.
        make_attempt: Returns a unique attempt identifier.
        runs: Runs in progress by service and key.
        tasks: Tasks of the runs.
    """

    rows: claim_rows.ClaimRows
    dispatcher: dispatch.Dispatcher
    clock: clocks.Clock
    cleanup: claim_cleanup.Cleanup
    make_attempt: typing.Callable[[], str]
    runs: dict[tuple[str, str], dispatch.Run] = attrs.field(factory=dict)
    tasks: set[asyncio.Task] = attrs.field(factory=set)

    async def serve(self, request: dispatch.KeyedRequest) -> outcomes.Reply:
        """Run a request, or join its run in progress, and return the reply.

        Args:
            request: The request.
        """
        run = self.runs.get(request.identity)
        if run is None:
            rejection = self._rejection_reason(request)
            if rejection:
                return outcomes.Reply(outcomes.Outcome.UNKNOWN, rejection)
            run = self._start(request)
        elif run.digest != request.digest:
            return outcomes.Reply(outcomes.Outcome.UNKNOWN, 'other-request')
        remaining_s = request.deadline - self.clock.monotonic()
        return await run.wait(remaining_s + REFUSAL_GRACE_S)

    def _rejection_reason(self, request: dispatch.KeyedRequest) -> str:
        """Return why no claim can be written in time, empty if it can.

        The reported outcome is then ``unknown``: reporting ``not-run`` would
        need a write as well.
        """
        if not self.rows.reachable:
            return 'store'
        remaining_s = request.deadline - self.clock.monotonic()
        backlog_s = self.rows.writer.backlog_s()
        if len(self.tasks) >= MAX_RUNS or backlog_s >= remaining_s:
            return 'overloaded'
        return ''

    def _start(self, request: dispatch.KeyedRequest) -> dispatch.Run:
        run = dispatch.Run(request.digest)
        self.runs[request.identity] = run
        task = asyncio.create_task(self._run(request, run))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return run

    async def _run(
        self, request: dispatch.KeyedRequest, run: dispatch.Run
    ) -> None:
        try:
            await self._execute(request, run)
        finally:
            run.resolve(outcomes.Reply(outcomes.Outcome.UNKNOWN, 'lost'))
            del self.runs[request.identity]

    async def _execute(
        self, request: dispatch.KeyedRequest, run: dispatch.Run
    ) -> None:
        attempt = self.make_attempt()
        slot = await self.dispatcher.acquire(request, 0, ())
        if slot is None:
            run.resolve(await self.refuse(request, attempt, claimed=False))
            return
        claimed, row = False, None
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                claimed, row = await self.claim(request, attempt)
        except TimeoutError:
            # The claim may still be written later, so the request is not
            # dispatched; a refusal must be recorded.
            pass
        except BaseException:
            slot.release()
            raise
        if not claimed:
            slot.release()
            if row is None:
                run.resolve(await self.refuse(request, attempt, claimed=True))
            else:
                run.resolve(await self.await_outcome(request, row))
            return
        dispatched = await dispatch.dispatch_with_retries(
            self.dispatcher, self.clock, request, slot
        )
        await self._finish(request, attempt, run, dispatched)

    async def _finish(
        self,
        request: dispatch.KeyedRequest,
        attempt: str,
        run: dispatch.Run,
        dispatched: dispatch.CompletedDispatch,
    ) -> None:
        outcome = outcomes.attempt_outcome(dispatched.result)
        if outcome is outcomes.Outcome.NOT_RUN:
            run.resolve(await self.refuse(request, attempt, claimed=True))
            return
        reply = outcomes.Reply(outcome, answer=dispatched.answer)
        if outcome is outcomes.Outcome.UNKNOWN:
            reply = outcomes.Reply(outcome, dispatched.result.value)
        run.resolve(reply)
        await self._record(
            request, attempt, outcome, dispatched.answer, urgent=False
        )

    async def claim(
        self, request: dispatch.KeyedRequest, attempt: str
    ) -> tuple[bool, claims.Claim | None]:
        """Claim the key and return whether the attempt may dispatch.

        If the response to the insert is lost, an absent row proves nothing,
        since the insert may still take effect; it is sent again instead.

        Args:
            request: The request.
            attempt: Identifier of the attempt.

        Returns:
            Whether the claim is held, and the conflicting row if it is not;
            no row if the store did not answer before the deadline.
        """
        key = claim_rows.row_key(*request.identity)
        delay = INITIAL_STORE_RETRY_S
        while self.clock.monotonic() < request.deadline:
            opened = claims.open_claim(
                attempt, request.digest, self._wall_time_s()
            )
            stored = outcomes.StoreWriteResult.UNKNOWN
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CLAIM_WRITE_TIMEOUT_S):
                    stored = await self.rows.write(key, opened, 0, True)
            row = None
            if stored is not outcomes.StoreWriteResult.COMMITTED:
                row = await self._read(key)
            if claims.may_dispatch(stored, row, attempt):
                return True, None
            if row is not None:
                return False, row
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_STORE_RETRY_S)
        return False, None

    async def refuse(
        self, request: dispatch.KeyedRequest, attempt: str, claimed: bool
    ) -> outcomes.Reply:
        """Record that the request was not run and return the reply.

        Args:
            request: The request.
            attempt: Identifier of the attempt, which has not run the request
                and will not.
            claimed: Whether the attempt may have written a row.
        """
        key = claim_rows.row_key(*request.identity)
        if not claimed:
            refused = claims.refused_claim(
                attempt, request.digest, self._wall_time_s()
            )
            stored = await self.rows.write(key, refused, 0, urgent=True)
            if stored is outcomes.StoreWriteResult.COMMITTED:
                self.cleanup.add(key, refused)
                return claims.refusal_reply(stored, None)
        return await self._record(
            request, attempt, outcomes.Outcome.NOT_RUN, None, urgent=True
        )

    async def await_outcome(
        self, request: dispatch.KeyedRequest, row: claims.Claim
    ) -> outcomes.Reply:
        """Wait for the outcome of another attempt and return the reply.

        Args:
            request: The request.
            row: The other attempt's claim.
        """
        key = claim_rows.row_key(*request.identity)
        delay = INITIAL_ROW_POLL_S
        while row is not None:
            if row.digest != request.digest:
                break
            if row.state is not claims.ClaimState.CLAIMED:
                return await self.rows.load_answer(row.reply())
            if self.clock.monotonic() + delay >= request.deadline:
                return row.reply()
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_ROW_POLL_S)
            row = await self._read(key) or row
        return outcomes.Reply(outcomes.Outcome.UNKNOWN, 'other-request')

    async def _record(
        self,
        request: dispatch.KeyedRequest,
        attempt: str,
        outcome: outcomes.Outcome,
        answer: outcomes.Answer | None,
        urgent: bool,
    ) -> outcomes.Reply:
        """Record an outcome and return the reply that the row then implies."""
        limit = self.clock.monotonic() + RECORD_TIMEOUT_S
        delay = INITIAL_STORE_RETRY_S
        while self.clock.monotonic() < limit:
            row = await self._finish_row(
                request, attempt, outcome, answer, urgent
            )
            if row is not None and row.digest == request.digest:
                return await self.rows.load_answer(row.reply())
            if row is not None:
                break
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_STORE_RETRY_S)
        reason = 'store' if row is None else 'other-request'
        return outcomes.Reply(outcomes.Outcome.UNKNOWN, reason)

    async def _finish_row(
        self,
        request: dispatch.KeyedRequest,
        attempt: str,
        outcome: outcomes.Outcome,
        answer: outcomes.Answer | None,
        urgent: bool,
    ) -> claims.Claim | None:
        """Try once to write an outcome; return the row, ``None`` to retry."""
        key = claim_rows.row_key(*request.identity)
        try:
            found = await self.rows.read(key)
        except claim_rows.RowUnreadable:
            return None
        row = claims.open_claim(attempt, request.digest, self._wall_time_s())
        version = 0
        if found is not None:
            version, row = found.version, found.claim
        if (
            row.check_attempt(attempt, request.digest)
            is not claims.AttemptCheck.OWN
        ):
            return row
        finished = row.finish(attempt, outcome, self._wall_time_s(), answer)
        stored = await self.rows.write(key, finished, version, urgent)
        if stored is not outcomes.StoreWriteResult.COMMITTED:
            return None
        self.cleanup.add(key, finished)
        return finished

    async def _read(self, key: str) -> claims.Claim | None:
        try:
            found = await self.rows.read(key)
        except claim_rows.RowUnreadable:
            return None
        return None if found is None else found.claim

    def _wall_time_s(self) -> float:
        return self.clock.wall().timestamp()
