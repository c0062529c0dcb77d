"""Running requests whose key the caller made up."""

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

STORE_RETRY_S = 0.2
MAX_STORE_RETRY_S = 2.0
ROW_POLL_S = 0.1
MAX_ROW_POLL_S = 0.8

# A slot is held while the claim is written. Without this limit, free-form
# orders in a store outage would take the slots from orders with issued keys.
CLAIM_LIMIT_S = 2.0

# Four round trips between the farthest regions (110 ms each). A claim whose
# answer is lost is then looked for while there is still time to run.
CLAIM_WRITE_S = 0.5

# A refusal is often decided at the deadline itself and is told only after its
# row is durable, which takes one round trip to the store.
REFUSAL_GRACE_S = 0.5

# Each run holds its answer until it is recorded.
MAX_RUNS = 5_000

# Recording goes on through a store outage of a few minutes.
RECORD_LIMIT_S = 300.0


@attrs.define(eq=False)
class FreeFormRuns:
    """Runs under way in this process whose keys are claimed in the table.

    Attributes:
        rows: Claims in the table.
        dispatcher: Gets slots and sends requests.
        clock: Source of time.
        cleanup: Deletes expired rows.
        make_attempt: Returns an identifier that no other attempt has.
        runs: Runs under way by service and key.
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
        """Run a request, or join its run, and return what to tell.

        Args:
            request: The request.
        """
        run = self.runs.get(request.identity)
        if run is None:
            obstacle = self._obstacle(request)
            if obstacle:
                return outcomes.Reply(outcomes.Outcome.UNKNOWN, obstacle)
            run = self._start(request)
        elif run.digest != request.digest:
            return outcomes.Reply(outcomes.Outcome.UNKNOWN, 'other-request')
        left = request.deadline - self.clock.monotonic()
        return await run.wait(left + REFUSAL_GRACE_S)

    def _obstacle(self, request: dispatch.KeyedRequest) -> str:
        """Return why no claim can be written in time, empty if it can.

        Nothing is claimed then, and a refusal would need a write as well.
        """
        if not self.rows.reachable:
            return 'store'
        left = request.deadline - self.clock.monotonic()
        backlog_s = self.rows.writer.backlog_s()
        if len(self.tasks) >= MAX_RUNS or backlog_s >= left:
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
            await self._settle(request, run)
        finally:
            run.tell(outcomes.Reply(outcomes.Outcome.UNKNOWN, 'lost'))
            del self.runs[request.identity]

    async def _settle(
        self, request: dispatch.KeyedRequest, run: dispatch.Run
    ) -> None:
        attempt = self.make_attempt()
        hold = await self.dispatcher.acquire(request, 0, ())
        if hold is None:
            run.tell(await self.refuse(request, attempt, claimed=False))
            return
        claimed, row = False, None
        try:
            async with asyncio.timeout(CLAIM_LIMIT_S):
                claimed, row = await self.claim(request, attempt)
        except TimeoutError:
            # The claim may still be written; only a refusal can follow.
            pass
        except BaseException:
            hold.release()
            raise
        if not claimed:
            hold.release()
            if row is None:
                run.tell(await self.refuse(request, attempt, claimed=True))
            else:
                run.tell(await self.follow(request, row))
            return
        dispatched = await dispatch.dispatch_held(
            self.dispatcher, self.clock, request, hold
        )
        await self._report(request, attempt, run, dispatched)

    async def _report(
        self,
        request: dispatch.KeyedRequest,
        attempt: str,
        run: dispatch.Run,
        dispatched: dispatch.Dispatched,
    ) -> None:
        outcome = outcomes.attempt_outcome(dispatched.fact)
        if outcome is outcomes.Outcome.NOT_RUN:
            run.tell(await self.refuse(request, attempt, claimed=True))
            return
        reply = outcomes.Reply(outcome, answer=dispatched.answer)
        if outcome is outcomes.Outcome.UNKNOWN:
            reply = outcomes.Reply(outcome, dispatched.fact.value)
        run.tell(reply)
        await self._record(
            request, attempt, outcome, dispatched.answer, urgent=False
        )

    async def claim(
        self, request: dispatch.KeyedRequest, attempt: str
    ) -> tuple[bool, claims.Claim | None]:
        """Claim the key and return whether the attempt may dispatch.

        An absent row proves nothing after a lost answer, since the write may
        still be under way; the same insert is sent again instead.

        Args:
            request: The request.
            attempt: Identifier of the attempt.

        Returns:
            Whether the claim is held, and the row that prevents it; no row
            if the store did not answer until the deadline.
        """
        key = claim_rows.row_key(*request.identity)
        delay = STORE_RETRY_S
        while self.clock.monotonic() < request.deadline:
            opened = claims.open_claim(attempt, request.digest, self._wall())
            stored = outcomes.StoreFact.UNKNOWN
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CLAIM_WRITE_S):
                    stored = await self.rows.write(key, opened, 0, True)
            row = None
            if stored is not outcomes.StoreFact.COMMITTED:
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
        """Make a refusal durable and return what may be told.

        Args:
            request: The request.
            attempt: Identifier of the attempt, which has not run the request
                and will not.
            claimed: Whether the attempt may have a row.
        """
        key = claim_rows.row_key(*request.identity)
        if not claimed:
            refused = claims.refused_claim(
                attempt, request.digest, self._wall()
            )
            stored = await self.rows.write(key, refused, 0, urgent=True)
            if stored is outcomes.StoreFact.COMMITTED:
                self.cleanup.add(key, refused)
                return claims.refusal_reply(stored, None)
        return await self._record(
            request, attempt, outcomes.Outcome.NOT_RUN, None, urgent=True
        )

    async def follow(
        self, request: dispatch.KeyedRequest, row: claims.Claim
    ) -> outcomes.Reply:
        """Wait for the outcome of another attempt and return what to tell.

        Args:
            request: The request.
            row: The other attempt's claim.
        """
        key = claim_rows.row_key(*request.identity)
        delay = ROW_POLL_S
        while row is not None:
            if row.digest != request.digest:
                break
            if row.state is not claims.ClaimState.CLAIMED:
                return await self.rows.whole(row.reply())
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
        """Write an outcome and return what the row then says."""
        limit = self.clock.monotonic() + RECORD_LIMIT_S
        delay = STORE_RETRY_S
        while self.clock.monotonic() < limit:
            row = await self._finish_row(
                request, attempt, outcome, answer, urgent
            )
            if row is not None and row.digest == request.digest:
                return await self.rows.whole(row.reply())
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
        """Write an outcome once; ``None`` if it has to be tried again."""
        key = claim_rows.row_key(*request.identity)
        try:
            found = await self.rows.read(key)
        except claim_rows.RowUnreadable:
            return None
        row = claims.open_claim(attempt, request.digest, self._wall())
        version = 0
        if found is not None:
            version, row = found.version, found.claim
        if (
            row.check_attempt(attempt, request.digest)
            is not claims.AttemptCheck.OWN
        ):
            return row
        finished = row.finish(attempt, outcome, self._wall(), answer)
        stored = await self.rows.write(key, finished, version, urgent)
        if stored is not outcomes.StoreFact.COMMITTED:
            return None
        self.cleanup.add(key, finished)
        return finished

    async def _read(self, key: str) -> claims.Claim | None:
        try:
            found = await self.rows.read(key)
        except claim_rows.RowUnreadable:
            return None
        return None if found is None else found.claim

    def _wall(self) -> float:
        return self.clock.wall().timestamp()
